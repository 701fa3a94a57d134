// Command driver runs the scripted cases of the review: it starts gw-core and gw-edge as
// processes on loopback addresses, with runners, callers and an operator as stand-ins.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit codes.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// caseFunc runs a case, without its disruption unless trouble is set, and returns
// what broke the rule.
type caseFunc func(s *system, trouble bool) (broken []string, err error)

var cases = map[string]caseFunc{
	"unreadable-report": unreadableReport, "replaced-core": replacedCore, "joined-versions": joinedVersions, "lost-take-ups": lostTakeUps,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver CASE FOLDER")
		return exitCannotRun
	}
	out, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCannotRun
	}
	defer out.Close()
	rec := &recorder{out: out, start: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.logf("case %s, trouble %v", os.Args[1], trouble)
	s, err := newSystem(rec)
	if err != nil {
		rec.logf("cannot run: %v", err)
		return exitCannotRun
	}
	defer s.stop()
	broken, err := cases[os.Args[1]](s, trouble)
	if err != nil {
		rec.logf("cannot run: %v", err)
		fmt.Fprintln(os.Stderr, "cannot run:", err)
		return exitCannotRun
	}
	for _, b := range broken {
		rec.logf("BROKEN: %s", b)
		fmt.Println("broken:", b)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	rec.logf("the rule held")
	fmt.Println("held")
	return exitHeld
}
