package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// resentToLeaving: two of seven runners are full of long streams. Of four others, one loses the
// answers of some runs, so that these go on at the other three. These get busy, so that requests wait
// for their first token, lose some answers too, and report that they drain.
func resentToLeaving(s *system, trouble bool) bool {
	s.boot(engineConfig())
	s.newEngine("e-prefill", 0, "prefill")
	for i := range 2 {
		e := s.newEngine(fmt.Sprintf("e-full-%d", i), i, "decode")
		e.set(func() { e.events, e.interval = 130, 90*time.Millisecond })
	}
	time.Sleep(5 * time.Second)
	waitLong := s.drafts(24)
	time.Sleep(300 * time.Millisecond)
	losing := s.newEngine("e-losing", 2, "decode")
	var leaving []*engine
	for i := range 3 {
		leaving = append(leaving, s.newEngine(fmt.Sprintf("e-leaving-%d", i), i+2, "decode"))
	}
	for _, e := range leaving {
		e.set(func() { e.keepAlive = 10 })
	}
	time.Sleep(1500 * time.Millisecond)
	for range 4 {
		s.rec.add("answers: %v", s.drafts(36)())
	}
	// Connections of which no engine says how long they are kept are not used again after that.
	time.Sleep(1700 * time.Millisecond)
	lose := func(e *engine) {
		if trouble {
			e.set(func() { e.loses = func(string) bool { return rand.Float64() < lostShare } })
		}
	}
	lose(losing)
	losing.set(func() { losing.firstToken = 220 * time.Millisecond })
	wait := s.drafts(40)
	time.Sleep(170 * time.Millisecond)
	for _, e := range leaving {
		e.set(func() { e.firstToken = 2800 * time.Millisecond })
	}
	time.Sleep(250 * time.Millisecond)
	ackedAt := map[*engine]time.Time{}
	for _, e := range leaving {
		lose(e)
		e.set(func() { e.state = "draining" })
		by := e.report()
		ackedAt[e] = time.Now()
		s.rec.add("%s acknowledged that %s drains", by.Name, e.id)
	}
	answers, late := wait(), 0
	for _, e := range leaving {
		for _, a := range e.arrivalsSince(ackedAt[e].Add(drainTime)) {
			late++
			s.rec.add("%s reached %s %.3f s after the acknowledgement", a.id, e.id, a.at.Sub(ackedAt[e]).Seconds())
		}
	}
	s.rec.add("answers by status: %v, late arrivals: %d, long streams: %v", answers, late, waitLong())
	fmt.Printf("late arrivals: %d, answers: %v\n", late, answers)
	return late > 0
}

// lostShare is the share of the runs whose answers are lost.
const lostShare = 0.4

// drafts sends requests for streams, and returns a function that waits for the answers and counts
// them by status.
func (s *system) drafts(n int) (wait func() map[int]int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	answers := map[int]int{}
	for i := range n {
		wg.Go(func() {
			r := s.draft(i)
			mu.Lock()
			answers[r.status]++
			mu.Unlock()
		})
	}
	return func() map[int]int {
		wg.Wait()
		return answers
	}
}
