// Command _harness runs one case of the review: it starts the programs of the project on loopback
// addresses, brings a disruption about and checks one rule. It exits with 1 if the rule was
// broken, with 0 if it held and with 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"
)

var cases = map[string]func(*system, bool) bool{
	"lost-notice": lostNotice, "forgotten-notice": forgottenNotice, "ack-then-kill": ackThenKill,
	"late-first-report": lateFirstReport,
	"resent":            resentToLeaving,
}

func main() { os.Exit(run()) }

func run() (code int) {
	name := flag.String("case", "", "the case to run")
	record := flag.String("record", "record.txt", "the file for what was sent, answered and run")
	root := flag.String("root", ".", "the repository")
	keep := flag.String("logs", "", "a folder that keeps the logs of the processes")
	flag.Parse()
	c := cases[*name]
	if c == nil {
		fmt.Fprintln(os.Stderr, "unknown case")
		return 2
	}
	file, err := os.Create(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer file.Close()
	rec := &recorder{file: file, start: time.Now()}
	dir := *keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "review"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
		defer os.RemoveAll(dir)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, trouble %v", *name, trouble)
	s := newSystem(rec, *root, dir, 5, 3)
	defer func() {
		s.stop()
		if v := recover(); v != nil {
			f, known := v.(failure)
			if !known {
				panic(v)
			}
			rec.add("the case could not run: %v", f.err)
			fmt.Fprintln(os.Stderr, "the case could not run:", f.err)
			code = 2
		}
	}()
	if c(s, trouble) {
		rec.add("RULE BROKEN")
		fmt.Println("rule broken")
		return 1
	}
	rec.add("the rule held")
	fmt.Println("the rule held")
	return 0
}
