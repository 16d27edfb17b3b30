package claim

import (
	"context"
	"encoding/binary"
	"fmt"
	"runtime"
	"testing"

	"github.com/pomelolock/pomelolock/claim/claimpb"
	"github.com/pomelolock/pomelolock/peer/peertest"
	"github.com/pomelolock/pomelolock/storage/memory"
	"github.com/pomelolock/pomelolock/table"
)

func benchClaim(n int) *claimpb.Claim {
	key := make([]byte, 16)
	binary.BigEndian.PutUint64(key[8:], uint64(n)*0x9e3779b97f4a7c15)
	return &claimpb.Claim{Key: key, Fingerprint: make([]byte, fingerprintBytes), Attempt: uint64(n), RunningMs: 5000}
}

// BenchmarkIndexMemory reports the heap bytes per key in the index.
func BenchmarkIndexMemory(b *testing.B) {
	for _, keys := range []int{10_000, 100_000, 1_000_000} {
		benchmarkMemory(b, keys, claimpb.State_STATE_TAKEN)
		benchmarkMemory(b, keys, claimpb.State_STATE_FINISHED)
	}
}

func benchmarkMemory(b *testing.B, keys int, state claimpb.State) {
	b.Run(fmt.Sprintf("keys=%d/%v", keys, state), func(b *testing.B) {
		var before, after runtime.MemStats
		for b.Loop() {
			runtime.GC()
			runtime.ReadMemStats(&before)
			x := newIndex(0)
			for n := range keys {
				c := benchClaim(n)
				c.State = state
				x.apply(&claimpb.Batch{Claims: []*claimpb.Claim{c}})
				if n%compactionThreshold == 0 {
					x.compact(1 << 40)
				}
			}
			runtime.GC()
			runtime.ReadMemStats(&after)
			runtime.KeepAlive(x)
		}
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(keys), "B/key")
	})
}

// BenchmarkDecide measures the decision on one claim of a taken key.
func BenchmarkDecide(b *testing.B) {
	x := newIndex(0)
	for n := range 100_000 {
		x.apply(&claimpb.Batch{Claims: []*claimpb.Claim{benchClaim(n)}})
	}
	c := benchClaim(77)
	c.Attempt++
	p := newPlan(x, 1, 1000)
	b.ReportAllocs()
	for b.Loop() {
		if _, ok := p.decideKnown(c); !ok {
			b.Fatal("not taken")
		}
	}
}

// BenchmarkTakeover measures loading a partition with many keys.
func BenchmarkTakeover(b *testing.B) {
	for _, keys := range []int{3_000, 30_000, 300_000} {
		b.Run(fmt.Sprint("keys=", keys), func(b *testing.B) {
			store := memory.New()
			opts := Options{Tables: store, Objects: store, Messenger: peertest.NewNetwork(0).Join("a"), Current: table.NewCurrent()}.withDefaults()
			writer := newPartitionStore(1, &opts, &counters{})
			for n := 0; n < keys; n += 1000 {
				fillSegment(b, writer, n, 1000)
			}
			b.ReportAllocs()
			var reads uint64
			for b.Loop() {
				reader := newPartitionStore(1, &opts, &counters{})
				if err := reader.load(context.Background()); err != nil || reader.stats.snapshot().Keys < keys {
					b.Fatalf("%+v, %v", reader.stats.snapshot(), err)
				}
				reads = reader.stats.reads.Load()
			}
			b.ReportMetric(float64(reads), "reads")
		})
	}
}

// fillSegment appends claims and merges segments if a merge is due.
func fillSegment(b *testing.B, s *partitionStore, from, n int) {
	ctx := context.Background()
	p := newPlan(s.index, 1, 1<<40)
	for i := range n {
		p.claim(benchClaim(from + i))
	}
	if _, err := s.append(ctx, p); err != nil {
		b.Fatal(err)
	}
	if due := mergeCandidates(s.head.GetSegments()); due != nil {
		m, err := s.merge(ctx, s.head.GetSequence(), due, 1, 1<<40)
		if err != nil {
			b.Fatal(err)
		}
		s.merged = m
	}
}
