package entry

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/storeclock"
)

// TestCapsCountSuspension guards against an allocator that does not notice a suspension of its
// machine, in which another one took over: Go's monotonic clock stops.
func TestCapsCountSuspension(t *testing.T) {
	g := gomega.NewWithT(t)
	suspended := time.Duration(0)
	q := &quotas{beganLocal: storeclock.BootTime(), began: time.Now()}
	q.local = func() time.Duration { return storeclock.BootTime() + suspended }
	before := q.now()
	suspended = time.Minute
	g.Expect(q.now().Sub(before)).To(gomega.BeNumerically(">=", time.Minute))
}
