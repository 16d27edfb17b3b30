package probe

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/goleak"

	"github.com/pomelolock/pomelolock/outcome"
	"github.com/pomelolock/pomelolock/storage/memory"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// budgetFleet runs the budgets of several instances, each of which sends as many
// probes as its budget grants.
type budgetFleet struct {
	budgets []*Budget
	mu      sync.Mutex
	probes  []time.Time
	wg      sync.WaitGroup
	cancel  context.CancelFunc
}

func startBudgetFleet(store *memory.Store, instances, limit int) *budgetFleet {
	ctx, cancel := context.WithCancel(context.Background())
	p := &budgetFleet{cancel: cancel}
	for range instances {
		b := NewBudget(Options{Tables: store, Limit: func() Limit { return Limit{PerSecond: limit, TableVersion: 1} }})
		p.budgets = append(p.budgets, b)
		p.wg.Go(func() { _ = b.Run(ctx) })
		p.wg.Go(func() { p.acquireAll(ctx, b) })
	}
	return p
}

func (p *budgetFleet) acquireAll(ctx context.Context, b *Budget) {
	for ctx.Err() == nil {
		if b.TryAcquire(1) {
			p.mu.Lock()
			p.probes = append(p.probes, time.Now())
			p.mu.Unlock()
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (p *budgetFleet) stop() {
	p.cancel()
	p.wg.Wait()
}

func (p *budgetFleet) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.probes)
}

func TestBudgetSharesLimitWithFewWrites(t *testing.T) {
	const instances, limit, seconds = 18, 20, 600
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		p := startBudgetFleet(store, instances, limit)
		time.Sleep(seconds * time.Second)
		p.stop()
		for i := limit; i < len(p.probes); i++ {
			if p.probes[i].Sub(p.probes[i-limit]) < time.Second {
				t.Fatalf("more than %d probes in the second from %v", limit, p.probes[i-limit])
			}
		}
		used := float64(len(p.probes)) / (limit * seconds)
		counts := store.Counts()
		t.Logf("limit used %.2f, %.2f writes/s, %.2f reads/s", used,
			float64(counts.Writes)/seconds, float64(counts.Reads)/seconds)
		if used < 0.25 || counts.Writes > 4*seconds {
			t.Fatalf("limit used %.2f with %d writes", used, counts.Writes)
		}
	})
}

func TestBudgetStopsWithoutStoreAndCountsLostResponsesAsSpent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		p := startBudgetFleet(store, 3, 10)
		defer p.stop()
		time.Sleep(time.Minute)
		if p.count() == 0 {
			t.Fatal("no probes before the outage")
		}
		store.SetFaults(memory.Faults{Down: true})
		time.Sleep(leaseLength)
		before := p.count()
		time.Sleep(time.Minute)
		if p.count() != before {
			t.Fatal("probes while the store was unavailable")
		}
		store.SetFaults(memory.Faults{LoseAnswers: 1000})
		time.Sleep(time.Minute)
		if p.count() != before {
			t.Fatal("probes on a lease whose write had an unknown outcome")
		}
		store.SetFaults(memory.Faults{})
		time.Sleep(time.Minute)
		if p.count() == before {
			t.Fatal("no probes after the outage")
		}
	})
}

func TestUnusedBudgetCausesNoStoreOperations(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := memory.New()
		b := NewBudget(Options{Tables: store, Limit: func() Limit { return Limit{PerSecond: 5} }})
		prober := NewProber(ProberOptions{Budget: b, Report: func(Result) { t.Error("a probe was sent") }})
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { _ = b.Run(ctx) })
		wg.Go(func() { _ = prober.Run(ctx) })
		for range 600 {
			// A server with traffic that fails intermittently.
			prober.RecordFailure("10.0.0.1:80")
			time.Sleep(100 * time.Millisecond)
			prober.RecordResponse("10.0.0.1:80")
		}
		cancel()
		wg.Wait()
		if counts := store.Counts(); counts.Reads+counts.Writes > 0 || b.Spent() > 0 {
			t.Fatalf("store operations %+v and %d probes although the server had traffic", counts, b.Spent())
		}
	})
}

// fixedBudget grants a fixed number of probes.
type fixedBudget struct{ left int }

func (a *fixedBudget) TryAcquire(n int) bool {
	if a.left < n {
		return false
	}
	a.left -= n
	return true
}

// pipeServer serves HTTP over in-memory connections.
type pipeServer struct {
	mu       sync.Mutex
	down     bool
	draining bool
}

