package edge

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"

	pb "godwitward.example/godwitward/api/godwitward/v1"
	"godwitward.example/godwitward/platform/standin"
)

const (
	versionEvents   = 40
	versionInterval = 25 * time.Millisecond
)

// versionTest is a system with engines of several software versions.
type versionTest struct {
	*testSystem
	// idPrefix begins the ids of callers' requests.
	idPrefix string
	// anonymous callers do not name the request that brought the first event.
	anonymous bool
	// statements are what early engines state.
	statements standin.Statements
	// engines are the first reports of the engines.
	engines []*pb.UpstreamRecord
}

// startEngines starts engines of a software version and returns their ids.
func (v *versionTest) startEngines(version string, first, n int) []string {
	var ids []string
	for i, r := range v.startUnreported(version, first, n) {
		ids = append(ids, r.Id)
		v.engines = append(v.engines, r)
		v.hubs[(first+i)%len(v.hubs)].Report(proto.CloneOf(r))
	}
	return ids
}

// startUnreported starts engines of a software version and returns their reports.
func (v *versionTest) startUnreported(version string, first, n int) (reports []*pb.UpstreamRecord) {
	for i := first; i < first+n; i++ {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(v.t, err)
		r := &standin.Runner{ID: fmt.Sprint("i-", i), Service: "llm", Stage: standin.StageDecode, Version: version, ServiceTime: versionInterval, Events: versionEvents,
			OnArrival: func(standin.Run) {}, OnStart: func(standin.Run) {}}
		r.Start(l)
		v.t.Cleanup(r.Stop)
		reports = append(reports, &pb.UpstreamRecord{Id: r.ID, Service: "llm", Address: l.Addr().String(), SoftwareVersion: version,
			Phase: pb.UpstreamPhase_UPSTREAM_READY, Stage: pb.EngineStage_ENGINE_STAGE_DECODE, BornMs: r.StartMs, Sequence: 1, Slots: 8})
	}
	return reports
}

// reportEngines repeats the reports of all engines.
func (v *versionTest) reportEngines(sequence uint64) {
	for i, r := range v.engines {
		r = proto.CloneOf(r)
		r.Sequence = sequence
		v.hubs[i%len(v.hubs)].Report(r)
	}
}

// versionStream is a stream as its caller sees it, over all its attempts.
type versionStream struct {
	// began is the id of the attempt that brought the first event.
	began    string
	events   int
	versions map[string]bool
	status   int
	complete bool
	// anonymous is that of the test.
	anonymous bool
}

// read sends one attempt to an entry and reads events until the answer ends.
func (s *versionStream) read(t *testing.T, entry, id string) {
	req, err := standin.NewRequest(context.Background(), entry, "/draft/x", id, 4*time.Second)
	require.NoError(t, err)
	if s.events > 0 && s.anonymous {
		standin.SetTakeUp(req, "", s.events)
	} else if s.events > 0 {
		standin.SetTakeUp(req, s.began, s.events)
	}
	s.status = 0
	resp, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	s.status = resp.StatusCode
	if s.status != http.StatusOK {
		return
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if version, ok := standin.VersionOf(lines.Text()); ok {
			s.versions[version] = true
		}
		if strings.HasPrefix(lines.Text(), "data: ") {
			if s.events == 0 {
				s.began = id
			}
			s.events++
		}
	}
	s.complete = lines.Err() == nil && s.events == versionEvents
}

// runBroken starts streams, ends all entries in the middle of them, starts the entries
// again and has the callers take their streams up. between runs while no entry does.
func (v *versionTest) runBroken(streams int, between func()) []*versionStream {
	var list []*versionStream
	var wg sync.WaitGroup
	for i := range streams {
		s := &versionStream{versions: map[string]bool{}, anonymous: v.anonymous}
		list = append(list, s)
		entry := v.entries[i%len(v.entries)].Listener.Addr().String()
		wg.Go(func() { s.read(v.t, entry, v.idPrefix+fmt.Sprint("first-", i)) })
	}
	time.Sleep(versionEvents / 2 * versionInterval)
	for _, stop := range v.stopEntry {
		wg.Go(stop)
	}
	wg.Wait()
	between()
	for i := range v.entries {
		v.startEntry(i)
	}
	time.Sleep(200 * time.Millisecond)
	for i, s := range list {
		entry := v.entries[rand.N(len(v.entries))].Listener.Addr().String()
		wg.Go(func() { s.read(v.t, entry, v.idPrefix+fmt.Sprint("second-", i)) })
	}
	wg.Wait()
	return list
}

func countStreams(list []*versionStream, match func(*versionStream) bool) int {
	n := 0
	for _, s := range list {
		if match(s) {
			n++
		}
	}
	return n
}

func (s *versionStream) joined() bool { return len(s.versions) > 1 }

