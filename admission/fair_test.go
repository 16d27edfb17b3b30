package admission

import (
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// item is a queued request; sequence is the order of arrival.
type item struct {
	Request
	sequence int
}

func (i item) request() Request { return i.Request }

// drawQueue draws queued requests of up to the given number of workspaces. Their few distinct
// targets make ties likely.
func drawQueue(t *rapid.T, workspaces int, now time.Time) []item {
	n := rapid.IntRange(0, 40).Draw(t, "queued")
	weights := rapid.SliceOfN(rapid.SampledFrom([]float64{0.25, 0.5, 1, 2, 8}), max(workspaces, 1), max(workspaces, 1)).Draw(t, "weights")
	queue := make([]item, n)
	for i := range queue {
		target := time.Duration(rapid.IntRange(0, 6).Draw(t, "target")) * serviceTime / 2
		r := request(rapid.IntRange(0, 1).Draw(t, "priority"), target, target+time.Duration(rapid.IntRange(0, 3).Draw(t, "slack"))*serviceTime, now)
		if workspaces > 0 {
			w := rapid.IntRange(0, workspaces-1).Draw(t, "workspace")
			r.Workspace, r.Weight = fmt.Sprintf("w%d", w), weights[w]
		}
		queue[i] = item{Request: r, sequence: i}
	}
	return queue
}

// drawPast records random sent requests, so that the flows have different virtual times.
func drawPast(t *rapid.T, f *Fair, workspaces int, now time.Time) {
	for _, sent := range drawQueue(t, workspaces, now) {
		f.Sent(sent.Request, now, serviceTime)
	}
}

// TestWithoutWorkspacesTheOrderIsUnchanged guards existing customers against another order,
// other estimates of the wait or additional state.
func TestWithoutWorkspacesTheOrderIsUnchanged(t *testing.T) {
	now := time.Now()
	rapid.Check(t, func(t *rapid.T) {
		var f Fair
		drawPast(t, &f, 0, now)
		queue := drawQueue(t, 0, now)
		r := request(rapid.IntRange(0, 1).Draw(t, "own priority"), serviceTime, 2*serviceTime, now)
		if rapid.Bool().Draw(t, "late") {
			r.Target = now
		}
		ahead := 0
		for _, other := range queue {
			if Compare(other.Request, r, now, serviceTime) <= 0 && (!r.Late(now, serviceTime) || other.Late(now, serviceTime)) {
				ahead++
			}
		}
		if got := Locate(&f, queue, item.request, r, now, serviceTime); got != (Position{Ahead: ahead}) {
			t.Fatalf("%d requests go first, got %+v", ahead, got)
		}
		want := slices.Clone(queue)
		Sort(want, item.request, now, serviceTime)
		SortFair(&f, queue, item.request, now, serviceTime)
		if !slices.Equal(queue, want) {
			t.Fatalf("order %v, want %v", queue, want)
		}
		if f.next != nil {
			t.Fatal("virtual times without workspaces")
		}
	})
}

func TestWithoutWorkspacesNothingIsAllocated(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	var f Fair
	queue := []item{{Request: request(1, serviceTime, 2*serviceTime, now)}, {Request: request(0, serviceTime, 2*serviceTime, now)}}
	g.Expect(testing.AllocsPerRun(100, func() {
		SortFair(&f, queue, item.request, now, serviceTime)
		Locate(&f, queue, item.request, queue[0].Request, now, serviceTime)
		f.Sent(queue[0].Request, now, serviceTime)
	})).To(gomega.BeZero())
}

// TestFairOrder checks on random queues that no request is lost or doubled, that lateness and
// priority go before shares, that the order within a workspace, and with one workspace all of
// the order, is that of Sort, and that the order is that of sending the first request again
// and again.
func TestFairOrder(t *testing.T) {
	now := time.Now()
	rapid.Check(t, func(t *rapid.T) {
		var f Fair
		workspaces := rapid.IntRange(1, 5).Draw(t, "workspaces")
		drawPast(t, &f, workspaces, now)
		queue := drawQueue(t, workspaces, now)
		usual := slices.Clone(queue)
		Sort(usual, item.request, now, serviceTime)
		fair := slices.Clone(queue)
		SortFair(&f, fair, item.request, now, serviceTime)
		if workspaces == 1 && !slices.Equal(fair, usual) {
			t.Fatalf("order of one workspace %v, want %v", fair, usual)
		}
		of := func(items []item, keep func(Request) bool) []int {
			var sequences []int
			for _, i := range items {
				if keep(i.Request) {
					sequences = append(sequences, i.sequence)
				}
			}
			return sequences
		}
		for w := range workspaces {
			for priority := range 2 {
				mine := func(r Request) bool { return r.Workspace == fmt.Sprintf("w%d", w) && r.Priority == priority }
				if got, want := of(fair, mine), of(usual, mine); !slices.Equal(got, want) {
					t.Fatalf("order within workspace %d: %v, want %v", w, got, want)
				}
			}
		}
		for i := range fair {
			if got, want := fair[i].class(now, serviceTime), usual[i].class(now, serviceTime); got != want {
				t.Fatalf("request %d of class %+v, want %+v", i, got, want)
			}
		}
		all := func(Request) bool { return true }
		if got, want := of(fair, all), of(usual, all); len(got) != len(want) || !sameElements(got, want) {
			t.Fatalf("requests %v, want %v", got, want)
		}
		rest := slices.Clone(queue)
		for i := range fair {
			SortFair(&f, rest, item.request, now, serviceTime)
			if rest[0] != fair[i] {
				t.Fatalf("request %d sent is %+v, expected %+v", i, rest[0], fair[i])
			}
			f.Sent(rest[0].Request, now, serviceTime)
			rest = rest[1:]
		}
	})
}

func sameElements(a, b []int) bool {
	a, b = slices.Sorted(slices.Values(a)), slices.Sorted(slices.Values(b))
	return slices.Equal(a, b)
}

// TestLocateAgreesWithTheOrder guards against estimates of the wait that don't match the
// order in which requests are sent. Requests of other workspaces with the same virtual time
// count as ahead.
func TestLocateAgreesWithTheOrder(t *testing.T) {
	now := time.Now()
	rapid.Check(t, func(t *rapid.T) {
		var f Fair
		drawPast(t, &f, 5, now)
		queue := drawQueue(t, 5, now)
		if len(queue) == 0 {
			return
		}
		last := len(queue) - 1
		r := queue[last]
		got := Locate(&f, queue[:last], item.request, r.Request, now, serviceTime)
		SortFair(&f, queue, item.request, now, serviceTime)
		c, before, tied := r.class(now, serviceTime), true, math.Inf(-1)
		want := 0
		for _, i := range queue {
			start := f.start(i.class(now, serviceTime), i.Request, nil)
			f.Sent(i.Request, now, serviceTime)
			if i.sequence == r.sequence {
				before, tied = false, start
				continue
			}
			sameLateness := i.class(now, serviceTime).late == c.late
			if sameLateness && (before || i.class(now, serviceTime) == c && i.Workspace != r.Workspace && start <= tied) {
				want++
			}
		}
		if got.Ahead != want {
			t.Fatalf("%d requests ahead of %+v, want %d", got.Ahead, r, want)
		}
	})
}

// TestNoWorkspaceStarves guards against a backlogged workspace that waits longer than its
// share allows, whatever the others send: with all of them always queued, none is ever further
// behind its share than by its next request and what the others may have sent early.
func TestNoWorkspaceStarves(t *testing.T) {
	now := time.Now()
	rapid.Check(t, func(t *rapid.T) {
		weights := rapid.SliceOfN(rapid.Float64Range(0.01, 10), 1, 12).Draw(t, "weights")
		total := 0.0
		var queue []item
		for w, weight := range weights {
			total += weight
			for range rapid.IntRange(1, 4).Draw(t, "queued") {
				r := request(0, 2*serviceTime, 3*serviceTime, now)
				r.Workspace, r.Weight = fmt.Sprintf("w%d", w), weight
				queue = append(queue, item{Request: r})
			}
		}
		var f Fair
		sent := make(map[string]float64)
		for n := 1; n <= 400; n++ {
			SortFair(&f, queue, item.request, now, serviceTime)
			first := queue[0]
			f.Sent(first.Request, now, serviceTime)
			sent[first.Workspace]++
			// The same workspace queues another request, with the earliest target of all.
			first.Target = first.Target.Add(-time.Microsecond)
			queue[0] = first
			for w, weight := range weights {
				name := fmt.Sprintf("w%d", w)
				lag := weight/total*float64(n) - sent[name]
				if bound := 1 + burstCredit + float64(len(weights))*(1+burstCredit)*weight/total + 2*timeCredit*weight; lag > bound+1e-6 {
					t.Fatalf("%s is %.2f requests behind its share after %d, bound %.2f", name, lag, n, bound)
				}
			}
		}
	})
}

// TestIdleWorkspaceGainsOnlyABurst guards against a workspace that, after a pause, takes all the
// capacity until it has caught up with what it did not use.
func TestIdleWorkspaceGainsOnlyABurst(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	weighted := func(workspace string) item {
		r := request(0, 2*serviceTime, 3*serviceTime, now)
		r.Workspace, r.Weight = workspace, 1
		return item{Request: r}
	}
	var f Fair
	for range 100 {
		f.Sent(weighted("busy").Request, now, serviceTime)
	}
	var queue []item
	for range burstCredit + timeCredit + 4 {
		queue = append(queue, weighted("busy"), weighted("idle"))
	}
	sent := ""
	for ; len(queue) > 0; queue = queue[1:] {
		SortFair(&f, queue, item.request, now, serviceTime)
		f.Sent(queue[0].Request, now, serviceTime)
		sent += queue[0].Workspace[:1]
	}
	g.Expect(sent).To(gomega.HavePrefix(strings.Repeat("i", burstCredit+timeCredit+1) + "bibib"))
}

// TestVirtualTimesAreForgotten guards against state that grows with all the workspaces that
// there ever were, and against a debt that outlasts the overload.
func TestVirtualTimesAreForgotten(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	var f Fair
	for i := range 100_000 {
		r := request(0, 2*serviceTime, 3*serviceTime, now)
		r.Workspace, r.Weight = fmt.Sprintf("w%d", i), 1
		f.Sent(r, now, serviceTime)
		// A request of a workspace that is always there moves the virtual time of the class.
		r.Workspace = "always"
		f.Sent(r, now, serviceTime)
		if len(f.next) > 2*minPruneSize {
			t.Fatalf("%d flows", len(f.next))
		}
	}
	f.Forget(now.Add(fairIdleTTL / 2))
	g.Expect(f.next).NotTo(gomega.BeEmpty())
	f.Forget(now.Add(2 * fairIdleTTL))
	g.Expect(f.next).To(gomega.BeNil())
}
