package claim_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/pomelolock/pomelolock/claim"
	_ "github.com/pomelolock/pomelolock/internal/fixedseed"
	"github.com/pomelolock/pomelolock/storage/memory"
	"github.com/pomelolock/pomelolock/table"
)

// onceChecker records which attempts were allowed to run which keys and reports
// violations.
type onceChecker struct {
	mu sync.Mutex
	// holder is the attempt that may have run a key and has not released
	// it.
	holder     map[string]string
	body       map[string]string
	responses  map[string]string
	violations []string
}

func newOnceChecker() *onceChecker {
	return &onceChecker{holder: make(map[string]string), body: make(map[string]string), responses: make(map[string]string)}
}

func (c *onceChecker) recordDecision(req claim.Request, d claim.Decision) {
	c.mu.Lock()
	defer c.mu.Unlock()
	body := string(req.Fingerprint[:1])
	switch d.Verdict {
	case claim.Run:
		if holder, ok := c.holder[req.Key]; ok {
			c.violations = append(c.violations, fmt.Sprintf("%s runs for %s while %s holds the key", req.Key, req.Attempt, holder))
		}
		c.holder[req.Key], c.body[req.Key] = req.Attempt, body
	case claim.Replay:
		if string(d.Response.Body) != c.responses[req.Key] || c.body[req.Key] != body {
			c.violations = append(c.violations, fmt.Sprintf("%s replays %q", req.Key, d.Response.Body))
		}
	}
}

func (c *onceChecker) recordEnd(req claim.Request, state claim.EndState, response string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch state {
	case claim.EndNotRun:
		delete(c.holder, req.Key)
	case claim.EndFinished:
		c.responses[req.Key] = response
	}
}

func (c *onceChecker) check(t *rapid.T) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.violations) > 0 {
		t.Fatalf("%v", c.violations)
	}
}

// attempt claims a key and, if the verdict is Run, ends with the given state.
// State 0 stands for an instance that crashes before it can record the end.
func attempt(in *instance, c *onceChecker, req claim.Request, wait time.Duration, state claim.EndState, took time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	decision, err := in.journal.Claim(ctx, req)
	if err != nil {
		return
	}
	c.recordDecision(req, decision)
	if decision.Verdict != claim.Run || state == 0 {
		return
	}
	time.Sleep(took)
	var response *claim.Response
	if state == claim.EndFinished {
		response = &claim.Response{Status: 201, Body: []byte(req.Attempt)}
	}
	c.recordEnd(req, state, req.Attempt)
	in.journal.Finish(req, state, response)
}

func TestKeyRunsAtMostOnceUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		runInBubble(t, func() { checkAtMostOnce(rt) })
	})
}

// runInBubble runs one case of a property in a synctest bubble and re-raises
// its failure, which rapid signals by a panic.
func runInBubble(t *testing.T, run func()) {
	var failure any
	synctest.Test(t, func(*testing.T) {
		defer func() { failure = recover() }()
		run()
	})
	if failure != nil {
		panic(failure)
	}
}

