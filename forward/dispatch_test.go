package forward

import (
	"context"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/admission"
	"github.com/pomelolock/pomelolock/directory"
	"github.com/pomelolock/pomelolock/readings"
	"github.com/pomelolock/pomelolock/serverconn"
	"github.com/pomelolock/pomelolock/table"
)

// The load of fleetLoad: a service whose servers are busy, so that requests wait at all
// instances, which hear of each other's readings every 30 ms.
const (
	fleetInstances   = 18
	fleetServers     = 15
	fleetSlots       = 3
	fleetWork        = 160 * time.Millisecond
	fleetTarget      = 400 * time.Millisecond
	fleetDeadline    = 1200 * time.Millisecond
	fleetGossip      = 30 * time.Millisecond
	fleetStep        = 2 * time.Millisecond
	fleetLength      = 2 * time.Minute
	fleetNearlyFull  = 1.7
	fleetNoise       = 300 * time.Millisecond
	fleetNoiseShare  = 0.2
	fleetNoiseFactor = 5
)

// fleetJob is a request at a server.
type fleetJob struct {
	left time.Duration
	done func()
}

// fleetLoad is a set of servers that a fleet of instances uses. Lock mu guards the jobs.
type fleetLoad struct {
	mu   sync.Mutex
	jobs [fleetServers][]*fleetJob
	slow [fleetServers]bool
	// crowded is the number of steps in which a server had more requests than it runs without
	// a slowdown, steps the number of all steps.
	crowded, steps int
}

// advance runs all servers for one step and calls done of the jobs that end.
func (l *fleetLoad) advance() {
	var ended []*fleetJob
	l.mu.Lock()
	for i, jobs := range l.jobs {
		rate := 1.0
		if l.slow[i] {
			rate /= fleetNoiseFactor
		}
		l.steps++
		if len(jobs) >= fleetSlots {
			rate /= fleetNearlyFull
			l.crowded++
		}
		for _, j := range jobs[:min(len(jobs), fleetSlots)] {
			j.left -= time.Duration(rate * float64(fleetStep))
		}
		l.jobs[i] = slices.DeleteFunc(jobs, func(j *fleetJob) bool {
			if j.left <= 0 {
				ended = append(ended, j)
			}
			return j.left <= 0
		})
	}
	l.mu.Unlock()
	for _, j := range ended {
		j.done()
	}
}

func (l *fleetLoad) reading(i int) readings.Reading {
	l.mu.Lock()
	defer l.mu.Unlock()
	now, slowdown := time.Now(), readings.NormalSlowdownPercent
	if l.slow[i] {
		slowdown *= fleetNoiseFactor
	}
	n := len(l.jobs[i])
	return readings.Reading{
		Server: readings.KeyOf(fmt.Sprint("s", i)), HasReport: true, At: now, Health: readings.HealthGood, HealthAt: now,
		Report: readings.Report{Running: min(n, fleetSlots), Waiting: max(n-fleetSlots, 0), Slots: fleetSlots, SlowdownPercent: slowdown},
	}
}

// fleetInstance is an instance and its own readings.
type fleetInstance struct {
	f        *Forwarder
	board    *readings.Board
	backlogs *admission.Backlogs
}

func newFleetInstance(l *fleetLoad, dir *directory.Directory, started chan struct{}, check bool) *fleetInstance {
	in := &fleetInstance{board: readings.NewBoard(), backlogs: admission.NewBacklogs()}
	in.f = New(Options{
		Directory: dir, Board: in.board, Pool: serverconn.NewPool(), Backlogs: in.backlogs, Log: slog.New(slog.DiscardHandler),
		CheckRate: func() float64 {
			if check {
				return 30
			}
			return 1e-9
		},
		Current: table.NewCurrent(), AwaitCurrent: func(context.Context) {},
		Instances: func() int { return fleetInstances }, ConnLimit: func(*table.Service) int { return 0 }, LoadsReady: started,
		Peer: func([]string) (Peer, bool) { return Peer{}, false },
		Refresh: func(_ context.Context, targets []readings.Target, _ time.Duration) {
			time.Sleep(time.Millisecond)
			for _, target := range targets {
				var i int
				_, _ = fmt.Sscanf(target.Server, "s%d", &i)
				in.board.Observe(l.reading(i))
			}
			time.Sleep(time.Millisecond)
		},
	})
	return in
}

