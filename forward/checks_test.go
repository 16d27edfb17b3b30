package forward

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/directory"
)

// TestChecksAreNotEarnedBackInTime guards against a negative number of checks, at which a request
// panics and its connection closes: a goroutine that waited for the lock has an earlier time than the
// one before.
func TestChecksAreNotEarnedBackInTime(t *testing.T) {
	g := gomega.NewWithT(t)
	servers := directory.New()
	servers.Replace([]directory.Change{{Version: 1, Server: directory.Server{ID: "s1", Service: "main", Address: "127.0.0.1:1", Slots: 6}}}, 1, time.Time{})
	servers.SetEvacuated(0, nil)
	q := newQueue(&Forwarder{opts: Options{
		Directory: servers, CheckRate: func() float64 { return 60 }, Instances: func() int { return 1 },
	}}, "main")
	now := time.Now()
	g.Expect(q.takeChecks(1000, now)).To(gomega.BeNumerically(">", 0))
	g.Expect(q.takeChecks(5, now.Add(-100*time.Millisecond))).To(gomega.BeZero())
	g.Expect(q.takeChecks(5, now.Add(20*time.Millisecond))).To(gomega.Equal(1), "the earlier time earns nothing twice")
}
