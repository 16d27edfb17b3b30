// Command standin3 runs the cases of the third review that are scripts. A case starts daemons of the
// project and stand-ins for the platform's store, upstreams and requesters, all on loopback addresses.
//
// Usage: standin3 CASE DAEMON RECORD
//
// DAEMON is the program of the daemon, RECORD the file for what was sent, answered and run. The exit
// code is 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in
// the environment the case runs without the disruption.
package main

import (
	"fmt"
	"os"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// setup is what each case gets.
type setup struct {
	binary, dir string
	trouble     bool
	record      *record
}

var cases = map[string]func(*setup) (broken bool, err error){
	"last-tenant":           lastTenant,
	"crash-while-answering": crashWhileAnswering,
	"crash-silently":        crashSilently,
	"crash-forgotten":       forgottenCrash,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE DAEMON RECORD")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(cases[os.Args[1]], os.Args[2], os.Args[3]))
}

func runCase(run func(*setup) (bool, error), binary, recordPath string) int {
	dir, err := os.MkdirTemp("", "standin3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(dir)
	r, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.file.Close()
	broken, err := run(&setup{binary: binary, dir: dir, trouble: os.Getenv("TROUBLE") != "0", record: r})
	switch {
	case err != nil:
		r.line(time.Now(), "the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	case broken:
		r.line(time.Now(), "verdict: the rule is broken")
		return exitBroken
	}
	r.line(time.Now(), "verdict: the rule holds")
	return exitHeld
}

// recordFaults records how often each rule was broken, and reports whether any was.
func (s *setup) recordFaults(faults map[string]int) bool {
	for fault, count := range faults {
		s.record.line(time.Now(), "%s: %d times", fault, count)
	}
	return len(faults) > 0
}
