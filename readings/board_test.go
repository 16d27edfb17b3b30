package readings

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func reading(at time.Time, running int) Reading {
	return Reading{Server: KeyOf("s"), HasReport: true, At: at, Report: Report{Running: running, Slots: 6, SlowdownPercent: 100}}
}

func TestOlderReadingIsIgnored(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	b := NewBoard()
	b.Observe(reading(now, 3))
	b.Receive(reading(now.Add(-time.Second), 5))
	g.Expect(b.Load("s", now).Running).To(gomega.Equal(3))
}

func TestRequestsSinceTheReportAreUnreported(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	b := NewBoard()
	b.Began("s", now)
	b.Observe(reading(now.Add(10*time.Millisecond), 1))
	b.Began("s", now.Add(20*time.Millisecond))
	b.Began("s", now.Add(21*time.Millisecond))
	b.Ended("s", now.Add(30*time.Millisecond))
	load := b.Load("s", now.Add(40*time.Millisecond))
	g.Expect(load.UnreportedInFlight).To(gomega.Equal(1))
	g.Expect(load.OwnInFlight).To(gomega.Equal(2))
}

func TestFailureRateIncludesAllInstances(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	b := NewBoard()
	b.Result("s", true, now)
	b.ReceiveResults(Results{Server: KeyOf("s"), Failed: 9}, now)
	g.Expect(b.Load("s", now).FailureRate).To(gomega.BeNumerically(">", 0.7))
	g.Expect(b.Load("s", now.Add(20*time.Second)).FailureRate).To(gomega.BeNumerically("<", 0.01))
}

func TestOwnReadingsAreSharedOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	b := NewBoard()
	b.Observe(reading(now, 1))
	b.Result("s", false, now)
	b.Receive(Reading{Server: KeyOf("other"), HasReport: true, At: now})
	observed, results := b.TakeUnshared()
	g.Expect(observed).To(gomega.HaveLen(1))
	g.Expect(results).To(gomega.Equal([]Results{{Server: KeyOf("s"), Good: 1}}))
	observed, results = b.TakeUnshared()
	g.Expect(observed).To(gomega.BeEmpty())
	g.Expect(results).To(gomega.BeEmpty())
}

func TestFailedCheckKeepsTheLastReport(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	b := NewBoard()
	b.Observe(reading(now, 4))
	b.Observe(Reading{Server: KeyOf("s"), Health: HealthUnreachable, HealthAt: now.Add(time.Millisecond)})
	load := b.Load("s", now.Add(2*time.Millisecond))
	g.Expect(load.Running).To(gomega.Equal(4))
	g.Expect(load.Health).To(gomega.Equal(HealthUnreachable))
}

// TestOlderCheckOfAPeerKeepsTheServerUnreachable guards against taking a server for
// reachable again because a peer reports a check that ended before the failed one.
func TestOlderCheckOfAPeerKeepsTheServerUnreachable(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	b := NewBoard()
	b.Observe(reading(now, 4))
	b.Observe(Reading{Server: KeyOf("s"), Health: HealthUnreachable, HealthAt: now.Add(20 * time.Millisecond)})
	older := reading(now.Add(10*time.Millisecond), 5)
	older.Health, older.HealthAt = HealthGood, older.At
	b.Receive(older)
	load := b.Load("s", now.Add(30*time.Millisecond))
	g.Expect(load.Running).To(gomega.Equal(5))
	g.Expect(load.Health).To(gomega.Equal(HealthUnreachable))
}

func TestRetainKeepsServersInUse(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	b := NewBoard()
	b.Began("busy", now)
	b.Observe(reading(now, 1))
	b.Retain(func(ServerKey) bool { return false })
	g.Expect(b.Load("busy", now).OwnInFlight).To(gomega.Equal(1))
	g.Expect(b.Load("s", now).HasReport).To(gomega.BeFalse())
}

// TestSharedReadingHasWhatWasSentSince guards against instances that all use the slot that a
// response has reported as free, although the one that got the response has used it.
func TestSharedReadingHasWhatWasSentSince(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	b := NewBoard()
	b.Began("s", now.Add(-time.Second))
	b.Observe(Reading{Server: KeyOf("s"), HasReport: true, At: now, Report: Report{Running: 2, Slots: 3}})
	b.Ended("s", now.Add(time.Millisecond))
	b.Began("s", now.Add(2*time.Millisecond))
	b.Began("s", now.Add(3*time.Millisecond))
	shared, _ := b.TakeUnshared()
	g.Expect(shared).To(gomega.HaveLen(1))
	g.Expect(shared[0].Running).To(gomega.Equal(3))
	g.Expect(b.Load("s", now.Add(4*time.Millisecond)).Running).To(gomega.Equal(2), "the own reading stays as reported")
	b.Ended("s", now.Add(5*time.Millisecond))
	g.Expect(b.Recent(now, time.Second)[0].Running).To(gomega.Equal(2))
}
