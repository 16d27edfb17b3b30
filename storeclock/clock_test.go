package storeclock

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// clocks are a local clock and a store's clock that is ahead of or behind it.
type clocks struct{ local, store time.Duration }

func (c *clocks) advance(d time.Duration) { c.local += d; c.store += d }

func (c *clocks) now() time.Duration { return c.local }

func age(t *testing.T, c *Clock) time.Duration {
	t.Helper()
	got, ok := c.Age()
	if !ok {
		t.Fatal("no proof")
	}
	return got
}

// TestAgeIsNeverTooLow makes calls with random delays in both directions and proofs that
// arrive late. It guards against a proof that looks more recent than it is.
func TestAgeIsNeverTooLow(t *testing.T) {
	const seed, rounds = 11, 2000
	rng := rand.New(rand.NewPCG(seed, 0))
	world := &clocks{local: time.Hour, store: 3 * time.Minute}
	c := New(world.now)
	newest := time.Duration(0)
	upTo := func(d time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(d))) }
	for range rounds {
		switch rng.IntN(3) {
		case 0:
			sent := world.local
			world.advance(upTo(300 * time.Millisecond))
			taken := world.store
			world.advance(upTo(2 * time.Second))
			c.Calibrate(sent, 0, taken)
		case 1:
			asOf := world.store - upTo(5*time.Second)
			newest = max(newest, asOf)
			c.Prove(0, asOf)
		default:
			world.advance(upTo(500 * time.Millisecond))
		}
		if got, ok := c.Age(); ok && got < world.store-newest {
			t.Fatalf("age %v of a proof that is %v old", got, world.store-newest)
		}
	}
	// The fastest of many calls took some milliseconds, so that the bound is close.
	gomega.NewWithT(t).Expect(age(t, c) - (world.store - newest)).To(gomega.BeNumerically("<", 500*time.Millisecond))
}

// TestLateProofIsAsOldAsItIs guards against a datagram from the buffer of a stopped process
// that proves the time of its arrival, and against clocks that stand still while the machine
// is suspended.
func TestLateProofIsAsOldAsItIs(t *testing.T) {
	g := gomega.NewWithT(t)
	world := &clocks{local: time.Hour, store: time.Minute}
	c := New(world.now)
	c.Calibrate(world.local, 0, world.store)
	asOf := world.store
	world.advance(8 * time.Second)
	c.Prove(0, asOf)
	g.Expect(age(t, c)).To(gomega.BeNumerically("~", 8*time.Second, 10*time.Millisecond))
	world.advance(10 * time.Second)
	g.Expect(age(t, c)).To(gomega.BeNumerically(">=", 18*time.Second))
}

// TestProofWaitsForCalibration guards against a process that takes a proof without knowing
// the store's clock.
func TestProofWaitsForCalibration(t *testing.T) {
	g := gomega.NewWithT(t)
	world := &clocks{local: time.Hour, store: time.Minute}
	c := New(world.now)
	c.Prove(0, world.store)
	_, ok := c.Age()
	g.Expect(ok).To(gomega.BeFalse())
	g.Expect(c.NeedsCalibration(0)).To(gomega.BeTrue())
	world.advance(time.Second)
	c.Calibrate(world.local, 0, world.store)
	g.Expect(age(t, c)).To(gomega.Equal(time.Second))
	g.Expect(c.NeedsCalibration(0)).To(gomega.BeFalse())
	world.advance(recalibrateAfter + 1)
	g.Expect(c.NeedsCalibration(0)).To(gomega.BeTrue())
}

