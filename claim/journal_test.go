package claim_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomelolock/pomelolock/claim"
	"github.com/pomelolock/pomelolock/storage/memory"
	"github.com/pomelolock/pomelolock/table"
)

var testLimits = table.Fleet{ClaimWritesPerSecond: 400, ClaimRetentionMS: 3_600_000}

// inBubble runs test in a synctest bubble with a fleet of n started instances.
func inBubble(t *testing.T, limits table.Fleet, options claim.Options, n int, test func(*testing.T, *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(limits, options)
		defer time.Sleep(time.Second) // Lets in-flight messages arrive.
		defer f.stop()
		for range n {
			f.start()
		}
		time.Sleep(10 * time.Millisecond)
		test(t, f)
	})
}

func claimNow(t *testing.T, in *instance, req claim.Request) claim.Decision {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	decision, err := in.journal.Claim(ctx, req)
	if err != nil {
		t.Fatalf("claim of %s: %v", req.Key, err)
	}
	return decision
}

func wantVerdict(t *testing.T, in *instance, req claim.Request, want claim.Verdict) claim.Decision {
	t.Helper()
	decision := claimNow(t, in, req)
	if decision.Verdict != want {
		t.Fatalf("verdict on %s is %d, want %d", req.Key, decision.Verdict, want)
	}
	return decision
}

func TestKeysSurviveRotationMergeAndRestart(t *testing.T) {
	options := claim.Options{Partitions: 2, TailBytes: 300}
	inBubble(t, testLimits, options, 1, func(t *testing.T, f *fleet) {
		const keys = 900
		first := f.instances[0]
		request := func(i int, attempt string) claim.Request { return orderRequest(fmt.Sprint("key-", i), attempt, "a") }
		for i := range keys {
			req := request(i, "first")
			wantVerdict(t, first, req, claim.Run)
			switch i % 3 {
			case 0:
				first.journal.Finish(req, claim.EndNotRun, nil)
			case 1:
				first.journal.Finish(req, claim.EndFinished, &claim.Response{Status: 201, Body: []byte(req.Key)})
			case 2:
				first.journal.Finish(req, claim.EndUnknown, nil)
			}
		}
		if err := first.journal.Handover(t.Context()); err != nil {
			t.Fatal(err)
		}
		if stats := first.journal.Stats(); stats.Rotations < 100 || stats.Merges < 10 {
			t.Fatalf("too few operations for the test: %d rotations, %d merges", stats.Rotations, stats.Merges)
		}
		f.kill(0)
		second := f.start()
		time.Sleep(10 * time.Millisecond)
		for i := range keys {
			req := request(i, "second")
			switch i % 3 {
			case 0:
				wantVerdict(t, second, req, claim.Run)
			case 1:
				decision := wantVerdict(t, second, req, claim.Replay)
				if string(decision.Response.Body) != req.Key || decision.Response.Status != 201 {
					t.Fatalf("replayed %+v for %s", decision.Response, req.Key)
				}
			case 2:
				wantVerdict(t, second, req, claim.Unknown)
			}
		}
		time.Sleep(20 * time.Minute)
		claimNow(t, second, request(keys, "a"))
		claimNow(t, second, request(keys+1, "a"))
		claimNow(t, second, request(keys+2, "a"))
		objects, err := f.store.ListObjects(t.Context(), "")
		if err != nil || len(objects) > 80 {
			t.Fatalf("%d objects, %v", len(objects), err)
		}
	})
}

func TestExistingJournalKeepsPartitionCount(t *testing.T) {
	inBubble(t, testLimits, claim.Options{Partitions: 4}, 1, func(t *testing.T, f *fleet) {
		f.options.Partitions = 7
		second := f.start()
		time.Sleep(10 * time.Millisecond)
		for i := range 50 {
			key := fmt.Sprint("key-", i)
			wantVerdict(t, f.instances[0], orderRequest(key, "first", "a"), claim.Run)
			second.view.set([]string{second.id})
			wantVerdict(t, second, orderRequest(key, "second", "a"), claim.InProgress)
		}
	})
}

func TestEqualAttemptNamesRunOnce(t *testing.T) {
	inBubble(t, testLimits, claim.Options{}, 2, func(t *testing.T, f *fleet) {
		req := orderRequest("key", "same", "a")
		wantVerdict(t, f.instances[0], req, claim.Run)
		wantVerdict(t, f.instances[1], req, claim.InProgress)
		wantVerdict(t, f.instances[0], req, claim.InProgress)
		f.instances[1].journal.Finish(req, claim.EndNotRun, nil)
		time.Sleep(time.Second)
		wantVerdict(t, f.instances[1], req, claim.InProgress)
		time.Sleep(5 * time.Second)
		wantVerdict(t, f.instances[1], req, claim.Unknown)
		wantVerdict(t, f.instances[1], orderRequest("key", "same", "b"), claim.Mismatch)
	})
}

