package forward

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
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

// The simulated load: a service at moderate load, each server of which is slowed down by
// other work on its machine a quarter of the time.
const (
	simServers        = 15
	simSlots          = 3
	simRequests       = 60 // a second
	simWork           = 150 * time.Millisecond
	simTarget         = 400 * time.Millisecond
	simLength         = 10 * time.Minute
	simSlowdownLength = 300 * time.Millisecond
	simSlowdownShare  = 0.25
	simSlowdownFactor = 4
)

// slowServers are servers with a fixed plan of slowdowns.
type slowServers struct {
	began time.Time
	slow  [simServers][]bool

	mu      sync.Mutex
	running [simServers]int
}

func newSlowServers(began time.Time) *slowServers {
	rng := rand.New(rand.NewPCG(3, 4))
	s := &slowServers{began: began}
	for i := range s.slow {
		for range 2 * simLength / simSlowdownLength {
			s.slow[i] = append(s.slow[i], rng.Float64() < simSlowdownShare)
		}
	}
	return s
}

func (s *slowServers) slowAt(i int, at time.Time) bool {
	return s.slow[i][at.Sub(s.began)/simSlowdownLength]
}

func (s *slowServers) enter(i, change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running[i] += change
}

func (s *slowServers) reading(i int, now time.Time) readings.Reading {
	s.mu.Lock()
	defer s.mu.Unlock()
	slowdown := readings.NormalSlowdownPercent
	if s.slowAt(i, now) {
		slowdown *= simSlowdownFactor
	}
	return readings.Reading{
		Server: readings.KeyOf(fmt.Sprint("s", i)), HasReport: true, At: now, Health: readings.HealthGood, HealthAt: now,
		Report: readings.Report{Running: s.running[i], Slots: simSlots, SlowdownPercent: slowdown},
	}
}

// run returns how long work takes that starts now.
func (s *slowServers) run(i int, now time.Time) time.Duration {
	const step = 5 * time.Millisecond
	took, left := time.Duration(0), simWork
	for left > 0 {
		done := step
		if s.slowAt(i, now.Add(took)) {
			done /= simSlowdownFactor
		}
		left -= done
		took += step
	}
	return took
}

// play runs the load with periodic checks at the given interval and returns the share of
// requests that were served within their target, and the checks made for each request.
func play(t *testing.T, interval time.Duration, onDemand bool) (inTarget, checks float64) {
	synctest.Test(t, func(t *testing.T) {
		servers := newSlowServers(time.Now())
		dir, board := directory.New(), readings.NewBoard()
		var all []directory.Change
		for i := range simServers {
			all = append(all, directory.Change{Version: 1, Server: directory.Server{ID: fmt.Sprint("s", i), Service: "main", Address: fmt.Sprint("s", i), Slots: simSlots}})
		}
		dir.Replace(all, 1, time.Time{})
		started := make(chan struct{})
		close(started)
		var made atomic.Int64
		go func() {
			for i := 0; t.Context().Err() == nil && time.Since(servers.began) < simLength; i++ {
				board.Observe(servers.reading(i%simServers, time.Now()))
				made.Add(1)
				time.Sleep(interval / simServers)
			}
		}()
		f := New(Options{
			Directory: dir, Board: board, Pool: serverconn.NewPool(), Backlogs: admission.NewBacklogs(),
			CheckRate: func() float64 { return 0 }, Current: table.NewCurrent(), AwaitCurrent: func(context.Context) {},
			Instances: func() int { return 1 }, ConnLimit: func(*table.Service) int { return 0 }, LoadsReady: started,
			Refresh: func(_ context.Context, targets []readings.Target, _ time.Duration) {
				if !onDemand {
					return
				}
				time.Sleep(4 * time.Millisecond)
				for _, target := range targets {
					var i int
					_, _ = fmt.Sscanf(target.Server, "s%d", &i)
					board.Observe(servers.reading(i, time.Now()))
					made.Add(1)
				}
			},
		})
		q := f.queue("main")
		q.serviceTime, q.samples = simWork, 100
		served := 0
		total := simRequests * int(simLength/time.Second)
		for range total {
			now := time.Now()
			x := &exchange{
				f: f, service: &table.Service{Name: "main", HealthPath: "/health"}, route: table.Route{TargetMS: simTarget.Milliseconds()},
				firstSentAt: now, deadline: now.Add(time.Second),
			}
			r, failed := q.acquire(t.Context(), x, true)
			if failed != nil {
				t.Fatal(failed)
			}
			var i int
			_, _ = fmt.Sscanf(r.server.ID, "s%d", &i)
			took := servers.run(i, time.Now())
			if time.Since(now)+took <= simTarget {
				served++
			}
			servers.enter(i, 1)
			time.AfterFunc(took, func() {
				servers.enter(i, -1)
				r.release()
			})
			time.Sleep(time.Second/simRequests - time.Since(now)%(time.Second/simRequests))
		}
		inTarget, checks = float64(served)/float64(total), float64(made.Load())/float64(total)
		time.Sleep(time.Second)
	})
	return inTarget, checks
}

// TestLoadsReadOnDemandNeedFewerChecks compares requests that choose by loads that are read
// when they are sent with requests that choose by frequent periodic checks alone: as many
// have to be served within their target, with at most three checks a request.
func TestLoadsReadOnDemandNeedFewerChecks(t *testing.T) {
	g := gomega.NewWithT(t)
	const maxLoss, maxChecks = 0.005, 3.0
	periodic, many := play(t, 30*time.Millisecond, false)
	onDemand, few := play(t, 500*time.Millisecond, true)
	t.Logf("in target: %.3f with %.1f periodic checks a request, %.3f on demand with %.1f", periodic, many, onDemand, few)
	g.Expect(onDemand).To(gomega.BeNumerically(">=", periodic-maxLoss))
	g.Expect(few).To(gomega.BeNumerically("<=", maxChecks))
}

// TestChecksOnDemandKeepTheLimit has all instances of a fleet want more checks than allowed.
func TestChecksOnDemandKeepTheLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	const instances, limit, seconds = 18, 30.0, 20
	dir := directory.New()
	var all []directory.Change
	for i := range simServers {
		all = append(all, directory.Change{Version: 1, Server: directory.Server{ID: fmt.Sprint("s", i), Service: "main", Slots: simSlots}})
	}
	dir.Replace(all, 1, time.Time{})
	made := 0
	for range instances {
		q := New(Options{Board: readings.NewBoard(), Directory: dir, CheckRate: func() float64 { return limit }, Instances: func() int { return instances }}).queue("main")
		now := time.Now()
		for range seconds * 100 {
			made += q.takeChecks(refreshCount, now)
			now = now.Add(10 * time.Millisecond)
		}
	}
	burst := instances * max(limit*simServers/instances*checkBurst.Seconds(), refreshCount*refreshRounds)
	g.Expect(made).To(gomega.BeNumerically("<=", limit*simServers*seconds+burst))
	g.Expect(made).To(gomega.BeNumerically(">=", limit*simServers*(seconds-1)))
}
