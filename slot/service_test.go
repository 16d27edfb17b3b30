package slot

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/loadbalancer"
	"github.com/pomelolock/pomelolock/table"
)

// TestWaiterWithExcludedServerDoesNotBlockOthers queues a request that excludes
// the server of the only idle lease. A later request must get that lease.
func TestWaiterWithExcludedServerDoesNotBlockOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		now := time.Now()
		h := newHolder(simGroup, simMaxRunTime, minIdleTime)
		ask := askAt(h, now)
		h.onGrant("entry-0", grantOf(1, ask.GetSeq(), firstSlot), now)
		s := &service{
			name:    "stock",
			wake:    func() {},
			usable:  func(server string) (table.Server, bool) { return table.Server{Name: server}, true },
			holders: []*holder{h},
			queue:   newQueue(10),
		}
		waiting := loadbalancer.Request{Service: "stock", Exclude: []string{"server-0"}}
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _, _ = s.acquire(ctx, waiting) }()
		synctest.Wait()
		var permit *loadbalancer.Permit
		go func() { permit, _ = s.acquire(ctx, loadbalancer.Request{Service: "stock"}) }()
		synctest.Wait()
		g.Expect(permit).NotTo(gomega.BeNil(), "a request waits though there is an idle lease that it may use")
	})
}
