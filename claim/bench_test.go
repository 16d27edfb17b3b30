package claim_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/pomelolock/pomelolock/claim"
	"github.com/pomelolock/pomelolock/peer/peertest"
	"github.com/pomelolock/pomelolock/storage/memory"
	"github.com/pomelolock/pomelolock/table"
)

// BenchmarkClaim measures claims of new keys on three instances, with many
// claims per write and with one, for several store latencies.
func BenchmarkClaim(b *testing.B) {
	for _, delay := range []time.Duration{time.Millisecond, 3 * time.Millisecond, 5 * time.Millisecond} {
		for _, callers := range []int{1, 300} {
			for _, batch := range []int{claim.DefaultMaxBatch, 1} {
				name := fmt.Sprintf("delay=%v/callers=%d/batch=%d", delay, callers, batch)
				b.Run(name, func(b *testing.B) {
					benchmarkClaim(b, claimLoad{delay: delay, callers: callers}, claim.Options{MaxBatch: batch})
				})
			}
		}
	}
}

// BenchmarkTail measures the cost of larger head records.
func BenchmarkTail(b *testing.B) {
	for _, tail := range []int{4 << 10, 8 << 10, 16 << 10, 32 << 10} {
		for _, callers := range []int{1, 100} {
			b.Run(fmt.Sprintf("tail=%dKiB/callers=%d", tail>>10, callers), func(b *testing.B) {
				benchmarkClaim(b, claimLoad{delay: time.Millisecond, callers: callers}, claim.Options{TailBytes: tail})
			})
		}
	}
}

// BenchmarkClaimLatency measures the latency that a claim adds to a request
// while the journal is far below its write limit.
func BenchmarkClaimLatency(b *testing.B) {
	for _, delay := range []time.Duration{time.Millisecond, 3 * time.Millisecond, 5 * time.Millisecond} {
		b.Run(fmt.Sprintf("delay=%v", delay), func(b *testing.B) {
			benchmarkClaim(b, claimLoad{delay: delay, callers: 1, think: 20 * time.Millisecond}, claim.Options{})
		})
	}
}

// BenchmarkClaimRate measures the store operations per claim at different claim
// rates: each caller makes at most ten claims per second.
func BenchmarkClaimRate(b *testing.B) {
	for _, callers := range []int{10, 30, 100, 300} {
		b.Run(fmt.Sprintf("callers=%d", callers), func(b *testing.B) {
			benchmarkClaim(b, claimLoad{delay: 3 * time.Millisecond, callers: callers, think: 100 * time.Millisecond}, claim.Options{})
		})
	}
}

// claimLoad is a closed loop of callers over a store with a fixed latency.
type claimLoad struct {
	delay   time.Duration
	callers int
	// think is the pause between two claims of a caller.
	think time.Duration
}

func benchmarkClaim(b *testing.B, load claimLoad, options claim.Options) {
	limits := table.Fleet{ClaimWritesPerSecond: 300, ClaimRetentionMS: 3_600_000}
	f := newFleet(limits, options)
	f.net = peertest.NewNetwork(0)
	defer f.stop()
	for range 3 {
		f.start()
	}
	time.Sleep(50 * time.Millisecond)
	f.store.SetFaults(memory.Faults{Delay: load.delay})
	latency := hdrhistogram.New(1, 60_000_000, 3)
	var mu sync.Mutex
	var group sync.WaitGroup
	var claimed atomic.Int64
	began, usedBefore := time.Now(), processorTime()
	for c := range load.callers {
		group.Go(func() {
			for int(claimed.Add(1)) <= b.N {
				took := timeClaim(b, f.instances[c%3], c)
				mu.Lock()
				_ = latency.RecordValue(took.Microseconds())
				mu.Unlock()
				time.Sleep(load.think)
			}
		})
	}
	group.Wait()
	reportClaims(b, f, latency, time.Since(began))
	b.ReportMetric(float64((processorTime()-usedBefore).Microseconds())/float64(b.N), "cpu-us/claim")
}

// processorTime returns the CPU time that the process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
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
	in.journal.Finish(req, claim.EndFinished, &claim.Response{Status: 201, Body: []byte(`{"order":"0123456789"}`)})
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