func checkAtMostOnce(t *rapid.T) {
	f := newFleet(table.Fleet{ClaimWritesPerSecond: 400, ClaimRetentionMS: 3_600_000}, claim.Options{
		Partitions: 2, TailBytes: 600, MaxBatch: rapid.SampledFrom([]int{1, 3, 64}).Draw(t, "batch"),
	})
	c := newOnceChecker()
	var group sync.WaitGroup
	defer time.Sleep(time.Second) // Lets in-flight messages arrive.
	defer f.stop()
	defer group.Wait()
	defer f.heal()
	for range 3 {
		f.start()
	}
	synctest.Wait()
	attempts := 0
	pick := func(t *rapid.T) *instance {
		return f.instances[rapid.IntRange(0, len(f.instances)-1).Draw(t, "instance")]
	}
	claimKey := func(t *rapid.T) {
		key := fmt.Sprint("key-", rapid.IntRange(0, 11).Draw(t, "key"))
		body := rapid.SampledFrom([]string{"a", "a", "a", "b"}).Draw(t, "body")
		wait := time.Duration(rapid.SampledFrom([]int{3, 100, 2000}).Draw(t, "wait")) * time.Millisecond
		state := claim.EndState(rapid.SampledFrom([]int{0, 1, 1, 1, 1, 1, 2, 3}).Draw(t, "state"))
		took := time.Duration(rapid.IntRange(0, 30).Draw(t, "took")) * time.Millisecond
		for range rapid.IntRange(1, 3).Draw(t, "copies") {
			attempts++
			in, req := pick(t), orderRequest(key, fmt.Sprint("attempt-", attempts), body)
			group.Go(func() { attempt(in, c, req, wait, state, took) })
		}
	}
	// claimMany advances the head beyond what the other instances have
	// read.
	claimMany := func(t *rapid.T) {
		in := pick(t)
		in.view.set([]string{in.id})
		for range 10 {
			attempts++
			req := orderRequest(fmt.Sprint("key-", rapid.IntRange(0, 11).Draw(t, "key")), fmt.Sprint("attempt-", attempts), "a")
			group.Go(func() { attempt(in, c, req, time.Second, claim.EndNotRun, time.Millisecond) })
			time.Sleep(10 * time.Millisecond)
		}
	}
	passTime := func(t *rapid.T) {
		time.Sleep(time.Duration(rapid.SampledFrom([]int{0, 1, 5, 100, 1500}).Draw(t, "ms")) * time.Millisecond)
	}
	t.Repeat(map[string]func(*rapid.T){
		"claim 1": claimKey, "claim 2": claimKey, "claim 3": claimKey, "claim 4": claimKey,
		"claim many":  claimMany,
		"pass time 1": passTime, "pass time 2": passTime,
		"heal 1": func(*rapid.T) { f.heal() }, "heal 2": func(*rapid.T) { f.heal() },
		"lose answers": func(t *rapid.T) {
			f.setFaults(func(faults *memory.Faults) { faults.LoseAnswers = rapid.IntRange(1, 3).Draw(t, "n") })
		},
		"drop writes": func(t *rapid.T) {
			f.setFaults(func(faults *memory.Faults) { faults.DropWrites = rapid.IntRange(1, 3).Draw(t, "n") })
		},
		"stale reads": func(t *rapid.T) {
			f.setFaults(func(faults *memory.Faults) { faults.StaleReads = rapid.IntRange(1, 3).Draw(t, "n") })
		},
		"outage": func(t *rapid.T) {
			f.setFaults(func(faults *memory.Faults) { faults.Down = true })
		},
		"slow": func(t *rapid.T) {
			delay := rapid.SampledFrom([]int{0, 1, 1, 5, 5, 700}).Draw(t, "ms")
			f.setFaults(func(faults *memory.Faults) { faults.Delay = time.Duration(delay) * time.Millisecond })
		},
		"freeze":    func(t *rapid.T) { pick(t).gate.set(true) },
		"thaw":      func(t *rapid.T) { pick(t).gate.set(false) },
		"cut":       func(t *rapid.T) { f.net.SetCut(pick(t).id, pick(t).id, rapid.Bool().Draw(t, "cut")) },
		"kill":      func(t *rapid.T) { f.kill(rapid.IntRange(0, len(f.instances)-1).Draw(t, "i")); f.start() },
		"lag views": func(t *rapid.T) { pick(t).view.set([]string{pick(t).id}) },
		"":          c.check,
	})
	f.heal()
	group.Wait()
	time.Sleep(10 * time.Second)
	last := f.start()
	time.Sleep(time.Second)
	for key := range 12 {
		attempts++
		req := orderRequest(fmt.Sprint("key-", key), fmt.Sprint("attempt-", attempts), "a")
		attempt(last, c, req, time.Minute, 0, 0)
	}
	c.check(t)
}