// Guards against streams that callers take up, after all entries have ended at once, and
// that go on at another software version than they began at; and against refusing them
// although engines of their version serve.
func TestStreamsTakenUpGoOnAtTheirVersion(t *testing.T) {
	v := &versionTest{testSystem: newTestSystem(t, 3, 4)}
	v.startEngines("v1", 0, 3)
	v.startEngines("v2", 3, 3)
	time.Sleep(200 * time.Millisecond)
	list := v.runBroken(40, func() {})
	begun := countStreams(list, func(s *versionStream) bool { return s.began != "" })
	require.Equal(t, len(list), begun)
	t.Logf("%d of %d streams were joined from two versions, %d were completed", countStreams(list, (*versionStream).joined), begun, countStreams(list, func(s *versionStream) bool { return s.complete }))
	require.Zero(t, countStreams(list, (*versionStream).joined))
	require.Equal(t, begun, countStreams(list, func(s *versionStream) bool { return s.complete }))
}

// Guards against streams that go on at another software version after all processes have
// ended: one that has just started has seen one version only, whatever was there before.
func TestStreamsAreNotJoinedAfterAllProcessesEnded(t *testing.T) {
	for _, c := range []struct {
		name      string
		anonymous bool
		wiped     []int
	}{{name: "disks kept"}, {name: "disks lost", wiped: []int{0, 1, 2}}, {name: "streams not named", anonymous: true}} {
		t.Run(c.name, func(t *testing.T) {
			v := &versionTest{testSystem: newTestSystem(t, 3, 4), anonymous: c.anonymous}
			old := v.startEngines("v1", 0, 3)
			time.Sleep(200 * time.Millisecond)
			list := v.runBroken(20, func() {
				for i, id := range old {
					v.hubs[i%len(v.hubs)].Leave(id, v.engines[i].BornMs)
				}
				v.restartHubs(c.wiped...)
				v.startEngines("v2", 3, 3)
				time.Sleep(100 * time.Millisecond)
			})
			require.Zero(t, countStreams(list, (*versionStream).joined))
			for _, s := range list {
				require.Equal(t, http.StatusServiceUnavailable, s.status)
			}
		})
	}
}

// Guards against streams that are refused after all processes have ended although there has
// been one version only: nobody needs to know at which they began.
func TestStreamsOfTheOnlyVersionAreTakenUpAfterAllProcessesEnded(t *testing.T) {
	v := &versionTest{testSystem: newTestSystem(t, 3, 4), anonymous: true}
	v.startEngines("v1", 0, 3)
	time.Sleep(200 * time.Millisecond)
	list := v.runBroken(20, func() {
		v.restartHubs(0)
		v.reportEngines(2)
	})
	require.Equal(t, len(list), countStreams(list, func(s *versionStream) bool { return s.complete }))
}

// Guards against streams that nobody can take up after all processes have ended, while
// engines of their version serve beside others, also if some disks are lost.
func TestStreamsAreTakenUpAfterAllProcessesEnded(t *testing.T) {
	v := &versionTest{testSystem: newTestSystem(t, 3, 4)}
	v.startEngines("v1", 0, 3)
	v.startEngines("v2", 3, 3)
	time.Sleep(200 * time.Millisecond)
	list := v.runBroken(40, func() {
		v.restartHubs(0)
		v.reportEngines(2)
		time.Sleep(400 * time.Millisecond)
	})
	require.Zero(t, countStreams(list, (*versionStream).joined))
	require.Equal(t, len(list), countStreams(list, func(s *versionStream) bool { return s.complete }))
}

// Guards against a request id that is not text and that ends the entry's feed, so that the
// stream's version is lost with the entry.
func TestStreamsWithUnreadableIDsAreTakenUp(t *testing.T) {
	v := &versionTest{testSystem: newTestSystem(t, 3, 4), idPrefix: "\xff\xfe"}
	v.startEngines("v1", 0, 3)
	v.startEngines("v2", 3, 3)
	time.Sleep(200 * time.Millisecond)
	list := v.runBroken(20, func() {})
	require.Zero(t, countStreams(list, (*versionStream).joined))
	require.Equal(t, len(list), countStreams(list, func(s *versionStream) bool { return s.complete }))
}

// Guards against streams whose version no engine runs any more and that go on at another
// one, or wait for it.
func TestStreamsOfAVersionThatHasLeftAreRefused(t *testing.T) {
	v := &versionTest{testSystem: newTestSystem(t, 3, 4)}
	old := v.startEngines("v1", 0, 3)
	time.Sleep(200 * time.Millisecond)
	list := v.runBroken(20, func() {
		v.startEngines("v2", 3, 3)
		for i, id := range old {
			v.hubs[i%len(v.hubs)].Leave(id, v.engines[i].BornMs)
		}
		time.Sleep(100 * time.Millisecond)
	})
	require.Zero(t, countStreams(list, (*versionStream).joined))
	for _, s := range list {
		require.Equal(t, http.StatusServiceUnavailable, s.status)
	}
}
