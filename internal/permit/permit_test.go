package permit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestPermitsKeepTheirRate guards against permits that exceed the rate of all instances or fall
// far below it, and against a burst after a time without requests.
func TestPermitsKeepTheirRate(t *testing.T) {
	const (
		seed, instances = 5, 20
		perSecond       = 40.0
		ttl             = 400 * time.Millisecond
		step            = 5 * time.Millisecond
		lasts           = 200 * time.Second
	)
	g := gomega.NewWithT(t)
	draw := rand.New(rand.NewPCG(seed, 0)).ExpFloat64
	all := make([]Permits, instances)
	now, used := time.Unix(1, 0), 0
	round := func() (count int) {
		for i := range all {
			for all[i].Available(perSecond/instances, ttl, now, draw) {
				all[i].Use(draw)
				count++
			}
		}
		return count
	}
	for range lasts / step {
		now = now.Add(step)
		used += round()
	}
	g.Expect(float64(used) / lasts.Seconds()).To(gomega.BeNumerically("~", perSecond, 0.05*perSecond))
	now = now.Add(time.Hour)
	// The mean is what accrues in ttl, 16; 40 is six standard deviations above.
	g.Expect(round()).To(gomega.BeNumerically("<", 40))
	g.Expect((&Permits{}).Available(0, ttl, now, draw)).To(gomega.BeFalse())
}
