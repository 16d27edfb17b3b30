// Command standin2 plays the cases of the second review. The first argument names the case, the
// second the file for the record. It exits with 1 if the rule was broken, 0 if it held and 2 if
// the case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// timeLimit is the time after which a case is given up.
const timeLimit = 115 * time.Second

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

var cases = map[string]func(w *world, trouble bool) (verdict, error){}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) < 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE RECORD")
		return 2
	}
	w, err := newWorld(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-stop:
		case <-time.After(timeLimit):
		}
		w.logf("given up")
		w.end()
		os.Exit(2)
	}()
	v, err := cases[os.Args[1]](w, os.Getenv("TROUBLE") != "0")
	if err != nil {
		w.logf("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		w.end()
		return 2
	}
	w.logf("broken %t: %s", v.broken, v.text)
	w.end()
	fmt.Println(v.text)
	if v.broken {
		return 1
	}
	return 0
}
