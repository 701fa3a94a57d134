package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"godwitward.example/godwitward/platform/standin"
)

const (
	// restartDelay is the short delay after which a killed process starts again.
	restartDelay = 400 * time.Millisecond
	// killDelay is the time from an acknowledgement to the loss of the daemon; at most 4 ms.
	killDelay = 2 * time.Millisecond
	// noticeGap is the time between the notices of two runners that leave together.
	noticeGap = 10 * time.Millisecond
	// servesAfterNotice is how long a runner serves after its notice: drainMs and some
	// seconds.
	servesAfterNotice = drainTime + 4*time.Second
	// margin is added to all bounds, for the clock readings of the stand-ins.
	margin = 100 * time.Millisecond
)

// lostNotice lets two runners leave that send nothing but their notice. The core daemon
// that has acknowledged both is killed right after the second acknowledgement. No
// request may reach the runners later than drainMs after it, from machines in touch.
func lostNotice(s *system, trouble bool) ([]string, error) {
	load := &load{sys: s, sentAt: map[string]time.Time{}, ranAt: map[string]standin.Run{}}
	if err := s.startUp(3); err != nil {
		return nil, err
	}
	witness := s.cores[3]
	var runners []*runner
	for i := range 4 {
		first := 3
		if i >= 2 {
			first = i - 2
		}
		r, err := s.addRunner(fmt.Sprintf("i-%d", i+1), plainService, first, 50*time.Millisecond, load.ran)
		if err != nil {
			return nil, err
		}
		defer r.Stop()
		defer r.stop()
		runners = append(runners, r)
	}
	time.Sleep(10 * time.Second)
	stopLoad := load.run()
	defer stopLoad()
	time.Sleep(4 * time.Second)

	leaving := runners[:2]
	var notices []*pendingCall
	for _, r := range leaving {
		n, err := s.prepareNotice(r, witness)
		if err != nil {
			return nil, err
		}
		notices = append(notices, n)
		r.stop()
		if err := r.Report(context.Background(), s.controlAddress(witness), r.address, "zone-0"); err != nil {
			return nil, err
		}
	}
	if err := s.sendNotice(leaving[0], notices[0]); err != nil {
		return nil, err
	}
	time.Sleep(noticeGap)
	if err := s.sendNotice(leaving[1], notices[1]); err != nil {
		return nil, err
	}
	ackedAt := time.Now()
	inTouchFrom := ackedAt
	if trouble {
		time.Sleep(killDelay)
		witness.signal(syscall.SIGKILL)
		killed := time.Since(ackedAt)
		s.rec.logf("%s has acknowledged the notices of i-1 and i-2; SIGKILL %v after the second", witness.node.Name, killed)
		witness.waitEnd(time.Second)
		time.Sleep(restartDelay)
		if err := s.startDaemon(witness); err != nil {
			return nil, err
		}
		inTouchFrom = time.Now().Add(contactTime)
	}
	time.Sleep(servesAfterNotice - time.Since(ackedAt))
	for _, r := range leaving {
		r.Stop()
		s.rec.logf("runner %s exits, %v after the notices", r.ID, time.Since(ackedAt).Round(time.Millisecond))
	}
	time.Sleep(time.Second)
	stopLoad()
	return load.judge(map[string]bool{"i-1": true, "i-2": true}, ackedAt.Add(drainTime+margin), inTouchFrom.Add(margin)), nil
}

// load sends requests and records them.
type load struct {
	sys *system

	mu     sync.Mutex
	sentAt map[string]time.Time
	ranAt  map[string]standin.Run
	lost   []string
	served int
	sent   int
}

func (l *load) ran(r standin.Run) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ranAt[r.ID] = r
}

// run starts callers, which send commits and peeks by turns. The returned function stops
// them.
func (l *load) run() (stop func()) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for caller := range 6 {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				l.send(caller, n)
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	return sync.OnceFunc(func() {
		cancel()
		wg.Wait()
	})
}

func (l *load) send(caller, n int) {
	id := fmt.Sprintf("r-%d-%d", caller, n)
	path := "/commit/x"
	if n%2 == 1 {
		path = "/peek/x"
	}
	at := time.Now()
	l.mu.Lock()
	l.sentAt[id] = at
	l.mu.Unlock()
	edge := l.sys.edges[caller%len(l.sys.edges)]
	a := l.sys.call(edge, path, id, 1500*time.Millisecond)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sent++
	if a.status == http.StatusOK && a.err == nil {
		l.served++
		return
	}
	l.lost = append(l.lost, fmt.Sprintf("%s %s at %s, sent at %.3f, ran at %q: status %d %q, error %v", path, id, edge.node.Name,
		at.Sub(l.sys.rec.start).Seconds(), l.ranAt[id].Runner, a.status, strings.TrimSpace(a.body), a.err))
}

// judge returns how many requests that were sent later than both times have reached one
// of the runners that have left.
func (l *load) judge(left map[string]bool, drained, inTouch time.Time) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	late, lateAny := 0, 0
	for id, run := range l.ranAt {
		sent := l.sentAt[id]
		if !left[run.Runner] || sent.Before(drained) {
			continue
		}
		lateAny++
		if sent.Before(inTouch) {
			continue
		}
		late++
		l.sys.rec.logf("request %s, sent at %.3f, reached %s at %.3f", id, sent.Sub(l.sys.rec.start).Seconds(), run.Runner, run.At.Sub(l.sys.rec.start).Seconds())
	}
	for _, f := range l.lost {
		l.sys.rec.logf("not served: %s", f)
	}
	l.sys.rec.logf("%d of %d requests served; %d reached a runner that had left later than drainMs, %d of them from machines in touch", l.served, l.sent, lateAny, late)
	if late == 0 {
		return nil
	}
	return []string{fmt.Sprintf("DRAIN: %d requests that were sent more than drainMs after the acknowledged notices reached the runners that had left, from machines in touch", late)}
}

// prepareNotice connects a runner to a core daemon, for its notice that it leaves.
func (s *system) prepareNotice(r *runner, core *daemon) (*pendingCall, error) {
	startMs, err := reportedStart(r)
	if err != nil {
		return nil, err
	}
	m, err := readMessage("notice.txt", map[string]any{"ID": r.ID, "StartMs": startMs})
	if err != nil {
		return nil, err
	}
	return s.prepareCall(core, m)
}

// sendNotice sends a notice and waits for its acknowledgement.
func (s *system) sendNotice(r *runner, n *pendingCall) error {
	status, err := n.send()
	s.rec.logf("runner %s: notice answered %d, error %v", r.ID, status, err)
	if err == nil && status/100 != 2 {
		err = errors.Errorf("the notice of %s was answered %d", r.ID, status)
	}
	return err
}

// reportedStart returns the start time that a runner states in its reports.
func reportedStart(r *runner) (int64, error) {
	var body struct {
		Born float64 `json:"born"`
	}
	srv := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, req *http.Request) {
		text, _ := io.ReadAll(req.Body)
		_ = json.Unmarshal(text, &body)
	}))
	defer srv.Close()
	err := r.Report(context.Background(), srv.Listener.Addr().String(), r.address, "zone-0")
	return int64(body.Born), err
}
