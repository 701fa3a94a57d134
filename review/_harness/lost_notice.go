package main

import (
	"os"
	"time"
)

const (
	drainTime   = 2000 * time.Millisecond
	contactTime = 3000 * time.Millisecond
	// cutTime is how long the runner is cut off from the core.
	cutTime = 5 * time.Second
	// callTime is the time of a call at a runner, and burstSize the number of calls that callers send
	// at once.
	callTime  = 80 * time.Millisecond
	burstSize = 24
)

// lostNotice: a runner is cut off from the core while all core processes are killed. It gives
// notice of leaving, without having reported that it drains, when the cut has ended.
func lostNotice(s *system, trouble bool) bool {
	s.boot(plainConfig())
	leaving := s.newRunners(3, callTime)[2]
	time.Sleep(2 * time.Second)
	s.bursts(burstSize, 12, 500*time.Millisecond)
	cutAt := time.Now()
	// With NOCUT or NOKILL set, one of the two disruptions is left out.
	if trouble && os.Getenv("NOCUT") == "" {
		s.rec.add("%s is cut off from the core", leaving.id)
		leaving.cut.Store(true)
	}
	time.Sleep(200 * time.Millisecond)
	if trouble && os.Getenv("NOKILL") == "" {
		s.killAll(s.cores)
		time.Sleep(500 * time.Millisecond)
		s.startAll(s.cores)
	}
	inTouchAt := time.Now().Add(contactTime)
	s.bursts(burstSize, 6, 500*time.Millisecond)
	time.Sleep(time.Until(cutAt.Add(cutTime - 200*time.Millisecond)))
	leaving.stopBeats()
	<-leaving.beatsEnded
	leaving.cut.Store(false)
	s.rec.add("%s is not cut off any more, and gives notice of leaving", leaving.id)
	by, ackedAt := leaving.leave()
	s.rec.add("%s acknowledged that %s leaves", by.Name, leaving.id)
	time.Sleep(time.Until(ackedAt.Add(drainTime + 500*time.Millisecond)))
	return s.judgeLeaving(leaving, ackedAt, inTouchAt)
}
