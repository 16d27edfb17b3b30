package forward

import (
	"bytes"
	"fmt"
	"log/slog"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/admission"
	"github.com/pomelolock/pomelolock/directory"
	"github.com/pomelolock/pomelolock/readings"
	"github.com/pomelolock/pomelolock/table"
)

// orderFixture is the queue of an instance that sends 100 requests a second and whose log is
// kept, with a table of the given workspaces.
type orderFixture struct {
	q        *queue
	snapshot *table.Snapshot
	log      bytes.Buffer
}

func newOrderFixture(workspaces ...table.Workspace) *orderFixture {
	f := &orderFixture{snapshot: table.Compile(table.Document{Version: 1, Workspaces: workspaces})}
	dir := directory.New()
	dir.Replace([]directory.Change{{Version: 1, Server: directory.Server{ID: "s", Service: "main", Slots: 3}}}, 1, time.Time{})
	forwarder := New(Options{
		Board: readings.NewBoard(), Directory: dir, Backlogs: admission.NewBacklogs(), Log: slog.New(slog.NewTextHandler(&f.log, nil)),
		Instances: func() int { return 1 },
	})
	f.q = forwarder.queue("main")
	f.q.open, f.q.rate, f.q.serviceTime, f.q.samples = true, 100, 20*time.Millisecond, 100
	return f
}

// arrive has a request of the workspace arrive, with a target after 400 ms, and
// reports whether it was queued.
func (f *orderFixture) arrive(workspace *table.Workspace, at time.Time) bool {
	x := &exchange{
		f: f.q.f, in: &http.Request{}, service: &table.Service{Name: "main"}, snapshot: f.snapshot, firstSentAt: at, deadline: at.Add(time.Second),
		route:    table.Route{TargetMS: 400},
		identity: identity{workspace: workspace, weight: f.snapshot.Weight(workspace)},
	}
	return f.q.enqueueLocked(&waiter{Request: x.queued(), x: x, granted: make(chan grant, 1)}, at) == nil
}

// TestHotWorkspaceIsRefusedFirst guards against a workspace that fills a queue, so that the
// requests of others are refused. Without workspaces, the queue is full for all.
func TestHotWorkspaceIsRefusedFirst(t *testing.T) {
	now := time.Now()
	for _, workspaces := range []bool{true, false} {
		t.Run(fmt.Sprint(workspaces), func(t *testing.T) {
			g := gomega.NewWithT(t)
			f := newOrderFixture()
			var hot, other *table.Workspace
			if workspaces {
				hot, other = &table.Workspace{Name: "hot", RatePerSecond: 100}, &table.Workspace{Name: "other", RatePerSecond: 100}
				f = newOrderFixture(*hot, *other)
			}
			g.Expect(f.arrive(other, now)).To(gomega.BeTrue())
			accepted := 0
			for i := range 200 {
				if f.arrive(hot, now.Add(time.Duration(i)*time.Microsecond)) {
					accepted++
				}
			}
			g.Expect(accepted).To(gomega.BeNumerically("<", 100), "the queue is full")
			g.Expect(f.arrive(other, now.Add(time.Millisecond))).To(gomega.Equal(workspaces))
			if !workspaces {
				g.Expect(f.q.f.Stats().OverShare).To(gomega.BeZero())
				g.Expect(f.log.String()).NotTo(gomega.ContainSubstring("workspace"))
				return
			}
			g.Expect(f.q.f.Stats().OverShare).To(gomega.Equal(uint64(200 - accepted)))
			g.Expect(f.log.String()).To(gomega.ContainSubstring("workspace=hot queue_share=0.9"))
			g.Expect(f.log.String()).To(gomega.ContainSubstring("fair_share=0.5"))
			// Both take turns; the second requests of both are due at once, that of hot arrived first.
			f.q.sortLocked(now)
			g.Expect([]string{f.q.waiters[0].Workspace, f.q.waiters[1].Workspace, f.q.waiters[2].Workspace, f.q.waiters[3].Workspace}).
				To(gomega.Equal([]string{"other", "hot", "hot", "other"}))
		})
	}
}

// TestLateRequestIsNotCountedAsOverItsShare guards against a counter of refusals for shares that
// counts requests which nobody could serve in time.
func TestLateRequestIsNotCountedAsOverItsShare(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	hot, other := &table.Workspace{Name: "hot", RatePerSecond: 1}, &table.Workspace{Name: "other", RatePerSecond: 100}
	f := newOrderFixture(*hot, *other)
	f.q.lastResponse = now
	g.Expect(f.arrive(other, now)).To(gomega.BeTrue())
	x := &exchange{
		f: f.q.f, in: &http.Request{}, service: &table.Service{Name: "main"}, snapshot: f.snapshot, firstSentAt: now, deadline: now.Add(time.Millisecond),
		identity: identity{workspace: hot, weight: f.snapshot.Weight(hot)},
	}
	g.Expect(f.q.enqueueLocked(&waiter{Request: x.queued(), x: x}, now)).NotTo(gomega.BeNil())
	g.Expect(f.q.f.Stats().OverShare).To(gomega.BeZero())
}

// TestPlaceInQueueFollowsTheTable guards against requests that keep the workspace or the weight
// of an older table, and against weights where no table has workspaces.
func TestPlaceInQueueFollowsTheTable(t *testing.T) {
	g := gomega.NewWithT(t)
	current := table.NewCurrent()
	f := New(Options{
		Board: readings.NewBoard(), Current: current, TableAge: func() time.Duration { return 0 }, Log: slog.New(slog.DiscardHandler),
		KeyRules: func() KeyRules { return KeyRules{CertainWithin: time.Second} }, Instances: func() int { return 1 },
	})
	var first *table.Snapshot
	for version, c := range []struct {
		rates  []float64
		name   string
		weight float64
	}{
		{nil, "", 0}, {[]float64{30, 10}, "w0", 1.5}, {[]float64{10, 30}, "w0", 0.5}, {nil, "", 0},
	} {
		doc := table.Document{Version: uint64(version + 1)}
		for i, rate := range c.rates {
			doc.Workspaces = append(doc.Workspaces, table.Workspace{
				Name: fmt.Sprint("w", i), KeyHashes: []table.KeyHash{table.HashKey(fmt.Sprint("k", i))}, RatePerSecond: rate,
			})
		}
		current.Swap(table.Compile(doc))
		if first == nil {
			first = current.Load()
		}
		x := &exchange{f: f, in: &http.Request{}, service: &table.Service{Name: "main"}, snapshot: first, caller: Caller{Key: "k0"}}
		g.Expect(x.authorize()).To(gomega.BeNil())
		r := x.queued()
		g.Expect(r.Workspace).To(gomega.Equal(c.name))
		g.Expect(r.Weight).To(gomega.Equal(c.weight))
	}
}
