package main

import (
	"errors"
	"fmt"
	"os"
	"syscall"
	"time"

	"godwitward.example/godwitward/platform/standin"
)

// replacedCore replaces a core machine by a planned change: the new one first, then
// SIGTERM for the old one once the new one has had catchUpS. A second after that one's
// end, two of the five machines lose their disks right after an acknowledgement, which is
// what faultTolerance allows. The operator must be able to read the configuration again.
func replacedCore(s *system, trouble bool) ([]string, error) {
	if err := s.startUp(2); err != nil {
		return nil, err
	}
	for i := range 3 {
		r, err := s.addRunner(fmt.Sprintf("i-%d", i+1), plainService, i, 10*time.Millisecond, func(standin.Run) {})
		if err != nil {
			return nil, err
		}
		defer r.Stop()
		defer r.stop()
	}
	// As long as the machines run before traffic starts, and more than contactMs.
	time.Sleep(10 * time.Second)
	s.rec.logf("caller: commit before the replacement: %+v", s.call(s.edges[0], "/commit/x", "c-1", 1500*time.Millisecond))

	old := s.cores[4]
	if _, err := s.addCore(false); err != nil {
		return nil, err
	}
	time.Sleep(catchUpTime + time.Second)
	s.rec.logf("SIGTERM %s, which leaves for good", old.node.Name)
	old.signal(syscall.SIGTERM)
	if !old.waitEnd(graceTime) {
		return nil, errors.New("the old core daemon did not end within graceS")
	}
	s.rec.logf("%s has ended", old.node.Name)
	time.Sleep(time.Second)
	cores := []*daemon{s.cores[0], s.cores[1], s.cores[2], s.cores[3], s.cores[5]}
	if err := s.put(2, plainService, cores, 4*time.Second); err != nil {
		return nil, err
	}
	if trouble {
		if err := s.loseDisks(s.cores[1], s.cores[3]); err != nil {
			return nil, err
		}
	}
	time.Sleep(recoverTime)
	var newest int
	for until := time.Now().Add(20 * time.Second); time.Now().Before(until) && newest < 2; time.Sleep(500 * time.Millisecond) {
		newest = max(newest, s.read(cores))
	}
	putErr := s.put(3, plainService, cores, 4*time.Second)
	// A machine of the edge that starts now has to learn the configuration.
	s.kill(s.edges[1])
	if err := s.startDaemon(s.edges[1]); err != nil {
		return nil, err
	}
	time.Sleep(5 * time.Second)
	after := s.call(s.edges[1], "/peek/x", "p-2", 1500*time.Millisecond)
	s.rec.logf("caller: peek at the restarted %s: %+v", s.edges[1].node.Name, after)
	if newest >= 2 {
		return nil, nil
	}
	return []string{
		fmt.Sprintf("CONFIG/LOST: configuration 2 was acknowledged; it does not come back from any core daemon in 20 s, from %v after all machines are back", recoverTime),
		fmt.Sprintf("(a further change is answered %v; a restarted edge daemon answers %d %q)", putErr, after.status, after.body),
	}, nil
}

// loseDisks kills machines at the same time and starts them a second later at their old
// addresses with empty disks.
func (s *system) loseDisks(lost ...*daemon) error {
	for _, d := range lost {
		d.signal(syscall.SIGKILL)
	}
	for _, d := range lost {
		s.kill(d)
		if err := os.RemoveAll(d.node.DataDir); err != nil {
			return err
		}
		s.rec.logf("%s has lost its disk", d.node.Name)
	}
	time.Sleep(time.Second)
	for _, d := range lost {
		d.node.Bootstrap = false
		if err := s.startDaemon(d); err != nil {
			return err
		}
	}
	return nil
}
