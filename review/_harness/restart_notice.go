package main

import (
	"fmt"
	"time"
)

// lingerTime is how long a runner serves beyond drainTime after its notice was acknowledged: at
// times many seconds.
const lingerTime = 8 * time.Second

// forgottenNotice: a runner gives notice of leaving. All processes are killed after that, and are
// back at once. A report that the runner sent before its notice arrives late.
func forgottenNotice(s *system, trouble bool) bool {
	s.boot(plainConfig())
	runners := s.newRunners(3, 40*time.Millisecond)
	leaving := runners[2]
	stopTraffic := s.traffic(6 * time.Millisecond)
	time.Sleep(9 * time.Second)
	// The next report is the one that arrives late.
	leaving.stopBeats()
	<-leaving.beatsEnded
	late, sentAt := leaving.report(), time.Now()
	s.rec.add("%s sends report %v, which is late", leaving.id, late["sequence"])
	time.Sleep(200 * time.Millisecond)
	by, ackedAt := leaving.leave()
	s.rec.add("%s acknowledged that %s leaves", by.Name, leaving.id)
	time.Sleep(500 * time.Millisecond)
	inTouchAt := ackedAt
	if trouble {
		all := append(append([]*node{}, s.cores...), s.edges...)
		s.killAll(all)
		time.Sleep(500 * time.Millisecond)
		s.startAll(all)
		inTouchAt = time.Now().Add(2 * contactTime)
	}
	time.Sleep(time.Until(sentAt.Add(3 * time.Second)))
	for i := range s.cores {
		if status, _ := post(s.control(i), wire["heartbeat"]+leaving.id, late); status != 0 {
			s.rec.add("report %v of %s arrives at %s: %d", late["sequence"], leaving.id, s.cores[i].Name, status)
			break
		}
	}
	time.Sleep(time.Until(ackedAt.Add(drainTime + lingerTime)))
	return s.judgeLeaving(leaving, ackedAt, inTouchAt, stopTraffic)
}

// ackThenKill: a runner gives notice of leaving, and the daemon that acknowledges it is killed
// right after that.
func ackThenKill(s *system, trouble bool) bool {
	s.boot(plainConfig())
	runners := s.newRunners(4, 40*time.Millisecond)
	leaving := runners[3]
	stopTraffic := s.traffic(6 * time.Millisecond)
	time.Sleep(9 * time.Second)
	// Both leave at the same time, and tell the same daemon.
	runners[2].core = leaving.core
	for _, r := range runners[2:] {
		r.stopBeats()
		<-r.beatsEnded
	}
	runners[2].core = leaving.core
	by, _ := runners[2].leave()
	s.rec.add("%s acknowledged that %s leaves", by.Name, runners[2].id)
	by, ackedAt := leaving.leave()
	if trouble {
		s.killAll([]*node{by})
	}
	s.rec.add("%s acknowledged that %s leaves", by.Name, leaving.id)
	inTouchAt := ackedAt
	if trouble {
		time.Sleep(500 * time.Millisecond)
		s.start(by)
		inTouchAt = time.Now().Add(contactTime)
	}
	time.Sleep(time.Until(ackedAt.Add(drainTime + lingerTime)))
	return s.judgeLeaving(leaving, ackedAt, inTouchAt, stopTraffic)
}

func (s *system) newRunners(n int, work time.Duration) (runners []*runner) {
	for i := range n {
		runners = append(runners, s.newRunner(fmt.Sprintf("i-%d", i), i, work))
	}
	return runners
}

// judgeLeaving ends a leaving runner and reports whether requests reached it later than drainTime
// after its notice was acknowledged, at a time at which all machines were in touch.
func (s *system) judgeLeaving(leaving *runner, ackedAt, inTouchAt time.Time, stopTraffic func() []result) bool {
	from := ackedAt.Add(drainTime)
	if from.Before(inTouchAt) {
		from = inTouchAt
	}
	late := leaving.arrivalsSince(from)
	cutOff := leaving.exit()
	s.rec.add("%s exits with %d requests in progress", leaving.id, len(cutOff))
	time.Sleep(2 * time.Second)
	answers, cut := map[int]int{}, map[int]int{}
	for _, r := range stopTraffic() {
		answers[r.status]++
		for _, id := range cutOff {
			if r.id == id {
				cut[r.status]++
			}
		}
	}
	s.rec.add("answers by status (0: none): %v, to those cut off at the exit: %v", answers, cut)
	s.rec.add("requests that reached %s from %.3f s after the acknowledgement on: %d", leaving.id, from.Sub(ackedAt).Seconds(), len(late))
	fmt.Printf("late arrivals: %d, cut off at the exit: %d %v, answers: %v\n", len(late), len(cutOff), cut, answers)
	return len(late) > 0
}
