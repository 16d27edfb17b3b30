package scenario

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/pomelolock/pomelolock/internal/fleet"
	"github.com/pomelolock/pomelolock/internal/loadgen"
	"github.com/pomelolock/pomelolock/internal/standin/backend"
	"github.com/pomelolock/pomelolock/outcome"
	"github.com/pomelolock/pomelolock/storage/memory"
)

const searchPath = "/patterns/search"

// startSearch starts three daemons and four backend servers of the service that
// handles searchPath.
func startSearch(t *testing.T) *fleet.Fleet {
	t.Helper()
	services, routes := fleet.Vltava()
	for i, servers := range []int{4, 1, 1} {
		services[i].Servers = servers
	}
	fleetSlot <- struct{}{}
	t.Cleanup(func() { <-fleetSlot })
	f, err := fleet.StartReady(t.Context(), fleet.Spec{
		Bin: bin, Dir: t.TempDir(), Region: "praha", DataCentres: []string{"praha-1"},
		Entries: 3, Services: services, Routes: routes, Seed: 1, BalancerLag: 300 * time.Millisecond,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := f.Stop(); err != nil {
			t.Error(err)
		}
	})
	return f
}

// get sends a GET request and returns the status and the outcome header of the
// response, or 0 and "" if there is none.
func get(ctx context.Context, url string) (status int, result outcome.Outcome) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, ""
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, outcome.Outcome(resp.Header.Get(outcome.HeaderOutcome))
}

// countCrashed counts the backend servers that a request with crash=1 crashed.
func countCrashed(f *fleet.Fleet) int {
	count := 0
	for _, server := range f.Backends {
		select {
		case <-server.Done():
			if server.ExitCode() == backend.CrashExitCode {
				count++
			}
		default:
		}
	}
	return count
}

// resendInterval is longer than a crash report takes to reach the other daemons, also
// on a busy machine.
const resendInterval = 100 * time.Millisecond

// TestPoisonRequestCostsTwoServers resends a request that crashes every server that
// runs it to all daemons in turn. Only two servers may crash, and other requests must
// still be served.
func TestPoisonRequestCostsTwoServers(t *testing.T) {
	f := startSearch(t)
	targets := f.Targets()
	refused := 0
	for i := range 30 {
		status, result := get(t.Context(), targets[i%len(targets)]+searchPath+"?crash=1")
		if status == http.StatusOK {
			t.Fatal("the crashing request got status 200")
		}
		if result == outcome.NotRun {
			refused++
		}
		time.Sleep(resendInterval)
	}
	if lost := countCrashed(f); lost != 2 || refused < 28 {
		t.Fatalf("%d servers crashed, %d of 30 requests were reported as not run", lost, refused)
	}
	for i, target := range targets {
		if status, _ := get(t.Context(), fmt.Sprintf("%s%s?i=%d", target, searchPath, i)); status != http.StatusOK {
			t.Errorf("a lookup that does not crash servers, sent to daemon %d, got status %d", i, status)
		}
	}
}

// TestDrainingServerGetsNoNewWork drains a server while the instance list lags by an
// hour, so that daemons learn of it only from the server's own drain signal. That signal
// is in responses: the check counts from the first request that reaches the draining
// server, which may come late if its window was closed for slowness before. Until then
// bursts of requests make the daemons ask for more leases than they hold.
func TestDrainingServerGetsNoNewWork(t *testing.T) {
	f := startSearch(t)
	if err := f.Platform.SetFaults(t.Context(), memory.Faults{ListLag: time.Hour}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	// Callers hold inFlight for reading during a request. The drain is set while none is
	// in flight, so that each arrival counted after it gets the signal.
	var inFlight sync.RWMutex
	lookup := func(target, query string) int {
		inFlight.RLock()
		defer inFlight.RUnlock()
		status, _ := get(ctx, target+searchPath+"?i="+query)
		return status
	}
	for i, target := range f.Targets() {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				if status := lookup(target, fmt.Sprintf("%d-%d", i, n)); status != http.StatusOK && ctx.Err() == nil {
					t.Errorf("lookup at daemon %d got status %d", i, status)
				}
			}
		})
	}
	defer wg.Wait()
	defer cancel()
	server := f.Backends[0]
	arrivals := func() uint64 {
		var counts backend.Counts
		if err := loadgen.GetJSON(t.Context(), server.AdminURL+backend.PathCounts, &counts); err != nil {
			t.Fatal(err)
		}
		return counts.Arrivals
	}
	time.Sleep(time.Second)
	drain := func() uint64 {
		inFlight.Lock()
		defer inFlight.Unlock()
		if err := server.SetFaults(t.Context(), backend.Faults{Draining: true}); err != nil {
			t.Fatal(err)
		}
		return arrivals()
	}
	before := drain()
	for arrivals() == before {
		burst(t.Context(), f.Targets())
	}
	time.Sleep(3 * time.Second) // Daemons may take a few seconds to notice the drain.
	atDeadline := arrivals()
	burst(t.Context(), f.Targets())
	time.Sleep(2 * time.Second)
	if after := arrivals(); after != atDeadline {
		t.Fatalf("arrivals: %d at the drain, %d 3 s after the next one, %d after 5 s", before, atDeadline, after)
	}
}

// burst sends lookups at once to each target, half as many as a server has slots, and
// waits for them and until the leases that they needed are returned as idle.
func burst(ctx context.Context, targets []string) {
	var wg sync.WaitGroup
	for i, target := range targets {
		for n := range fleet.ServerSlots / 2 {
			wg.Go(func() { get(ctx, fmt.Sprintf("%s%s?i=burst-%d-%d", target, searchPath, i, n)) })
		}
	}
	wg.Wait()
	time.Sleep(300 * time.Millisecond)
}
