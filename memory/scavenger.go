package memory

import (
	"runtime"
	"runtime/debug"
	"runtime/metrics"
	"time"
)

const (
	// calmPeriod is the time for which the load has to be low before memory is returned. Connections of
	// refused callers that go on sending are read for up to 5 s. Memory is to be returned within
	// 10 s of a burst.
	calmPeriod = 5 * time.Second
	// minReturnInterval is the least time between two returns. With more than 10 s, the memory of a
	// burst that follows a return would be held for too long.
	minReturnInterval = 10 * time.Second
	// lowLoadShare is the share of the held heap up to which the load is low.
	lowLoadShare = 1.0 / 16
	// minHeap is the heap up to which the runtime does not collect at a growth of 100 percent. It
	// is scaled with the growth.
	minHeap = 4 << 20
	// fragmentation is the memory beyond the allowed growth that a heap may hold without a burst.
	fragmentation = 8 << 20
)

// HeapSample is the state of the heap and the load at one time.
type HeapSample struct {
	At time.Time
	// Load is what the account has charged for requests, uploads and responses, in bytes.
	Load int64
	// Held is the memory of the heap that the process has from the system, in bytes. Live is what the
	// last collection has found reachable, and Cycles the number of collections.
	Held, Live int64
	Cycles     uint64
}

// Scavenger decides when a process returns the memory of a burst to the system. The runtime alone
// returns it after its next collection, which a process without load does not start for 2
// minutes. It is not safe for concurrent use.
type Scavenger struct {
	growth float64
	// calmSince is when the load became low, calmCycles the number of collections then. calmSince
	// is zero while the load is high.
	calmSince  time.Time
	calmCycles uint64
	// reachable is what the last collection without load found reachable, 0 if there was none.
	reachable int64
	// sampled is set after the first sample.
	sampled bool
	// spent is set after a return until the load is high or the heap small. It prevents further
	// returns if a return leaves much memory held.
	spent      bool
	returnedAt time.Time
	metrics    []metrics.Sample
}

// NewScavenger returns a scavenger for a runtime that lets the heap grow by the given percentage
// between two collections.
func NewScavenger(gcPercent int) *Scavenger {
	s := &Scavenger{growth: float64(gcPercent) / 100}
	for _, name := range []string{
		"/gc/heap/live:bytes", "/gc/cycles/total:gc-cycles",
		"/memory/classes/heap/objects:bytes", "/memory/classes/heap/unused:bytes", "/memory/classes/heap/free:bytes",
	} {
		s.metrics = append(s.metrics, metrics.Sample{Name: name})
	}
	return s
}

// Due reports whether the heap is to be collected and returned: the load has been low for
// calmPeriod, and the heap holds more than it grows to between two collections without load.
// The caller does so at once.
func (s *Scavenger) Due(now HeapSample) bool {
	first := !s.sampled
	s.sampled = true
	if float64(now.Load) > lowLoadShare*float64(now.Held) {
		s.calmSince, s.spent = time.Time{}, false
		return false
	}
	if s.calmSince.IsZero() {
		s.calmSince, s.calmCycles = now.At, now.Cycles
	}
	// A collection that began before the load was low may have found the bodies of the burst
	// reachable. The second one that ends afterwards has begun afterwards.
	if first || now.Cycles >= s.calmCycles+2 {
		s.reachable = now.Live
	}
	if now.Held <= s.allowed() {
		s.spent = false
		return false
	}
	if s.spent || now.At.Sub(s.calmSince) < calmPeriod || !s.returnedAt.IsZero() && now.At.Sub(s.returnedAt) < minReturnInterval {
		return false
	}
	s.spent, s.returnedAt = true, now.At
	return true
}

// allowed returns the bytes that the heap may hold without a burst.
func (s *Scavenger) allowed() int64 {
	return int64(max((1+s.growth)*float64(s.reachable), s.growth*minHeap)) + fragmentation
}

// Returned describes memory that was returned to the system.
type Returned struct {
	// Before and After are the heap before and after it.
	Before, After HeapSample
	// Calm is the time for which the load had been low.
	Calm time.Duration
}

// Check collects the heap and returns its free memory to the system if that is due, and reports
// whether it did. load is what the account has charged for requests, uploads and responses.
func (s *Scavenger) Check(load int64, now time.Time) (Returned, bool) {
	before := s.sample(load, now)
	if !s.Due(before) {
		return Returned{}, false
	}
	// What a sync.Pool holds is released by the second collection only.
	runtime.GC()
	debug.FreeOSMemory()
	after := s.sample(load, now)
	s.reachable = after.Live
	return Returned{Before: before, After: after, Calm: now.Sub(s.calmSince)}, true
}

// sample reads the state of the heap. It does not stop the world.
func (s *Scavenger) sample(load int64, now time.Time) HeapSample {
	metrics.Read(s.metrics)
	value := func(n int) int64 { return int64(s.metrics[n].Value.Uint64()) }
	return HeapSample{At: now, Load: load, Live: value(0), Cycles: uint64(value(1)), Held: value(2) + value(3) + value(4)}
}
