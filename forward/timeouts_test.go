package forward

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func TestElapsedTimeIsDifferenceToUsualTimeout(t *testing.T) {
	g := gomega.NewWithT(t)
	e := newTimeoutEstimator()
	for range minTimeoutCount {
		e.elapsed("r", 2500*time.Millisecond)
	}
	g.Expect(e.elapsed("r", 2200*time.Millisecond)).To(gomega.Equal(300 * time.Millisecond))
	g.Expect(e.elapsed("r", 2500*time.Millisecond)).To(gomega.BeZero())
	g.Expect(e.elapsed("r", 9000*time.Millisecond)).To(gomega.BeZero(), "a longer timeout does not mean that the caller has waited")
	g.Expect(e.elapsed("other", 2200*time.Millisecond)).To(gomega.BeZero())
}

// TestUsualTimeoutIsFoundAmongRetries mixes first requests with as many retries,
// whose remaining times all differ.
func TestUsualTimeoutIsFoundAmongRetries(t *testing.T) {
	e := newTimeoutEstimator()
	for i := range 300 {
		e.elapsed("r", 2500*time.Millisecond)
		e.elapsed("r", 2000*time.Millisecond-time.Duration(i)*time.Millisecond)
	}
	gomega.NewWithT(t).Expect(e.elapsed("r", 2400*time.Millisecond)).To(gomega.Equal(100 * time.Millisecond))
}
