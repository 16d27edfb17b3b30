package memory_test

import (
	"runtime"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/memory"
)

const mb = 1 << 20

// heap plays the samples of a process, one a second, and counts the returns.
type heap struct {
	scavenger *memory.Scavenger
	sample    memory.HeapSample
	returns   int
	// left is what is held after a return.
	left int64
}

func newHeap() *heap {
	return &heap{
		scavenger: memory.NewScavenger(200), left: 2 * mb,
		sample: memory.HeapSample{At: time.Unix(1000, 0), Held: 8 * mb, Live: 1 * mb, Cycles: 5},
	}
}

// play plays seconds with the given load and held memory; collected tells whether the runtime collects
// in each of them, and live what it finds.
func (h *heap) play(seconds int, load, held, live int64, collected bool) {
	h.sample.Held = held
	for range seconds {
		h.sample.At = h.sample.At.Add(time.Second)
		h.sample.Load = load
		if collected {
			h.sample.Cycles++
			h.sample.Live = live
		}
		if h.scavenger.Due(h.sample) {
			h.returns++
			h.sample.Cycles++
			h.sample.Live, h.sample.Held = min(h.sample.Live, 1*mb), h.left
		}
	}
}

// TestMemoryOfABurstIsReturnedOnce guards against a process that holds the memory of a burst for
// minutes because nothing allocates, and against collections while the load is high or without a burst.
func TestMemoryOfABurstIsReturnedOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newHeap()
	h.play(60, 0, 8*mb, 0, false)
	h.play(60, 300<<10, 11*mb, 1*mb, true)
	g.Expect(h.returns).To(gomega.BeZero(), "before the burst")
	h.play(8, 80*mb, 185*mb, 80*mb, true)
	g.Expect(h.returns).To(gomega.BeZero(), "during the burst")
	h.play(4, 0, 185*mb, 0, false)
	g.Expect(h.returns).To(gomega.BeZero(), "the load may rise again at once")
	h.play(6, 0, 185*mb, 0, false)
	g.Expect(h.returns).To(gomega.Equal(1), "after the burst")
	h.play(300, 0, 2*mb, 0, false)
	h.play(300, 300<<10, 11*mb, 1*mb, true)
	g.Expect(h.returns).To(gomega.Equal(1), "in calm")
}

// TestEachBurstIsReturnedInTime guards against a limit on the rate of returns that holds the memory of
// a burst for more than 10 s.
func TestEachBurstIsReturnedInTime(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newHeap()
	for n := range 5 {
		h.play(1, 80*mb, 185*mb, 80*mb, true)
		h.play(10, 0, 185*mb, 0, false)
		g.Expect(h.returns).To(gomega.Equal(n + 1))
	}
}

// TestHeapOfALargeStateIsNotReturned guards against collections of a process whose heap is
// large without a burst: it grows up to three times what is alive between two collections.
func TestHeapOfALargeStateIsNotReturned(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newHeap()
	h.play(10, 0, 150*mb, 50*mb, true)
	for range 10 {
		h.play(30, 100<<10, 150*mb, 0, false)
		h.play(1, 100<<10, 52*mb, 50*mb, true)
	}
	g.Expect(h.returns).To(gomega.BeZero())
}

// TestCollectionAtTheEndOfABurstIsNoMeasure guards against a process that keeps the memory of a burst
// because a collection that began in the burst, and found its bodies reachable, ended after it.
func TestCollectionAtTheEndOfABurstIsNoMeasure(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newHeap()
	h.play(60, 300<<10, 11*mb, 1*mb, true)
	h.play(8, 80*mb, 185*mb, 80*mb, true)
	h.play(1, 0, 185*mb, 0, false)
	h.play(1, 0, 185*mb, 80*mb, true)
	h.play(6, 0, 185*mb, 0, false)
	g.Expect(h.returns).To(gomega.Equal(1))
}

// TestReturnThatLeavesMuchIsNotRepeated guards against collections without end if memory can't be returned.
func TestReturnThatLeavesMuchIsNotRepeated(t *testing.T) {
	g := gomega.NewWithT(t)
	h := newHeap()
	h.left = 100 * mb
	h.play(8, 80*mb, 185*mb, 80*mb, true)
	h.play(300, 0, 185*mb, 0, false)
	g.Expect(h.returns).To(gomega.Equal(1))
}

// TestScavengerReturnsReleasedBodies guards against a scavenger that misreads the heap of the
// runtime, or that does not return it.
func TestScavengerReturnsReleasedBodies(t *testing.T) {
	g := gomega.NewWithT(t)
	s := memory.NewScavenger(200)
	now := time.Unix(1000, 0)
	runtime.GC()
	_, returned := s.Check(0, now)
	g.Expect(returned).To(gomega.BeFalse())
	bodies := make([][]byte, 64)
	for n := range bodies {
		bodies[n] = make([]byte, mb)
	}
	_, returned = s.Check(64*mb, now.Add(time.Second))
	g.Expect(returned).To(gomega.BeFalse())
	runtime.KeepAlive(bodies)
	_, returned = s.Check(0, now.Add(2*time.Second))
	g.Expect(returned).To(gomega.BeFalse())
	r, returned := s.Check(0, now.Add(7*time.Second))
	g.Expect(returned).To(gomega.BeTrue())
	g.Expect(r.Before.Held).To(gomega.BeNumerically(">=", 64*mb))
	g.Expect(r.After.Held).To(gomega.BeNumerically("<", r.Before.Held-60*mb))
	g.Expect(r.Calm).To(gomega.Equal(5 * time.Second))
}

func BenchmarkScavengerCheck(b *testing.B) {
	s := memory.NewScavenger(200)
	for b.Loop() {
		s.Check(0, time.Time{})
	}
}
