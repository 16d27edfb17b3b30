package entry

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/admission"
	"github.com/pomelolock/pomelolock/gossip"
	"github.com/pomelolock/pomelolock/gossip/gossiptest"
	"github.com/pomelolock/pomelolock/readings"
)

// TestReturnOfADataCentreLogsFewLines guards against a line for each server of a data centre
// that turns cold at once.
func TestReturnOfADataCentreLogsFewLines(t *testing.T) {
	g := gomega.NewWithT(t)
	conn := gossiptest.NewNetwork().Listen()
	board := readings.NewBoard()
	exchange, err := gossip.New(gossip.Options{
		Conn: conn, Address: conn.Address(), ID: "entry-1", DataCentre: "a",
		Board: board, Backlogs: admission.NewBacklogs(), Logger: slog.New(slog.DiscardHandler),
	})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var log bytes.Buffer
	d := &Daemon{exchange: exchange, board: board, startedAt: time.Now(), logger: slog.New(slog.NewTextHandler(&log, nil))}
	now := time.Now()
	var servers []string
	for i := range 280 {
		servers = append(servers, fmt.Sprint("s", i))
		board.SetWarmUp(servers[i], readings.WarmUp{PerSecond: 5.3, For: time.Second}, now)
	}
	board.AssumeCold(servers, now)
	changes, cold := board.TakeColdChanges(now)
	g.Expect(cold).To(gomega.Equal(280))
	d.logColdChanges(changes, now)
	g.Expect(strings.Count(log.String(), "\n")).To(gomega.Equal(maxColdLines + 1))
	g.Expect(log.String()).To(gomega.ContainSubstring(`msg="servers cold" servers=272 source=return`))
	g.Expect(d.coldChanges.Load()).To(gomega.Equal(uint64(280)))
}
