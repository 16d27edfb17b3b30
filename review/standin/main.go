// Command standin runs one case of the review: it starts the project's daemons as processes,
// beside stand-ins for the store, the upstreams and the callers, and judges one rule.
package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// trial is the setting of one run of a case.
type trial struct {
	record  *record
	root    string
	folder  string
	trouble bool
	seed    uint64
}

var cases = map[string]func(t *trial) (broken bool, err error){
	"check-copy":    checkCopy,
	"cap-handover":  capHandover,
	"pipeline-stop": pipelineStop,
	"queue-stop":    queueStop,
	"upload-burst":  uploadBurst,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE REPOSITORY FOLDER; TROUBLE=0 leaves the disruption out")
		return exitNotRun
	}
	rec, err := newRecord(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	t := &trial{record: rec, root: os.Args[2], folder: os.Args[3], trouble: os.Getenv("TROUBLE") != "0", seed: 1}
	broken, err := cases[os.Args[1]](t)
	switch {
	case err != nil:
		rec.say("the case could not run: %v", err)
		return exitNotRun
	case broken:
		rec.say("the rule was broken")
		return exitBroken
	}
	rec.say("the rule held")
	return exitHeld
}
