package readings

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// know makes the board know some servers.
func know(b *Board, now time.Time, servers ...string) {
	for _, id := range servers {
		b.Receive(Reading{Server: KeyOf(id), HasReport: true, At: now, Health: HealthGood, HealthAt: now})
	}
}

func TestLinksAreLostOnceNoServerAnswers(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	b := NewBoard()
	know(b, now, "a", "b", "c", "d")
	b.Answered(now)
	now = now.Add(time.Second)
	for _, id := range []string{"a", "b", "a", "b", "a"} {
		b.Unanswered(id, now)
	}
	g.Expect(b.LinksLost()).To(gomega.BeFalse(), "two servers that crashed")
	b.Answered(now)
	b.Unanswered("c", now)
	g.Expect(b.LinksLost()).To(gomega.BeFalse(), "one since a server answered")
	now = now.Add(minSilence)
	b.Unanswered("b", now)
	b.Observe(Reading{Server: KeyOf("a"), Health: HealthUnreachable, HealthAt: now})
	g.Expect(b.LinksLost()).To(gomega.BeTrue())
	g.Expect(b.Links(now).Since).To(gomega.Equal(now))
	b.Answered(now.Add(time.Second))
	g.Expect(b.LinksLost()).To(gomega.BeFalse())
}

func TestLinksToFewServersAreLostWithAllOfThem(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	b := NewBoard()
	know(b, now, "a", "b")
	b.Unanswered("a", now)
	g.Expect(b.LinksLost()).To(gomega.BeFalse())
	b.Unanswered("b", now)
	g.Expect(b.LinksLost()).To(gomega.BeTrue())
}

// TestFailuresOfLostLinksAreNotShared guards against an instance without links that makes
// servers look bad at the others.
func TestFailuresOfLostLinksAreNotShared(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	b := NewBoard()
	know(b, now, "a", "b", "c", "d")
	fail := func(servers ...string) {
		for _, id := range servers {
			b.Unanswered(id, now)
			b.Observe(Reading{Server: KeyOf(id), Health: HealthUnreachable, HealthAt: now})
		}
	}
	fail("a", "b", "c", "d")
	observed, results := b.TakeUnshared()
	g.Expect(observed).To(gomega.BeEmpty())
	g.Expect(results).To(gomega.BeEmpty())
	now = now.Add(time.Second)
	b.Answered(now)
	observed, results = b.TakeUnshared()
	g.Expect(observed).To(gomega.BeEmpty(), "links were lost")
	g.Expect(results).To(gomega.BeEmpty(), "links were lost")

	now = now.Add(time.Second)
	fail("a")
	observed, results = b.TakeUnshared()
	g.Expect(observed).To(gomega.BeEmpty())
	g.Expect(results).To(gomega.BeEmpty())
	b.Answered(now)
	observed, results = b.TakeUnshared()
	g.Expect(observed).To(gomega.HaveLen(1), "another server answered: the fault is the server's")
	g.Expect(results).To(gomega.ConsistOf(Results{Server: KeyOf("a"), Failed: 1}))
}

func TestLinksAreSuspectedWhileRequestsWaitInVain(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	b := NewBoard()
	suspect := func(after time.Duration) bool { return b.Links(now.Add(after)).Suspect }
	g.Expect(suspect(time.Second)).To(gomega.BeFalse(), "nothing waits")
	b.Began("a", now)
	g.Expect(suspect(suspicionTime)).To(gomega.BeFalse())
	g.Expect(suspect(suspicionTime + 1)).To(gomega.BeTrue())
	b.Answered(now.Add(suspicionTime))
	g.Expect(suspect(suspicionTime + 1)).To(gomega.BeFalse())
	b.Ended("a", now)
	g.Expect(suspect(time.Minute)).To(gomega.BeFalse())
}

// TestNewConnectionsAreLostWhileOpenOnesLive guards against an instance that is left with the
// connections it has.
func TestNewConnectionsAreLostWhileOpenOnesLive(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	b := NewBoard()
	know(b, now, "a", "b", "c", "d", "e", "f", "g")
	b.Connected("1", true, now)
	now = now.Add(time.Second)
	for _, address := range []string{"1", "2", "3", "4", "5"} {
		b.Connected(address, false, now)
		b.Answered(now)
	}
	g.Expect(b.LinksLost()).To(gomega.BeFalse(), "servers that crashed")
	g.Expect(b.Links(now).Suspect).To(gomega.BeTrue())
	b.Connected("6", false, now)
	b.Answered(now)
	g.Expect(b.LinksLost()).To(gomega.BeTrue())
	g.Expect(b.Links(now).Silent).To(gomega.BeFalse())
	b.Connected("7", true, now)
	g.Expect(b.LinksLost()).To(gomega.BeFalse())
}
