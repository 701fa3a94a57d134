package main

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

// lostTakeUps lets runners of two software versions serve side by side. All processes of
// the system are killed and are back within a second. Callers take their streams up once
// all machines are in touch again. Without the disruption the callers' connections break
// instead. The streams must go on about as often as new ones begin.
func lostTakeUps(s *system, trouble bool) ([]string, error) {
	if err := s.startUp(2); err != nil {
		return nil, err
	}
	for i, version := range []string{"v1", "v2"} {
		if _, err := s.addEngines(version, 1+3*i); err != nil {
			return nil, err
		}
	}
	time.Sleep(10 * time.Second)
	until := time.Now().Add(takeUpBudget)
	streams := make([]*callerStream, 16)
	ctx, breakOff := context.WithCancel(context.Background())
	defer breakOff()
	var callers sync.WaitGroup
	for i := range streams {
		c := &callerStream{sys: s, number: i, versions: map[string]int{}}
		streams[i] = c
		callers.Go(func() {
			c.tries = append(c.tries, c.try(ctx, fmt.Sprintf("s-%d-0", i), s.edges[i%2], time.Until(until)))
		})
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(1500 * time.Millisecond)
	if trouble {
		if err := s.killAll(); err != nil {
			return nil, err
		}
	}
	breakOff()
	callers.Wait()
	s.rec.logf("all streams have broken off")
	time.Sleep(contactTime + margin)

	var asked, began atomic.Int64
	newCtx, stopNew := context.WithDeadline(context.Background(), until)
	defer stopNew()
	callers.Go(func() { s.beginStreams(newCtx, &asked, &began) })
	took, wentOn := 0, 0
	for _, c := range streams {
		if c.delivered > 0 {
			took++
			callers.Go(func() { c.takeUp(until) })
		}
	}
	s.rec.logf("callers take up %d streams at machines in touch", took)
	callers.Wait()
	for _, c := range streams {
		s.rec.logf("stream %d: %d events, of versions %v, complete %v; %v", c.number, c.delivered, c.versions, c.complete, c.tries)
		if c.wentOn {
			wentOn++
		}
	}
	s.rec.logf("%d of %d streams went on; %d of %d new ones began", wentOn, took, began.Load(), asked.Load())
	if took < 12 || asked.Load() == 0 {
		return nil, fmt.Errorf("only %d streams were taken up", took)
	}
	if float64(wentOn)/float64(took) >= 0.5*float64(began.Load())/float64(asked.Load()) {
		return nil, nil
	}
	return []string{fmt.Sprintf("LOST: %d of %d streams that callers took up at machines in touch went on, while %d of %d new ones began", wentOn, took, began.Load(), asked.Load())}, nil
}

// takeUp tries to go on with the stream until its time is over.
func (c *callerStream) takeUp(until time.Time) {
	delivered := c.delivered
	for try := 1; time.Now().Before(until) && !c.wentOn; try++ {
		c.tries = append(c.tries, c.try(context.Background(), fmt.Sprintf("s-%d-%d", c.number, try), c.sys.edges[(c.number+try)%2], time.Until(until)))
		c.wentOn = c.delivered > delivered
		time.Sleep(time.Second)
	}
}

// beginStreams sends requests for new streams until ctx ends. Their callers leave after
// some events.
func (s *system) beginStreams(ctx context.Context, asked, began *atomic.Int64) {
	for n := 0; ctx.Err() == nil; n++ {
		asked.Add(1)
		c := &callerStream{sys: s, number: n, versions: map[string]int{}}
		tryCtx, leave := context.WithTimeout(context.Background(), 500*time.Millisecond)
		c.try(tryCtx, fmt.Sprintf("n-%d", n), s.edges[n%2], takeUpBudget)
		leave()
		if c.delivered > 0 {
			began.Add(1)
		}
	}
}
