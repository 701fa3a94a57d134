package soak

import (
	"io"
	"net"
	"os"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/stretchr/testify/require"
)

// cutOutcomes returns a check of three entries, of which entry 0 is cut off for 6 s, with one
// first try at each entry every 50 ms. servedEvery is how many tries at entry 0 have one that
// is served while it is cut off.
func cutOutcomes(servedEvery int) *cutCheck {
	began := time.Now().Add(-time.Minute)
	c := &cutCheck{cuts: []*entrySpan{{kind: cutEntryHang, entries: []int{0}, from: began, to: began.Add(6 * time.Second)}}}
	for i := range 180 {
		at := began.Add(time.Duration(i-20) * 50 * time.Millisecond)
		for entry := range 3 {
			served := entry > 0 || i < 20 || i >= 140 || i%servedEvery == 0
			c.tried(cutTry{entry: entry, sentAt: at, endedAt: at.Add(20 * time.Millisecond), served: served})
		}
	}
	return c
}

// Guards against a check that does not notice callers of cut entries who are not served, or
// that demands something before contactTime or of entries that are impaired otherwise.
func TestCutCheckDetectsCallersWhoAreNotServed(t *testing.T) {
	findings := func(change func(c *cutCheck), servedEvery int) int {
		c, list := cutOutcomes(servedEvery), newChecker()
		change(c)
		c.check(list, io.Discard)
		return len(list.findings)
	}
	unchanged := func(*cutCheck) {}
	require.Equal(t, 2, findings(unchanged, 5), "one in five served")
	require.Equal(t, 2, findings(unchanged, 2), "half served")
	require.Zero(t, findings(unchanged, 1), "all served")
	require.Zero(t, findings(func(c *cutCheck) { c.cuts[0].to = c.cuts[0].from.Add(contactTime) }, 5), "a cut shorter than contactTime")
	require.Zero(t, findings(func(c *cutCheck) {
		for i := range c.tries {
			c.tries[i].served = i%5 == 0
		}
	}, 1), "nobody is served")
	require.Zero(t, findings(func(c *cutCheck) {
		c.impairments = []*entrySpan{{kind: killEntry, entries: []int{0}, from: c.cuts[0].from.Add(time.Second), to: c.cuts[0].from.Add(4 * time.Second)}}
	}, 5), "the entry was killed")
	require.Equal(t, 2, findings(func(c *cutCheck) {
		c.impairments = []*entrySpan{{kind: killEntry, entries: []int{1}, from: c.cuts[0].from, to: c.cuts[0].to}}
	}, 5), "another entry was killed")
}

// Guards against a shortfall at cut entries that cannot be attributed to the build of an entry.
func TestTriesAtCutEntriesAreCountedByBuilds(t *testing.T) {
	c := cutOutcomes(5)
	for i := range c.tries {
		c.tries[i].builds = "old (core old)"
		if i%2 == 0 {
			c.tries[i].builds = "new (core new and old)"
		}
	}
	result := c.compare(c.cuts, nil)
	require.Equal(t, map[string]share{"old (core old)": {6, 30}, "new (core new and old)": {6, 30}}, result.ofBuilds)
	require.Contains(t, result.String(), "; cut entries of new (core new and old): 6 of 30; cut entries of old (core old): 6 of 30")
}

// Guards against a simulated cut that hits other sources, or other connections than its form.
func TestProxyCutsOneSource(t *testing.T) {
	runner, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer runner.Close()
	go func() {
		for {
			c, err := runner.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	p, err := newProxy("127.0.0.1:0", runner.Addr().String(), false)
	require.NoError(t, err)
	defer p.close()
	const source, other = "127.0.9.1", "127.0.9.2"
	try := func(source string) (net.Conn, error) {
		c, err := (&net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(source)}}).Dial("tcp", p.address())
		if err == nil {
			t.Cleanup(func() { _ = c.Close() })
		}
		return c, err
	}
	dial := func(source string) net.Conn {
		c, err := try(source)
		require.NoError(t, err)
		return c
	}
	echoed := func(c net.Conn) error {
		_, _ = c.Write([]byte{1})
		_ = c.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
		_, err := c.Read(make([]byte, 1))
		return err
	}
	for _, c := range []struct {
		kind           faultKind
		open, reopened bool
		reset          bool
	}{{kind: cutEntryHang}, {kind: cutEntryReset, reset: true}, {kind: cutEntryRefuse, open: true, reset: true}} {
		before, others := dial(source), dial(other)
		require.NoError(t, echoed(before))
		p.setCut(source, c.kind)
		after, err := try(source)
		require.NoError(t, echoed(others))
		require.NoError(t, echoed(dial(other)))
		require.Equal(t, c.open, echoed(before) == nil, c.kind)
		if err == nil {
			err = echoed(after)
		}
		require.Error(t, err)
		require.Equal(t, c.reset, !errors.Is(err, os.ErrDeadlineExceeded), c.kind)
		p.setCut(source, "")
		require.NoError(t, echoed(dial(source)))
		if c.kind == cutEntryHang {
			// What was sent shortly before comes late.
			require.NoError(t, echoed(before))
		}
	}
}
