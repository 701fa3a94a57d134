package main

import (
	"fmt"
	"time"
)

// lateTime is how late a report arrives.
const lateTime = 7 * time.Second

// forgottenNotice: a runner gives notice of leaving. All processes are killed after that, and are
// back at once. A report that the runner sent before its notice arrives late.
func forgottenNotice(s *system, trouble bool) bool {
	s.boot(plainConfig())
	leaving := s.newRunners(3, callTime)[2]
	time.Sleep(2 * time.Second)
	s.bursts(burstSize, 12, 500*time.Millisecond)
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
		time.Sleep(200 * time.Millisecond)
		s.startAll(all)
		inTouchAt = time.Now().Add(2 * contactTime)
	}
	time.Sleep(2 * time.Second)
	s.bursts(burstSize, 5, 500*time.Millisecond)
	time.Sleep(time.Until(sentAt.Add(lateTime)))
	by = leaving.call(wire["heartbeat"], late)
	s.rec.add("report %v of %s arrives at %s", late["sequence"], leaving.id, by.Name)
	time.Sleep(max(500*time.Millisecond, time.Until(inTouchAt)))
	return s.judgeLeaving(leaving, ackedAt, inTouchAt)
}

// ackThenKill: a runner gives notice of leaving, and the daemon that acknowledges it is killed
// right after that.
func ackThenKill(s *system, trouble bool) bool {
	s.boot(plainConfig())
	runners := s.newRunners(4, callTime)
	leaving := runners[3]
	time.Sleep(2 * time.Second)
	s.bursts(burstSize, 12, 500*time.Millisecond)
	// Both leave at the same time, and tell the same daemon.
	for _, r := range runners[2:] {
		r.stopBeats()
		<-r.beatsEnded
	}
	runners[2].core = leaving.core
	other, _ := runners[2].leave()
	by, ackedAt := leaving.leave()
	if trouble {
		s.killAll([]*node{by})
	}
	s.rec.add("%s acknowledged that %s leaves", other.Name, runners[2].id)
	s.rec.add("%s acknowledged that %s leaves", by.Name, leaving.id)
	inTouchAt := ackedAt
	if trouble {
		time.Sleep(300 * time.Millisecond)
		s.start(by)
		inTouchAt = time.Now().Add(contactTime)
	}
	time.Sleep(time.Until(ackedAt.Add(3600 * time.Millisecond)))
	return s.judgeLeaving(leaving, ackedAt, inTouchAt)
}

func (s *system) newRunners(n int, work time.Duration) (runners []*runner) {
	for i := range n {
		runners = append(runners, s.newRunner(fmt.Sprintf("i-%d", i), i, work))
	}
	return runners
}

// judgeLeaving sends requests and ends a leaving runner, which has waited for long enough, while those
// that have reached it are in progress. It reports whether requests reached it later than drainTime after
// its notice was acknowledged, at a time at which all machines were in touch.
func (s *system) judgeLeaving(leaving *runner, ackedAt, inTouchAt time.Time) bool {
	from := ackedAt.Add(drainTime)
	if from.Before(inTouchAt) {
		from = inTouchAt
	}
	time.Sleep(time.Until(from))
	wait := s.burst(burstSize)
	time.Sleep(callTime / 2)
	leaving.exit()
	s.rec.add("%s exits", leaving.id)
	answers := wait()
	late := leaving.arrivalsSince(from)
	for _, a := range late {
		s.rec.add("%s reached %s %.3f s after the acknowledgement", a.id, leaving.id, a.at.Sub(ackedAt).Seconds())
	}
	s.rec.add("answers by status (0: none): %v", answers)
	fmt.Printf("late arrivals from %.3f s after the acknowledgement on: %d, answers to %d calls: %v\n", from.Sub(ackedAt).Seconds(), len(late), burstSize, answers)
	return len(late) > 0
}
