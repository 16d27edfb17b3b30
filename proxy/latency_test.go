package proxy

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "github.com/pomelolock/pomelolock/internal/fixedseed"
)

// TestPercentileIsClose compares the estimate with the true percentile of equal
// latencies. It must not be lower, nor more than 1/16 higher.
func TestPercentileIsClose(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var l latencies
		us := rapid.Int64Range(16, 10_000_000).Draw(t, "microseconds")
		d := time.Duration(us) * time.Microsecond
		for range latencyMinSamples {
			l.add(d)
		}
		got, ok := l.percentile(95)
		if !ok || got <= d || got > d+d/16+time.Microsecond {
			t.Fatalf("estimated %v for %v", got, d)
		}
	})
}
