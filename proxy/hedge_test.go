package proxy_test

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/outcome"
	"github.com/pomelolock/pomelolock/table"
)

// TestSlowLookupIsHedged makes the first server hang once there are enough
// latency samples. The second server must respond to the hedge, and all buffer
// memory must be released afterwards. A non-repeatable request must not be
// hedged.
func TestSlowLookupIsHedged(t *testing.T) {
	const warmUp = 100
	g := gomega.NewWithT(t)
	var hang atomic.Bool
	resume := make(chan struct{})
	slow := func() fault {
		if hang.Load() {
			<-resume
		}
		return faultNone
	}
	hedging := func(doc *table.Document) {
		doc.Services[0].Mode, doc.Services[0].HedgePercentile = table.ModeTail, 95
	}
	bed := newTestbed(t, hedging, slow, always(faultNone))
	for i := range warmUp {
		bed.send(g, http.MethodGet, "/lookup", fmt.Sprintf("warm-%d", i), "", "")
	}
	hang.Store(true)
	got := bed.send(g, http.MethodGet, "/lookup", "slow", "", "")
	g.Expect(got).To(gomega.Equal(reply{http.StatusOK, string(outcome.Ran), responseText + "slow", true}))
	g.Expect(bed.servers[1].runs("slow")).To(gomega.Equal(1))
	g.Expect(bed.proxy.Stats().Hedges).To(gomega.BeNumerically(">=", 1))
	nonRepeatable := make(chan reply, 1)
	go func() { nonRepeatable <- bed.send(g, http.MethodPost, "/order", "order", "", "roll 7") }()
	close(resume)
	g.Expect((<-nonRepeatable).complete).To(gomega.BeTrue())
	g.Expect(bed.servers[1].runs("order")).To(gomega.BeZero(), "a non-repeatable request was hedged")
	g.Eventually(func() int64 { return bed.proxy.Stats().BufferedBytes }).WithTimeout(time.Minute).Should(gomega.BeZero())
}
