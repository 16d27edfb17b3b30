package entry

import (
	"log/slog"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/quota"
	"github.com/pomelolock/pomelolock/quota/quotapb"
	"github.com/pomelolock/pomelolock/table"
)

// TestTableChangesWhileUnitsAreAskedFor guards against a deadlock of requests that ask for the
// allocators with a table that arrives at the same moment.
func TestTableChangesWhileUnitsAreAskedFor(t *testing.T) {
	g := gomega.NewWithT(t)
	current := table.NewCurrent()
	put := func(version uint64) {
		current.Swap(table.Compile(table.Document{
			Version: version, Workspaces: []table.Workspace{{Name: "w", RatePerSecond: 1, Burst: 1}},
		}))
	}
	put(1)
	random := func() *rand.Rand { return rand.New(rand.NewPCG(1, 1)) }
	q := &quotas{current: current, logger: slog.New(slog.DiscardHandler), allocator: quota.NewAllocator(quota.AllocatorOptions{ID: "a", Random: random(), Logger: slog.New(slog.DiscardHandler)})}
	asked, resume := make(chan struct{}), make(chan struct{})
	q.client = quota.NewClient(quota.ClientOptions{
		Random: random(), BootTime: func() time.Duration { return 0 }, Logger: q.logger,
		Send: func(string, *quotapb.UnitRequest) {},
		Fleet: func() quota.Fleet {
			close(asked)
			<-resume
			return quota.Fleet{Instances: 1, Allocators: q.allocatorIDs()}
		},
	})
	q.setLimits(quota.Limits{Window: time.Second})
	q.refresh()
	q.setAllocators([]string{"a"}, time.Now())
	go q.Take(t.Context(), "w")
	<-asked
	put(2)
	refreshed := make(chan struct{})
	go func() {
		q.refresh()
		close(refreshed)
	}()
	// The table waits for the client's lock by now.
	time.Sleep(50 * time.Millisecond)
	close(resume)
	g.Eventually(refreshed).WithTimeout(5 * time.Second).Should(gomega.BeClosed())
}
