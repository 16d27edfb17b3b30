package feed

import (
	"log/slog"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/directory"
	"github.com/pomelolock/pomelolock/gossip"
	"github.com/pomelolock/pomelolock/table"
)

func TestEachReadCountsOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	f := New(Options{Directory: directory.New(), Current: table.NewCurrent(), Logger: slog.New(slog.DiscardHandler)})
	now := time.Now()
	f.recordSuccess(now, 0)
	own := f.Freshness()
	own.At = now.Add(2 * time.Millisecond)
	f.ReceiveFreshness("b", own)
	g.Expect(f.peerFreshAt).To(gomega.BeZero(), "a process received its own read")
	g.Expect(f.freshAt).To(gomega.Equal(now))
	other := gossip.Freshness{At: now.Add(time.Second), Read: gossip.Read{Process: f.process + 1, Number: 1}}
	f.ReceiveFreshness("b", other)
	g.Expect(f.peerFreshAt).To(gomega.Equal(other.At))
	again := other
	again.At = other.At.Add(5 * time.Millisecond)
	f.ReceiveFreshness("c", again)
	g.Expect(f.peerFreshAt).To(gomega.Equal(other.At), "the same read received from another peer")
	again.Read.Number++
	f.ReceiveFreshness("c", again)
	g.Expect(f.freshAt).To(gomega.Equal(again.At))
}
