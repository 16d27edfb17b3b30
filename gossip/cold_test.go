package gossip

import (
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/gossip/gossippb"
	"github.com/pomelolock/pomelolock/readings"
)

// TestColdServerNeverGetsNewerOrWarmerOnTheWay guards against relays that make an old status
// check newer, so that it would end the suspicion that a server has restarted since, or that
// cut the end of a warm-up.
func TestColdServerNeverGetsNewerOrWarmerOnTheWay(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	began := now.Add(-1234567 * time.Nanosecond)
	until := began.Add(2999999 * time.Microsecond)
	hint := readings.ColdHint{Server: "s", At: began, Until: until}
	for range 5 {
		hint = decodeCold(encodeCold(hint, now), now)
		g.Expect(hint.At).NotTo(gomega.BeTemporally(">", began))
		g.Expect(hint.Until).NotTo(gomega.BeTemporally("<", until))
	}
	g.Expect(hint.Until).To(gomega.BeTemporally("~", until, 20*time.Millisecond))
	warm := decodeCold(encodeCold(readings.ColdHint{Server: "s", At: began}, now), now)
	g.Expect(warm.Until.IsZero()).To(gomega.BeTrue())
}

// TestColdServerIsRepeated guards against a lost datagram that leaves an instance without the
// news, and against relays that multiply the repeats.
func TestColdServerIsRepeated(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	count := func(repeats int) (datagrams int) {
		p := newPendingUpdates()
		p.addCold(readings.ColdHint{Server: "s", At: now}, repeats)
		for !p.empty() {
			msg := &gossippb.Datagram{}
			p.take(msg, now)
			datagrams += len(msg.GetCold())
		}
		return datagrams
	}
	g.Expect(count(noticeRepeats)).To(gomega.Equal(3))
	g.Expect(count(relayedColdRepeats)).To(gomega.Equal(1))
}

// TestReadingTellsThatAServerIsWarm guards against a status check whose result about the
// warm-up is lost when it is packed, or when a relay merges it with a later report.
func TestReadingTellsThatAServerIsWarm(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	pending := newPendingUpdates()
	for _, r := range []readings.Reading{
		{Server: 7, Health: readings.HealthGood, HealthAt: now.Add(-time.Second)},
		{Server: 7, Health: readings.HealthGood, HealthAt: now.Add(-20 * time.Millisecond), Warm: true},
		{Server: 7, HasReport: true, At: now},
	} {
		g.Expect(unpackReadings(appendReading(nil, r, now), now, pending.addReceived)).To(gomega.Succeed())
	}
	g.Expect(pending.readings[7].Warm).To(gomega.BeTrue())
}