func (s *pipeServer) set(down, draining bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.draining = down, draining
}

func (s *pipeServer) dial(context.Context, string, string) (net.Conn, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, &net.OpError{Op: "dial", Err: net.ErrClosed}
	}
	header := ""
	if s.draining {
		header = outcome.HeaderDraining + ": true\r\n"
	}
	client, server := net.Pipe()
	go func() {
		defer server.Close()
		buf := make([]byte, 4096)
		n, _ := server.Read(buf)
		if strings.HasPrefix(string(buf[:n]), http.MethodGet) {
			_, _ = server.Write([]byte("HTTP/1.1 204 No Content\r\n" + header + "\r\n"))
		}
	}()
	return client, nil
}

func TestProberRetriesQuietServerUntilItResponds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := &pipeServer{down: true}
		var serving atomic.Bool
		budget := &fixedBudget{left: 100}
		results := make(chan Result, 100)
		prober := NewProber(ProberOptions{
			Budget: budget, Dial: server.dial, SharedSuspects: func() []string {
				if serving.Load() {
					return []string{"10.0.0.2:80"}
				}
				return []string{"10.0.0.2:80", "10.0.0.3:80"}
			},
			Report: func(r Result) {
				results <- r
				if r.Address == "10.0.0.3:80" && r.Answered && !r.Draining {
					serving.Store(true)
				}
			},
			Owns: func(address string) bool { return address == "10.0.0.3:80" },
		})
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { _ = prober.Run(ctx) })
		prober.RecordFailure("10.0.0.1:80")
		time.Sleep(quietPeriod / 2)
		if len(results) > 0 {
			t.Fatal("probe of a server with recent traffic")
		}
		time.Sleep(time.Minute)
		failed := len(results)
		if failed < 4 || failed > 9 {
			t.Fatalf("%d probes in a minute", failed)
		}
		server.set(false, true)
		time.Sleep(2 * backoffMax)
		server.set(false, false)
		time.Sleep(10 * backoffMax)
		cancel()
		wg.Wait()
		close(results)
		last := make(map[string]Result)
		drained := 0
		for r := range results {
			last[r.Address] = r
			if r.Draining {
				drained++
			}
		}
		if _, ok := last["10.0.0.2:80"]; ok || len(last) != 2 || drained < 2 {
			t.Fatalf("%d draining responses, last results %+v", drained, last)
		}
		for _, r := range last {
			if !r.Answered || r.Draining {
				t.Fatalf("last result %+v", r)
			}
		}
		if used := 100 - budget.left; used > failed+10 {
			t.Fatalf("%d probes although the servers respond", used)
		}
	})
}

// TestProberWaitsLongerAfterFalseRecovery has a health endpoint that reports a
// draining server as healthy. The wait must grow after each false recovery.
func TestProberWaitsLongerAfterFalseRecovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := &pipeServer{}
		probeTimes := make(chan time.Duration, 200)
		start := time.Now()
		prober := NewProber(ProberOptions{
			Budget: &fixedBudget{left: 100}, Dial: server.dial,
			SharedSuspects: func() []string { return []string{"10.0.0.1:80"} },
			Report:         func(Result) { probeTimes <- time.Since(start) },
		})
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { _ = prober.Run(ctx) })
		time.Sleep(time.Hour)
		cancel()
		wg.Wait()
		close(probeTimes)
		var probes []time.Duration
		for at := range probeTimes {
			probes = append(probes, at)
		}
		if len(probes) < 3 || len(probes) > 10 || probes[0] < sharedBackoffMin || probes[1]-probes[0] < 2*sharedBackoffMin {
			t.Fatalf("probes at %v", probes)
		}
	})
}

func TestProberDropsServerThatIsNoLongerShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var gone atomic.Bool
		prober := NewProber(ProberOptions{
			Budget: &fixedBudget{left: 100}, Dial: (&pipeServer{}).dial,
			SharedSuspects: func() []string {
				if gone.Load() {
					return nil
				}
				return []string{"10.0.0.1:80"}
			},
			Report: func(r Result) { t.Errorf("probe of %s", r.Address) },
		})
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		wg.Go(func() { _ = prober.Run(ctx) })
		time.Sleep(sharedBackoffMin / 2)
		gone.Store(true)
		time.Sleep(10 * sharedBackoffMin)
		cancel()
		wg.Wait()
	})
}
