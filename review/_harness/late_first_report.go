package main

import "time"

// lateFirstReport: a runner that has just started leaves again. Its first report is late and arrives
// after its notice. It belongs to the claim of case 6; no case runs it by itself.
func lateFirstReport(s *system, trouble bool) bool {
	s.boot(plainConfig())
	s.newRunners(2, callTime)
	time.Sleep(2 * time.Second)
	s.bursts(burstSize, 12, 500*time.Millisecond)
	leaving := s.newSilentRunner("i-2", 2, callTime)
	first, sentAt := leaving.report(), time.Now()
	if !trouble {
		leaving.call(wire["heartbeat"], first)
	}
	time.Sleep(800 * time.Millisecond)
	by, ackedAt := leaving.leave()
	s.rec.add("%s acknowledged that %s leaves", by.Name, leaving.id)
	if trouble {
		time.Sleep(time.Until(sentAt.Add(3 * time.Second)))
		by = leaving.call(wire["heartbeat"], first)
		s.rec.add("the first report of %s arrives at %s", leaving.id, by.Name)
	}
	time.Sleep(time.Until(ackedAt.Add(3 * time.Second)))
	return s.judgeLeaving(leaving, ackedAt, ackedAt)
}
