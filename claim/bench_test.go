package claim_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/pomelolock/pomelolock/claim"
	"github.com/pomelolock/pomelolock/peer/peertest"
	"github.com/pomelolock/pomelolock/platform/memory"
	"github.com/pomelolock/pomelolock/table"
)

// BenchmarkClaim measures claims of new keys over three instances, with many
// claims a write and with one, for delays of the store.
func BenchmarkClaim(b *testing.B) {
	for _, delay := range []time.Duration{time.Millisecond, 3 * time.Millisecond, 5 * time.Millisecond} {
		for _, callers := range []int{1, 300} {
			for _, batch := range []int{claim.DefaultMaxBatch, 1} {
				name := fmt.Sprintf("delay=%v/callers=%d/batch=%d", delay, callers, batch)
				b.Run(name, func(b *testing.B) {
					benchmarkClaim(b, delay, callers, claim.Options{MaxBatch: batch})
				})
			}
		}
	}
}

// BenchmarkTail measures what the size of the head records costs.
func BenchmarkTail(b *testing.B) {
	for _, tail := range []int{4 << 10, 8 << 10, 16 << 10, 32 << 10} {
		for _, callers := range []int{1, 100} {
			b.Run(fmt.Sprintf("tail=%dKiB/callers=%d", tail>>10, callers), func(b *testing.B) {
				benchmarkClaim(b, time.Millisecond, callers, claim.Options{TailBytes: tail})
			})
		}
	}
}

func benchmarkClaim(b *testing.B, delay time.Duration, callers int, options claim.Options) {
	limits := table.Fleet{ClaimWritesPerSecond: 300, ClaimRetentionMS: 3_600_000}
	f := newFleet(limits, options)
	f.net = peertest.NewNetwork(0)
	defer f.stop()
	for range 3 {
		f.start()
	}
	time.Sleep(50 * time.Millisecond)
	f.store.SetFaults(memory.Faults{Delay: delay})
	latency := hdrhistogram.New(1, 60_000_000, 3)
	var mu sync.Mutex
	var group sync.WaitGroup
	var claimed atomic.Int64
	began := time.Now()
	for c := range callers {
		group.Go(func() {
			for int(claimed.Add(1)) <= b.N {
				took := timeClaim(b, f.instances[c%3], c)
				mu.Lock()
				_ = latency.RecordValue(took.Microseconds())
				mu.Unlock()
			}
		})
	}
	group.Wait()
	reportClaims(b, f, latency, time.Since(began))
}

var benchKey atomic.Int64

func timeClaim(b *testing.B, in *instance, caller int) time.Duration {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	req := orderRequest(fmt.Sprint("key-", benchKey.Add(1)), fmt.Sprint(caller), "a")
	began := time.Now()
	decision, err := in.journal.Claim(ctx, req)
	if err != nil || decision.Verdict != claim.Run {
		b.Errorf("claim: %v, %v", decision, err)
	}
	took := time.Since(began)
	in.journal.Finish(req, claim.EndFinished, &claim.Answer{Status: 201, Body: []byte(`{"order":"0123456789"}`)})
	return took
}

func reportClaims(b *testing.B, f *fleet, latency *hdrhistogram.Histogram, took time.Duration) {
	var writes, bytes uint64
	for _, in := range f.instances {
		stats := in.journal.Stats()
		writes += stats.HeadWrites + stats.Rotations + stats.Merges
		bytes += stats.HeadBytes
	}
	b.ReportMetric(float64(b.N)/took.Seconds(), "claims/s")
	b.ReportMetric(float64(writes)/float64(b.N), "writes/claim")
	b.ReportMetric(float64(writes)/took.Seconds(), "writes/s")
	b.ReportMetric(float64(bytes)/float64(b.N), "storeB/claim")
	b.ReportMetric(float64(latency.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(latency.ValueAtQuantile(99))/1000, "p99-ms")
	b.ReportMetric(0, "ns/op")
}