func TestKeysExpireAfterRetention(t *testing.T) {
	limits := table.Fleet{ClaimWritesPerSecond: 400, ClaimRetentionMS: 600_000}
	inBubble(t, limits, claim.Options{Partitions: 1, TailBytes: 200}, 1, func(t *testing.T, f *fleet) {
		in := f.instances[0]
		for i := range 100 {
			req := orderRequest(fmt.Sprint("key-", i), "first", "a")
			wantVerdict(t, in, req, claim.Run)
			in.journal.Finish(req, claim.EndFinished, nil)
		}
		time.Sleep(595 * time.Second)
		wantVerdict(t, in, orderRequest("key-99", "second", "a"), claim.Finished)
		time.Sleep(10 * time.Second)
		wantVerdict(t, in, orderRequest("key-99", "third", "a"), claim.Run)
		wantVerdict(t, in, orderRequest("other", "a", "a"), claim.Run)
		time.Sleep(2 * time.Minute)
		objects, err := f.store.ListObjects(t.Context(), "")
		if err != nil || len(objects) > 1 || in.journal.Stats().Keys > 2 {
			t.Fatalf("%d objects, %d keys, %v", len(objects), in.journal.Stats().Keys, err)
		}
	})
}

func TestMemoryIsBounded(t *testing.T) {
	limits := table.Fleet{ClaimWritesPerSecond: 400, ClaimRetentionMS: 3_600_000}
	options := claim.Options{Partitions: 1, KeyBytes: 20 * 96, ResponseBytes: 200}
	inBubble(t, limits, options, 1, func(t *testing.T, f *fleet) {
		in := f.instances[0]
		request := func(i int) claim.Request { return orderRequest(fmt.Sprint("key-", i), "a", "a") }
		for i := range 20 {
			wantVerdict(t, in, request(i), claim.Run)
			in.journal.Finish(request(i), claim.EndFinished, &claim.Response{Body: make([]byte, 90)})
		}
		time.Sleep(time.Second)
		wantVerdict(t, in, request(19), claim.Replay)
		wantVerdict(t, in, request(0), claim.Finished)
		var full *claim.UnavailableError
		if _, err := in.journal.Claim(t.Context(), request(20)); !errors.As(err, &full) {
			t.Fatalf("claim above the limit: %v", err)
		}
		time.Sleep(20 * time.Minute)
		if keys := in.journal.Stats().Keys; keys != 0 {
			t.Fatalf("%d keys of an idle partition in memory", keys)
		}
		wantVerdict(t, in, request(0), claim.Finished)
		time.Sleep(time.Hour)
		wantVerdict(t, in, request(20), claim.Run)
	})
}

func TestHandoverWritesEndsAndPreloadsSuccessor(t *testing.T) {
	options := claim.Options{Partitions: 1, FlushInterval: time.Hour}
	inBubble(t, testLimits, options, 2, func(t *testing.T, f *fleet) {
		owner, other := f.owner(t)
		f.instances = []*instance{owner, other}
		req := orderRequest("key", "first", "a")
		wantVerdict(t, other, req, claim.Run)
		other.journal.Finish(req, claim.EndFinished, &claim.Response{Status: 200})
		time.Sleep(10 * time.Millisecond)
		if err := owner.journal.Handover(t.Context()); err != nil {
			t.Fatal(err)
		}
		time.Sleep(10 * time.Millisecond)
		if keys := other.journal.Stats().Keys; keys != 2 {
			t.Fatalf("successor holds %d keys", keys)
		}
		wantVerdict(t, other, orderRequest("key 2", "first", "a"), claim.Run)
		wantVerdict(t, owner, orderRequest("key 3", "first", "a"), claim.Run)
		f.kill(0)
		f.publish()
		wantVerdict(t, other, orderRequest("key", "second", "a"), claim.Replay)
	})
}

func TestRunWritesEndsBeforeItReturns(t *testing.T) {
	options := claim.Options{Partitions: 1, FlushInterval: time.Hour}
	inBubble(t, testLimits, options, 1, func(t *testing.T, f *fleet) {
		first := f.instances[0]
		req := orderRequest("key", "first", "a")
		wantVerdict(t, first, req, claim.Run)
		first.journal.Finish(req, claim.EndFinished, &claim.Response{Status: 200})
		first.cancel()
		<-first.done
		second := f.start()
		time.Sleep(10 * time.Millisecond)
		second.view.set([]string{second.id})
		wantVerdict(t, second, orderRequest("key", "second", "a"), claim.Replay)
	})
}

