package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"godwitward.example/godwitward/platform/standin"
)

const (
	// newService gets the plain routes with the second configuration.
	newService = "orderdesk-b"
	// applyTime is configApplyMs.
	applyTime = 2 * time.Second
)

// unreadableReport lets another writer send liveness reports that name no runner: the
// bytes of the id are no text. It sends one for each heartbeat interval, to the core
// daemons in turn. Nothing else happens. Then the configuration moves the plain routes
// to another service, and an edge machine is stopped and started by plan.
func unreadableReport(s *system, trouble bool) ([]string, error) {
	var mu sync.Mutex
	sentAt, oldRuns := map[string]time.Time{}, map[string]standin.Run{}
	if err := s.startUp(3); err != nil {
		return nil, err
	}
	for i := range 6 {
		service, onRun := plainService, func(r standin.Run) {
			mu.Lock()
			defer mu.Unlock()
			oldRuns[r.ID] = r
		}
		if i >= 3 {
			service, onRun = newService, func(standin.Run) {}
		}
		r, err := s.addRunner(fmt.Sprintf("i-%d", i+1), service, i, 10*time.Millisecond, onRun)
		if err != nil {
			return nil, err
		}
		defer r.Stop()
		defer r.stop()
	}
	time.Sleep(10 * time.Second)
	if trouble {
		ctx, stop := context.WithCancel(context.Background())
		defer stop()
		go s.sendUnreadableReports(ctx)
	}
	// Each of the five core daemons has got one after five intervals.
	time.Sleep(5*reportInterval + contactTime)
	if err := s.put(2, newService, s.cores, 4*time.Second); err != nil {
		return nil, err
	}
	ackedAt := time.Now()
	stale := 0
	for n := 0; time.Since(ackedAt) < 8*time.Second; n++ {
		id := fmt.Sprintf("r-%d", n)
		at := time.Now()
		mu.Lock()
		sentAt[id] = at
		mu.Unlock()
		edge := s.edges[n%len(s.edges)]
		a := s.call(edge, "/peek/x", id, 1500*time.Millisecond)
		mu.Lock()
		run, old := oldRuns[id]
		mu.Unlock()
		if old && at.Sub(ackedAt) > applyTime+margin {
			stale++
			s.rec.logf("request %s, sent %.3f s after the acknowledgement to %s, ran at %s of the old service, answer %d", id, at.Sub(ackedAt).Seconds(), edge.node.Name, run.Runner, a.status)
		}
		time.Sleep(100 * time.Millisecond)
	}
	served, asked, err := s.restartByPlan(s.edges[2])
	if err != nil {
		return nil, err
	}
	var broken []string
	if stale > 0 {
		broken = append(broken, fmt.Sprintf("CONFIG: %d requests that were sent more than configApplyMs after the acknowledgement of configuration 2 ran at the old service", stale))
	}
	if served == 0 {
		broken = append(broken, fmt.Sprintf("(an edge daemon that was restarted by plan served none of %d requests in %v)", asked, recoverTime))
	}
	return broken, nil
}

// sendUnreadableReports sends the report in report.txt of the case's folder to the core
// daemons in turn, until ctx ends.
func (s *system) sendUnreadableReports(ctx context.Context) {
	for n := 1; ctx.Err() == nil; n++ {
		core := s.cores[n%len(s.cores)]
		status := 0
		m, err := readMessage("report.txt", map[string]any{"N": n})
		if err == nil {
			var c *pendingCall
			if c, err = s.prepareCall(core, m); err == nil {
				status, err = c.send()
			}
		}
		s.rec.logf("another writer: report to %s answered %d, error %v", core.node.Name, status, err)
		select {
		case <-ctx.Done():
		case <-time.After(reportInterval):
		}
	}
}

// restartByPlan stops an edge daemon with SIGTERM, starts it again, and counts the
// requests that it serves within recoverS.
func (s *system) restartByPlan(edge *daemon) (served, asked int, err error) {
	s.rec.logf("SIGTERM %s", edge.node.Name)
	edge.signal(syscall.SIGTERM)
	edge.waitEnd(graceTime)
	if err := s.startDaemon(edge); err != nil {
		return 0, 0, err
	}
	var last answer
	for until := time.Now().Add(recoverTime); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		asked++
		last = s.call(edge, "/peek/x", fmt.Sprintf("p-%d", asked), 1500*time.Millisecond)
		if last.status == http.StatusOK {
			served++
		}
	}
	s.rec.logf("%s served %d of %d requests after its restart, the last answer is %d %q, error %v", edge.node.Name, served, asked, last.status, last.body, last.err)
	return served, asked, nil
}
