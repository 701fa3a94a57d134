package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"godwitward.example/godwitward/platform/standin"
)

const (
	// streamCount streams of streamEvents events run while the release goes on.
	streamCount   = 12
	streamEvents  = 80
	eventInterval = 100 * time.Millisecond
	// takeUpBudget is the time that a caller has for its stream over all its tries.
	takeUpBudget = 14 * time.Second
	// downTime is how long all processes are down.
	downTime = 500 * time.Millisecond
)

// joinedVersions replaces all engines of a service by ones with newer software: the new
// ones start, the old ones drain, serve for drainMs and a little longer, and exit. A
// second later all processes of the system are killed, and are back within a second.
// Callers take up their streams. No stream may hold events of two versions.
func joinedVersions(s *system, trouble bool) ([]string, error) {
	if err := s.startUp(2); err != nil {
		return nil, err
	}
	old, err := s.addEngines("v1", 1)
	if err != nil {
		return nil, err
	}
	time.Sleep(10 * time.Second)
	streams := make([]*callerStream, streamCount)
	var callers sync.WaitGroup
	for i := range streams {
		streams[i] = &callerStream{sys: s, number: i, versions: map[string]int{}}
		callers.Go(streams[i].run)
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(500 * time.Millisecond)
	s.rec.logf("the release begins")
	if _, err := s.addEngines("v2", 4); err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	for _, r := range old {
		r.Drain()
		r.SetLeaving()
	}
	// The next report of each says that it drains.
	time.Sleep(reportInterval + drainTime + 500*time.Millisecond)
	for i, r := range old {
		if err := s.leave(r, s.cores[i]); err != nil {
			return nil, err
		}
		r.Stop()
		s.rec.logf("%s (v1) exits", r.ID)
	}
	time.Sleep(time.Second)
	if trouble {
		if err := s.killAll(); err != nil {
			return nil, err
		}
	}
	callers.Wait()
	return judgeVersions(s.rec, streams), nil
}

func judgeVersions(rec *recorder, streams []*callerStream) []string {
	joined := 0
	for _, st := range streams {
		rec.logf("stream %d: %d events, of versions %v, complete %v; %s", st.number, st.delivered, st.versions, st.complete, strings.Join(st.tries, "; "))
		if len(st.versions) > 1 {
			joined++
		}
	}
	if joined <= 2 {
		return nil
	}
	return []string{fmt.Sprintf("ORDER: %d of %d streams hold events of two software versions", joined, len(streams))}
}

// addEngines starts two decode engines and a prefill engine of a software version.
func (s *system) addEngines(version string, first int) ([]*runner, error) {
	var list []*runner
	for i, stage := range []string{standin.StageDecode, standin.StageDecode, standin.StagePrefill} {
		l, err := net.Listen("tcp", s.ip(200)+":0")
		if err != nil {
			return nil, err
		}
		r := &runner{Runner: &standin.Runner{
			ID: fmt.Sprintf("e-%d", first+i), Service: engineService, Stage: stage, Version: version, ServiceTime: eventInterval, Events: streamEvents,
			OnStart: func(run standin.Run) { s.rec.logf("request %s runs at %s (%s)", run.ID, run.Runner, version) }, OnArrival: func(standin.Run) {},
		}, address: l.Addr().String()}
		r.Start(l)
		r.stop = s.sendReports(r, i)
		list = append(list, r)
	}
	return list, nil
}

// leave stops a runner's reports and sends its notice.
func (s *system) leave(r *runner, core *daemon) error {
	r.stop()
	startMs, err := reportedStart(r)
	if err != nil {
		return err
	}
	m, err := readMessage("notice.txt", map[string]any{"ID": r.ID, "StartMs": startMs})
	if err != nil {
		return err
	}
	c, err := s.prepareCall(core, m)
	if err != nil {
		return err
	}
	status, err := c.send()
	s.rec.logf("runner %s: notice answered %d, error %v", r.ID, status, err)
	return err
}

// killAll kills all processes at the same moment and starts them again.
func (s *system) killAll() error {
	all := append(append([]*daemon(nil), s.cores...), s.edges...)
	for _, d := range all {
		d.signal(syscall.SIGKILL)
	}
	for _, d := range all {
		d.waitEnd(5 * time.Second)
	}
	s.rec.logf("SIGKILL for all processes")
	time.Sleep(downTime)
	for _, d := range all {
		d.node.Bootstrap = false
		if err := s.startDaemon(d); err != nil {
			return err
		}
	}
	return nil
}

// callerStream is one stream as its caller sees it, over all tries.
type callerStream struct {
	sys       *system
	number    int
	delivered int
	versions  map[string]int
	complete  bool
	// wentOn is set if the stream went on after it was taken up.
	wentOn bool
	tries  []string
	// firstID is the id of the try that brought the first event.
	firstID string
}

// run sends the request, and takes the stream up after its connection broke or after a
// refusal, until it is complete or the time is over.
func (c *callerStream) run() {
	until := time.Now().Add(takeUpBudget)
	for try := 0; time.Now().Before(until) && !c.complete; try++ {
		result := c.try(context.Background(), fmt.Sprintf("s-%d-%d", c.number, try), c.sys.edges[(c.number+try)%len(c.sys.edges)], time.Until(until))
		c.tries = append(c.tries, result)
		if !c.complete {
			time.Sleep(400 * time.Millisecond)
		}
	}
}

func (c *callerStream) try(parent context.Context, id string, edge *daemon, left time.Duration) string {
	ctx, cancel := context.WithTimeout(parent, left)
	defer cancel()
	req, err := standin.NewRequest(ctx, c.sys.frontAddress(edge), "/draft/x", id, left)
	if err != nil {
		return err.Error()
	}
	if c.delivered > 0 {
		standin.SetTakeUp(req, c.firstID, c.delivered)
	}
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(req)
	if err != nil {
		return id + ": no answer"
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Sprintf("%s: status %d", id, resp.StatusCode)
	}
	before := c.delivered
	version := ""
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if v, ok := standin.VersionOf(lines.Text()); ok {
			version = v
		}
		if lines.Text() == "" {
			if c.delivered == 0 {
				c.firstID = id
			}
			c.delivered++
			c.versions[version]++
		}
	}
	c.complete = lines.Err() == nil && c.delivered == streamEvents
	return fmt.Sprintf("%s: status 200, %d events", id, c.delivered-before)
}
