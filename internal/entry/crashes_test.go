package entry

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/peer/peertest"
	"github.com/pomelolock/pomelolock/quarantine"
	"github.com/pomelolock/pomelolock/readings"
)

// TestOnlyServersThatAreDownCountAsCrashed guards against refusing a request because
// live servers reset its connections: only losses of servers that are down or no longer
// listed count.
func TestOnlyServersThatAreDownCountAsCrashed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		net := peertest.NewNetwork(time.Millisecond)
		defer net.Close()
		c := &crashes{
			Quarantine: quarantine.New(quarantine.Options{Messenger: net.Join("entry"), Losses: crashLosses}),
			board:      readings.NewBoard(),
			listed:     func(server string) bool { return server != "left" },
		}
		c.board.Observe(readings.Reading{Server: "alive", Health: readings.HealthGood, At: time.Now()})
		for _, server := range []string{"down-1", "down-2"} {
			c.board.Observe(readings.Reading{Server: server, Health: readings.HealthUnreachable, At: time.Now()})
		}
		fp := [32]byte{1}
		for _, server := range []string{"alive", "alive", "alive", "unknown", "down-1", "left"} {
			c.ReportLoss(fp, server)
			time.Sleep(2 * crashDetectionTime)
		}
		refused, _ := c.Check(fp)
		g.Expect(refused).To(gomega.BeFalse())

		c.ReportLoss(fp, "down-2")
		time.Sleep(2 * crashDetectionTime)
		refused, retryAfter := c.Check(fp)
		g.Expect(refused).To(gomega.BeTrue())
		g.Expect(retryAfter).To(gomega.BeNumerically(">", 0))
	})
}
