package proxy

import (
	"math/bits"
	"sync"
	"time"
)

const (
	// latencyBits is the number of bits after the leading one that tell
	// buckets of one power of two microseconds apart.
	latencyBits    = 4
	latencyBuckets = 32 << latencyBits
	// latencyWindow is the number of answers after which counts halve.
	latencyWindow = 1024
	// latencyMinimum is the number of answers needed for a percentile.
	latencyMinimum = 64
)

// latencies estimates percentiles of the recent latencies of a service.
type latencies struct {
	mu     sync.Mutex
	counts [latencyBuckets]uint32
	total  uint32
}

func bucketOf(d time.Duration) int {
	us := uint64(max(d.Microseconds(), 1<<latencyBits))
	exp := bits.Len64(us) - 1
	part := int(us>>(exp-latencyBits)) & (1<<latencyBits - 1)
	return min(exp<<latencyBits+part, latencyBuckets-1)
}

// upperBound returns the latency that all of the bucket stay below.
func upperBound(bucket int) time.Duration {
	exp, part := bucket>>latencyBits, bucket&(1<<latencyBits-1)
	us := uint64(1<<latencyBits+part+1) << exp >> latencyBits
	return time.Duration(us) * time.Microsecond
}

func (l *latencies) add(d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[bucketOf(d)]++
	l.total++
	if l.total >= latencyWindow {
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

// percentile returns the latency below which p percent of recent answers
// stayed. It reports false if too few are known.
func (l *latencies) percentile(p float64) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.total < latencyMinimum {
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