// exchangeReadings sends the readings and backlogs of each instance to all others.
func exchangeReadings(instances []*fleetInstance) {
	now := time.Now()
	for n, from := range instances {
		shared, _ := from.board.TakeUnshared()
		for _, to := range instances {
			if to == from {
				continue
			}
			for _, r := range shared {
				to.board.Receive(r)
			}
			to.backlogs.Receive(fmt.Sprint(n), false, from.backlogs.Own(), now)
		}
	}
}

// playFleet runs the load and returns the share of requests served within their target and the
// share of the servers' time in which they had too many requests. requests is their number in a
// second. Without check, requests that wait are sent by the readings that instances share.
func playFleet(t *testing.T, requests float64, check bool) (inTarget, crowded float64) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		rng := rand.New(rand.NewPCG(7, 8))
		l, dir := &fleetLoad{}, directory.New()
		var all []directory.Change
		for i := range fleetServers {
			all = append(all, directory.Change{Version: 1, Server: directory.Server{ID: fmt.Sprint("s", i), Service: "main", Address: fmt.Sprint("s", i), Slots: fleetSlots}})
		}
		dir.Replace(all, 1, time.Time{})
		started := make(chan struct{})
		close(started)
		var instances []*fleetInstance
		for range fleetInstances {
			in := newFleetInstance(l, dir, started, check)
			q := in.f.queue("main")
			q.serviceTime, q.samples, q.lastResponse = fleetWork, 100, time.Now()
			for i := range fleetServers {
				in.board.Observe(l.reading(i))
			}
			instances = append(instances, in)
			go func() { _ = in.f.Run(ctx) }()
		}
		var served, total int
		var mu sync.Mutex
		for at := time.Duration(0); at < fleetLength; at += fleetStep {
			if at%fleetNoise == 0 {
				l.mu.Lock()
				for i := range l.slow {
					l.slow[i] = rng.Float64() < fleetNoiseShare
				}
				l.mu.Unlock()
			}
			if at%fleetGossip == 0 {
				exchangeReadings(instances)
			}
			l.advance()
			if rng.Float64() < requests*fleetStep.Seconds() {
				total++
				in, work := instances[rng.IntN(fleetInstances)], time.Duration(float64(fleetWork)*(0.7+0.6*rng.Float64()))
				go func() {
					if in.serve(ctx, l, work) {
						mu.Lock()
						served++
						mu.Unlock()
					}
				}()
			}
			time.Sleep(fleetStep)
		}
		cancel()
		mu.Lock()
		inTarget = float64(served) / float64(total)
		mu.Unlock()
		crowded = float64(l.crowded) / float64(l.steps)
		time.Sleep(time.Second)
	})
	return inTarget, crowded
}

// serve has a request of a caller served, and reports whether it met its target.
func (in *fleetInstance) serve(ctx context.Context, l *fleetLoad, work time.Duration) bool {
	began := time.Now()
	x := &exchange{
		f: in.f, service: &table.Service{Name: "main", HealthPath: "/health"}, route: table.Route{TargetMS: fleetTarget.Milliseconds()},
		receivedAt: began, firstSentAt: began, deadline: began.Add(fleetDeadline),
	}
	r, failed := in.f.queue("main").acquire(ctx, x, true)
	if failed != nil {
		return false
	}
	var i int
	_, _ = fmt.Sscanf(r.server.ID, "s%d", &i)
	ended := make(chan struct{})
	l.mu.Lock()
	l.jobs[i] = append(l.jobs[i], &fleetJob{left: work, done: func() { close(ended) }})
	l.mu.Unlock()
	select {
	case <-ctx.Done():
		return false
	case <-ended:
	}
	in.board.Observe(l.reading(i))
	r.recordResponse(time.Now(), 1)
	r.release()
	return time.Since(began) <= fleetTarget
}

