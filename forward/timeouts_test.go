package forward

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func TestElapsedTimeIsDifferenceToUsualTimeout(t *testing.T) {
	g := gomega.NewWithT(t)
	e := newTimeoutEstimator()
	for range minTimeoutSamples {
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

// TestElapsedTimeWithVaryingTimeouts guards against callers whose first attempts differ in their
// timeouts, so that none of them is frequent and retries are taken for first attempts.
func TestElapsedTimeWithVaryingTimeouts(t *testing.T) {
	for _, retries := range []int{0, 1, 2} {
		t.Run(fmt.Sprint(retries, " of 6 are retries"), func(t *testing.T) {
			g := gomega.NewWithT(t)
			rng := rand.New(rand.NewPCG(5, 6))
			first := func() time.Duration { return 1020*time.Millisecond + time.Duration(rng.IntN(180))*time.Millisecond }
			e := newTimeoutEstimator()
			mistaken, recognized, total := 0, 0, 0
			var estimated time.Duration
			for i := range 3000 {
				if i%6 < retries {
					waited := time.Duration(250+rng.IntN(150)) * time.Millisecond
					elapsed := e.elapsed("r", first()-waited)
					if i < timeoutSamples {
						continue
					}
					total++
					if elapsed > 0 {
						recognized++
						estimated += elapsed - waited
					}
				} else if e.elapsed("r", first()) > 100*time.Millisecond {
					mistaken++
				}
			}
			g.Expect(mistaken).To(gomega.BeNumerically("<", 3000/20), "first attempts taken for retries")
			if total > 0 {
				g.Expect(float64(recognized) / float64(total)).To(gomega.BeNumerically(">", 0.75))
				g.Expect((estimated / time.Duration(recognized)).Abs()).To(gomega.BeNumerically("<", 50*time.Millisecond))
			}
		})
	}
}