func TestStoreOutageRejectsNewKeysImmediately(t *testing.T) {
	inBubble(t, testLimits, claim.Options{Partitions: 1}, 1, func(t *testing.T, f *fleet) {
		in := f.instances[0]
		known := orderRequest("known", "first", "a")
		wantVerdict(t, in, known, claim.Run)
		in.journal.Finish(known, claim.EndFinished, &claim.Response{Status: 200})
		f.store.SetFaults(memory.Faults{Down: true})
		began := time.Now()
		for i := range 20 {
			_, err := in.journal.Claim(t.Context(), orderRequest("new", fmt.Sprint(i), "a"))
			var down *claim.UnavailableError
			if !errors.As(err, &down) || down.RetryAfter == 0 {
				t.Fatalf("claim in an outage: %v", err)
			}
			wantVerdict(t, in, orderRequest("known", fmt.Sprint(i), "a"), claim.Replay)
		}
		if took := time.Since(began); took > 10*time.Millisecond {
			t.Fatalf("rejections took %v", took)
		}
		f.store.SetFaults(memory.Faults{})
		time.Sleep(time.Second)
		wantVerdict(t, in, orderRequest("new", "last", "a"), claim.Run)
	})
}

func TestClaimWithLostReplyIsReleased(t *testing.T) {
	inBubble(t, testLimits, claim.Options{Partitions: 1}, 1, func(t *testing.T, f *fleet) {
		in := f.instances[0]
		f.store.SetFaults(memory.Faults{LoseAnswers: 1, Delay: 30 * time.Millisecond})
		ctx, cancel := context.WithTimeout(t.Context(), 70*time.Millisecond)
		defer cancel()
		if _, err := in.journal.Claim(ctx, orderRequest("key", "first", "a")); err == nil {
			t.Fatal("claim succeeded before its timeout")
		}
		time.Sleep(time.Second)
		wantVerdict(t, in, orderRequest("key", "second", "a"), claim.Run)
	})
}

// owner returns the instance that owns the single partition, and another one.
func (f *fleet) owner(t *testing.T) (owner, other *instance) {
	t.Helper()
	wantVerdict(t, f.instances[0], orderRequest("warm", "first", "a"), claim.Run)
	for i, in := range f.instances {
		if in.journal.Stats().Claims > 0 {
			return in, f.instances[(i+1)%len(f.instances)]
		}
	}
	t.Fatal("no owner")
	return nil, nil
}

func TestFrozenOwnerIsSkipped(t *testing.T) {
	inBubble(t, testLimits, claim.Options{Partitions: 1}, 3, func(t *testing.T, f *fleet) {
		owner, other := f.owner(t)
		owner.gate.set(true)
		wantVerdict(t, other, orderRequest("key", "first", "a"), claim.Run)
		began := time.Now()
		wantVerdict(t, other, orderRequest("key 2", "first", "a"), claim.Run)
		if took := time.Since(began); took > 100*time.Millisecond {
			t.Fatalf("second claim took %v", took)
		}
		owner.gate.set(false)
		wantVerdict(t, owner, orderRequest("key", "second", "a"), claim.InProgress)
	})
}

func TestOwnerWithoutStoreIsSkipped(t *testing.T) {
	inBubble(t, testLimits, claim.Options{Partitions: 1}, 3, func(t *testing.T, f *fleet) {
		owner, other := f.owner(t)
		owner.gate.kill()
		wantVerdict(t, other, orderRequest("key", "first", "a"), claim.Run)
	})
}

func TestWritesStayInBudgetWhilePartitionsMove(t *testing.T) {
	limits := table.Fleet{ClaimWritesPerSecond: 80, ClaimRetentionMS: 3_600_000}
	inBubble(t, limits, claim.Options{Partitions: 8}, 4, func(t *testing.T, f *fleet) {
		const seconds, claimsPerSecond = 12, 400
		f.store.SetFaults(memory.Faults{Delay: 2 * time.Millisecond})
		var journals []*claim.Journal
		for _, in := range f.instances {
			journals = append(journals, in.journal)
		}
		for n := range seconds * claimsPerSecond {
			in := f.instances[n%len(f.instances)]
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
				defer cancel()
				_, _ = in.journal.Claim(ctx, orderRequest(fmt.Sprint("key-", n), "first", "a"))
			}()
			time.Sleep(time.Second / claimsPerSecond)
			switch n % 800 {
			case 400:
				f.kill(0)
				journals = append(journals, f.start().journal)
			case 600:
				lagging := f.instances[0]
				lagging.view.set([]string{lagging.id})
			}
		}
		time.Sleep(5 * time.Second)
		var total claim.Stats
		for _, journal := range journals {
			stats := journal.Stats()
			total.HeadWrites += stats.HeadWrites
			total.Conflicts += stats.Conflicts
			total.Claims += stats.Claims
		}
		// The last claims wait for up to half a second, and each
		// partition may use its burst of a quarter of a second, so one
		// second is added to the budget.
		budget := uint64(limits.ClaimWritesPerSecond * (seconds + 1))
		t.Logf("%d writes with a budget of %d, %d conflicts, %d claims", total.HeadWrites, budget, total.Conflicts, total.Claims)
		if total.HeadWrites > budget || total.Claims < seconds*claimsPerSecond*95/100 {
			t.Fatalf("%d writes with a budget of %d for %d claims", total.HeadWrites, budget, total.Claims)
		}
	})
}