// TestWaitingRequestsDoNotCrowdServers guards against instances that send waiting requests to the
// same free slot, because each learns only from the next datagram that another has used it.
func TestWaitingRequestsDoNotCrowdServers(t *testing.T) {
	g := gomega.NewWithT(t)
	const requests = 145
	without, crowdedWithout := playFleet(t, requests, false)
	with, crowded := playFleet(t, requests, true)
	t.Logf("in target: %.3f with checks, %.3f without; servers crowded: %.3f and %.3f of the time", with, without, crowded, crowdedWithout)
	g.Expect(crowded).To(gomega.BeNumerically("<", crowdedWithout/2))
	g.Expect(with).To(gomega.BeNumerically(">", without))
}

// TestOverloadServesThoseInTime guards against capacity that goes to requests which are late
// already, while others that could be served in time wait at other instances. With more requests
// than the servers can run, 0.7 of what they can run has to be in time.
func TestOverloadServesThoseInTime(t *testing.T) {
	const requests, share = 165, 0.7
	running := float64(fleetServers * (fleetSlots - 1))
	capacity := running / fleetWork.Seconds() * (1 - fleetNoiseShare + fleetNoiseShare/fleetNoiseFactor)
	inTarget, _ := playFleet(t, requests, true)
	t.Logf("in target: %.3f of %d a second, the servers can run %.0f", inTarget, requests, capacity)
	gomega.NewWithT(t).Expect(inTarget * requests).To(gomega.BeNumerically(">=", share*capacity))
}

// TestFreedCapacityIsLeftToRequestsInTime guards against an instance that uses the capacity it
// frees for late requests, while others elsewhere could still meet their targets there.
func TestFreedCapacityIsLeftToRequestsInTime(t *testing.T) {
	now := time.Now()
	for _, c := range []struct {
		name      string
		elsewhere int
		slowdown  int
		late      bool
		checks    float64
		served    bool
	}{
		{"late, others in time", 1, 100, true, 30, false},
		{"late, nobody else", 0, 100, true, 30, true},
		{"late, server too slow for others", 1, 500, true, 30, true},
		{"late, no checks", 1, 100, true, 1e-9, true},
		{"in time", 1, 100, false, 30, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newOrderFixture()
			f.q.f.opts.Pool = serverconn.NewPool()
			f.q.f.opts.Current = table.NewCurrent()
			if c.elsewhere > 0 {
				f.q.f.opts.Backlogs.Receive("other", false, []admission.Backlog{{Service: "main", Counts: admission.Counts{InTime: c.elsewhere}}}, now)
			}
			f.q.f.opts.Board.Observe(readings.Reading{
				Server: readings.KeyOf("s"), HasReport: true, At: now,
				Report: readings.Report{Running: 1, Slots: fleetSlots, SlowdownPercent: c.slowdown},
			})
			f.q.f.opts.CheckRate = func() float64 { return c.checks }
			x := &exchange{f: f.q.f, in: &http.Request{}, service: &table.Service{Name: "main", HealthPath: "/health"}, snapshot: f.snapshot, deadline: now.Add(time.Second)}
			w := &waiter{Request: admission.Request{Target: now.Add(fleetTarget), Deadline: now.Add(time.Second)}, x: x, granted: make(chan grant, 1)}
			if c.late {
				w.Target = now.Add(-time.Millisecond)
			}
			f.q.waiters = []*waiter{w}
			f.q.takeChecks(refreshCount*refreshRounds, now.Add(-time.Second))
			f.q.capacityFreed("s", now)
			gomega.NewWithT(t).Expect(len(w.granted)).To(gomega.Equal(map[bool]int{true: 1}[c.served]))
		})
	}
}
