package entry

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/admission"
	"github.com/pomelolock/pomelolock/gossip"
	"github.com/pomelolock/pomelolock/gossip/gossiptest"
	"github.com/pomelolock/pomelolock/readings"
)

// TestInstancesThatAreCutOffShareTheChecks guards against instances that, each alone in its
// view of the fleet, all check each server as often as the whole fleet may.
func TestInstancesThatAreCutOffShareTheChecks(t *testing.T) {
	g := gomega.NewWithT(t)
	const instances, allowed = 18, 60.0
	conn := gossiptest.NewNetwork().Listen()
	exchange, err := gossip.New(gossip.Options{
		Conn: conn, Address: conn.Address(), ID: "entry-1", DataCentre: "a",
		Board: readings.NewBoard(), Backlogs: admission.NewBacklogs(), Logger: slog.New(slog.DiscardHandler),
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	for i := range instances - 1 {
		exchange.Add(gossip.Member{ID: fmt.Sprint("other-", i), DataCentre: "a", Address: conn.Address()})
	}
	d := &Daemon{exchange: exchange, startedAt: time.Now().Add(-time.Minute), backlogs: admission.NewBacklogs()}
	d.settings.Store(&Settings{ChecksPerSecond: allowed})
	d.backlogs.Set("orders", admission.Counts{InTime: 1})
	perInstance := 1 / d.checkInterval("orders", "a").Seconds()
	g.Expect(perInstance * instances).To(gomega.BeNumerically("<=", allowed))
}

// TestInstanceThatKnowsNobodyTakesASmallShare guards against a new instance, cut off from the
// others, that takes what the whole fleet may do for its own.
func TestInstanceThatKnowsNobodyTakesASmallShare(t *testing.T) {
	g := gomega.NewWithT(t)
	conn := gossiptest.NewNetwork().Listen()
	exchange, err := gossip.New(gossip.Options{
		Conn: conn, Address: conn.Address(), ID: "entry-1", DataCentre: "a",
		Board: readings.NewBoard(), Backlogs: admission.NewBacklogs(), Logger: slog.New(slog.DiscardHandler),
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	d := &Daemon{exchange: exchange, startedAt: time.Now().Add(-time.Minute)}
	g.Expect(d.sharers()).To(gomega.Equal(assumedInstances), "cut off from the others and the store")
	d.joined.Store(true)
	g.Expect(d.sharers()).To(gomega.Equal(1), "alone by the store")

	d = &Daemon{exchange: exchange, startedAt: time.Now()}
	exchange.Add(gossip.Member{ID: "entry-2", DataCentre: "a", Address: conn.Address()})
	g.Expect(d.sharers()).To(gomega.Equal(assumedInstances), "has heard of one so far")
	d.startedAt = time.Now().Add(-settleTime)
	time.Sleep(200 * time.Millisecond)
	g.Expect(d.sharers()).To(gomega.Equal(2))
}
