package proxy

import (
	"math/bits"
	"sync"
	"time"
)

const (
	// latencySubBits is the number of bits after the leading one of a latency
	// in microseconds that select its bucket: there are 1<<latencySubBits
	// buckets from each power of two to the next.
	latencySubBits = 4
	latencyBuckets = 32 << latencySubBits
	// latencyHalveAt is the number of samples at which all counts are halved.
	latencyHalveAt = 1024
	// latencyMinSamples is the number of samples needed for an estimate.
	latencyMinSamples = 64
)

// latencies estimates percentiles of a service's recent latencies from a
// histogram with logarithmic buckets.
type latencies struct {
	mu     sync.Mutex
	counts [latencyBuckets]uint32
	total  uint32
}

func bucketOf(d time.Duration) int {
	us := uint64(max(d.Microseconds(), 1<<latencySubBits))
	exp := bits.Len64(us) - 1
	part := int(us>>(exp-latencySubBits)) & (1<<latencySubBits - 1)
	return min(exp<<latencySubBits+part, latencyBuckets-1)
}

// upperBound returns the exclusive upper bound of the bucket.
func upperBound(bucket int) time.Duration {
	exp, part := bucket>>latencySubBits, bucket&(1<<latencySubBits-1)
	us := uint64(1<<latencySubBits+part+1) << exp >> latencySubBits
	return time.Duration(us) * time.Microsecond
}

func (l *latencies) add(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[bucketOf(d)]++
	l.total++
	if l.total >= latencyHalveAt {
		l.halve()
	}
}

func (l *latencies) halve() {
	l.total = 0
	for i := range l.counts {
		l.counts[i] /= 2
		l.total += l.counts[i]
	}
}

// percentile returns the latency below which p percent of recent samples lie.
// It reports false if there are too few samples.
func (l *latencies) percentile(p float64) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.total < latencyMinSamples {
		return 0, false
	}
	rank := uint32(float64(l.total) * p / 100)
	var seen uint32
	for i, n := range l.counts {
		seen += n
		if seen > rank {
			return upperBound(i), true
		}
	}
	return upperBound(latencyBuckets - 1), true
}
