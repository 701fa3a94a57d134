package edge

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"godwitward.example/godwitward/platform/standin"
)

// breakAt starts streams at an entry, ends it in the middle of them, and has the callers take
// them up at another one. between runs before they do.
func (v *versionTest) breakAt(entry, other, streams int, between func()) []*versionStream {
	var list []*versionStream
	var wg sync.WaitGroup
	address := v.entries[entry].Listener.Addr().String()
	for i := range streams {
		s := &versionStream{versions: map[string]bool{}, anonymous: v.anonymous}
		list = append(list, s)
		wg.Go(func() { s.read(v.t, address, v.idPrefix+fmt.Sprint("first-", i)) })
	}
	time.Sleep(versionEvents / 2 * versionInterval)
	v.stopEntry[entry]()
	wg.Wait()
	between()
	address = v.entries[other].Listener.Addr().String()
	for i, s := range list {
		wg.Go(func() { s.read(v.t, address, v.idPrefix+fmt.Sprint("second-", i)) })
	}
	wg.Wait()
	return list
}

// Guards against streams of a service with one known version that are joined from two: they began
// at a process that only their entry knew of, or not even that, and the entry had no contact with
// the hubs until it ended.
func TestOnlyVersionsAreThoseOfAllStreamsThatHaveBegun(t *testing.T) {
	for _, c := range []struct {
		name string
		// start starts three engines of v2 beside those of v1.
		start func(v *versionTest)
		// hubsEnd is set if the hubs end and start again. Otherwise the entry is cut off from them.
		hubsEnd, anonymous bool
	}{
		{name: "started again under an id", start: startedAgain("")},
		{name: "started again, anonymous callers", start: startedAgain(""), anonymous: true},
		{name: "started again, hubs end", start: startedAgain(""), hubsEnd: true},
		{name: "started again, hubs end, anonymous callers", start: startedAgain(""), hubsEnd: true, anonymous: true},
		{name: "start not told", start: startedAgain(standin.Absent)},
		{name: "start not told, anonymous callers", start: startedAgain(standin.Absent), anonymous: true},
		{name: "start not told, hubs end", start: startedAgain(standin.Absent), hubsEnd: true},
		{name: "known to the entry alone", start: knownToFirstEntry},
		{name: "known to the entry alone, anonymous callers", start: knownToFirstEntry, anonymous: true},
		{name: "known to the entry alone, hubs end", start: knownToFirstEntry, hubsEnd: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			v := &versionTest{testSystem: newTestSystem(t, 3, 2), anonymous: c.anonymous}
			v.startEngines("v1", 0, 3)
			time.Sleep(200 * time.Millisecond)
			// The entry has served streams while it was in contact.
			s := &versionStream{versions: map[string]bool{}}
			s.read(t, v.entries[0].Listener.Addr().String(), "before")
			require.True(t, s.complete)
			c.start(v)
			time.Sleep(200 * time.Millisecond)
			if c.hubsEnd {
				for _, stop := range v.stopHub {
					stop()
				}
			} else {
				v.subscribers[0].Stop()
			}
			list := v.breakAt(0, 1, 24, func() {
				if c.hubsEnd {
					v.restartHubs()
				}
				v.reportEngines(2)
				time.Sleep(time.Second)
			})
			joined := countStreams(list, (*versionStream).joined)
			t.Logf("%d of %d streams were joined, %d are complete", joined, len(list), countStreams(list, func(s *versionStream) bool { return s.complete }))
			require.Zero(t, joined)
			require.Equal(t, len(list), countStreams(list, func(s *versionStream) bool { return s.events > 0 }), "the engines of v1 serve")
		})
	}
}

// startedAgain returns a function that starts processes of v2 under ids that were of v1. They have
// not reported.
func startedAgain(startInReport standin.Statement) func(v *versionTest) {
	return func(v *versionTest) {
		v.statements.StartInReport = startInReport
		v.startEarlyEngines(3, 3)
	}
}

// knownToFirstEntry starts engines of v2 whose reports the first entry alone has received.
func knownToFirstEntry(v *versionTest) {
	v.servers[0].SetUpstreams(v.startUnreported("v2", 3, 3))
}
