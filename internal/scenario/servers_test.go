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

// startSearch starts three daemons over four servers of the search service.
func startSearch(t *testing.T) *fleet.Fleet {
	t.Helper()
	services, routes := fleet.Vltava()
	for i, servers := range []int{4, 1, 1} {
		services[i].Servers = servers
	}
	oneFleet <- struct{}{}
	t.Cleanup(func() { <-oneFleet })
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

// get sends a lookup and returns its status and promise.
func get(ctx context.Context, url string) (status int, promise outcome.Outcome) {
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

// crashed counts the backend servers that ended on a marked request.
func crashed(f *fleet.Fleet) int {
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

// resendPause is longer than news take between daemons, also on a busy machine.
const resendPause = 100 * time.Millisecond

// TestPoisonRequestCostsTwoServers resends a request that crashes every server
// to all daemons in turn.
func TestPoisonRequestCostsTwoServers(t *testing.T) {
	f := startSearch(t)
	targets := f.Targets()
	refused := 0
	for i := range 30 {
		status, promise := get(t.Context(), targets[i%len(targets)]+searchPath+"?crash=1")
		if status == http.StatusOK {
			t.Fatal("the poison request was answered")
		}
		if promise == outcome.NotRun {
			refused++
		}
		time.Sleep(resendPause)
	}
	if lost := crashed(f); lost != 2 || refused < 28 {
		t.Fatalf("%d servers lost, %d of 30 resends told not run", lost, refused)
	}
	for i, target := range targets {
		if status, _ := get(t.Context(), fmt.Sprintf("%s%s?i=%d", target, searchPath, i)); status != http.StatusOK {
			t.Errorf("a harmless lookup at daemon %d got status %d", i, status)
		}
	}
}

// TestDrainingServerGetsNoNewWork drains a server while the instance list is
// too late to tell, so that only its own signal does.
func TestDrainingServerGetsNoNewWork(t *testing.T) {
	f := startSearch(t)
	if err := f.Platform.SetFaults(t.Context(), memory.Faults{ListLag: time.Hour}); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var wg sync.WaitGroup
	for i, target := range f.Targets() {
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				if status, _ := get(ctx, fmt.Sprintf("%s%s?i=%d-%d", target, searchPath, i, n)); status != http.StatusOK && ctx.Err() == nil {
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
	before := arrivals()
	if err := server.SetFaults(t.Context(), backend.Faults{Draining: true}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(3 * time.Second) // The promise allows a few seconds.
	known := arrivals()
	time.Sleep(2 * time.Second)
	if after := arrivals(); before == 0 || after != known {
		t.Fatalf("arrivals: %d before the drain, %d after 3 s, %d after 5 s", before, known, after)
	}
}