// TestRestoredStoreNeedsAnotherCalibration guards against times of one era that are converted
// with the offset of another: the clock of the new era goes on, or is ahead by an hour.
func TestRestoredStoreNeedsAnotherCalibration(t *testing.T) {
	for _, jump := range []time.Duration{0, time.Hour} {
		const slowness = 10 * time.Millisecond
		g := gomega.NewWithT(t)
		world := &clocks{local: time.Hour, store: time.Minute}
		c := New(world.now)
		c.Calibrate(world.local, 0, world.store)
		c.Prove(0, world.store)
		world.advance(time.Second)
		world.store += jump
		g.Expect(c.NeedsCalibration(1)).To(gomega.BeTrue())
		c.Prove(1, world.store)
		g.Expect(age(t, c)).To(gomega.Equal(time.Second), "the proof of the former era")
		g.Expect(c.Proof(0)).To(gomega.BeZero())
		g.Expect(c.Proof(1)).To(gomega.Equal(world.store))
		c.Calibrate(world.local-slowness, 1, world.store)
		g.Expect(c.NeedsCalibration(1)).To(gomega.BeFalse())
		g.Expect(age(t, c)).To(gomega.Equal(slowness))
		c.Calibrate(world.local+time.Hour, 0, world.store)
		world.advance(time.Second)
		g.Expect(age(t, c)).To(gomega.Equal(time.Second+slowness), "a late response of the former era")
	}
}

// TestImpossibleTimesProveNothing guards against a wrong time that later ones can't replace,
// and against a calibration that outlives a jump of the store's clock.
func TestImpossibleTimesProveNothing(t *testing.T) {
	g := gomega.NewWithT(t)
	world := &clocks{local: time.Hour, store: time.Minute}
	c := New(world.now)
	c.Prove(0, 24*time.Hour)
	c.Calibrate(world.local, 0, world.store)
	_, ok := c.Age()
	g.Expect(ok).To(gomega.BeFalse())
	c.Prove(0, 24*time.Hour)
	g.Expect(c.Proof(0)).To(gomega.BeZero())
	c.Prove(0, world.store)
	g.Expect(age(t, c)).To(gomega.BeZero())
	world.store += time.Minute
	c.Prove(0, world.store)
	world.advance(time.Second)
	g.Expect(age(t, c)).To(gomega.Equal(time.Second), "the jump is not known yet")
	c.Calibrate(world.local, 0, world.store)
	c.Prove(0, world.store)
	g.Expect(age(t, c)).To(gomega.BeZero())
}

// TestDriftIsAllowedFor guards against an old calibration that a slow local clock makes
// invalid.
func TestDriftIsAllowedFor(t *testing.T) {
	world := &clocks{local: time.Hour, store: time.Minute}
	c := New(world.now)
	c.Calibrate(world.local, 0, world.store)
	world.local += time.Hour
	world.store += time.Hour + 360*time.Millisecond // 100 ppm
	asOf := world.store - time.Second
	c.Prove(0, asOf)
	gomega.NewWithT(t).Expect(age(t, c)).To(gomega.BeNumerically(">=", time.Second))
}

// TestLongPollsDoNotReplaceCalibrations guards against a reader whose calibration ages for hours
// because its long polls count as calls, until the table looks as old as a long poll lasts.
func TestLongPollsDoNotReplaceCalibrations(t *testing.T) {
	g := gomega.NewWithT(t)
	const poll = time.Second
	world := &clocks{local: time.Hour, store: time.Minute}
	c := New(world.now)
	oldest := time.Duration(0)
	for range 10_000 {
		if c.NeedsCalibration(0) {
			c.Calibrate(world.local, 0, world.store)
		}
		sent := world.local
		world.advance(poll)
		c.Observe(sent, 0, world.store)
		c.Prove(0, world.store)
		oldest = max(oldest, age(t, c))
	}
	g.Expect(oldest).To(gomega.BeNumerically("<", 130*time.Millisecond))
}

func TestBootTimeAdvances(t *testing.T) {
	before := BootTime()
	time.Sleep(2 * time.Millisecond)
	gomega.NewWithT(t).Expect(BootTime() - before).To(gomega.BeNumerically(">=", 2*time.Millisecond))
}
