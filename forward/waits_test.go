package forward

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func TestTimeWaitedBeforeIsTakenFromTheUsualWait(t *testing.T) {
	g := gomega.NewWithT(t)
	w := newWaits()
	for range waitEnough {
		w.elapsed("r", 2500*time.Millisecond)
	}
	g.Expect(w.elapsed("r", 2200*time.Millisecond)).To(gomega.Equal(300 * time.Millisecond))
	g.Expect(w.elapsed("r", 2500*time.Millisecond)).To(gomega.BeZero())
	g.Expect(w.elapsed("r", 9000*time.Millisecond)).To(gomega.BeZero(), "a patient caller has not waited before")
	g.Expect(w.elapsed("other", 2200*time.Millisecond)).To(gomega.BeZero())
}

// TestUsualWaitIsFoundAmongReturns mixes first requests with as many returns, all
// of different times.
func TestUsualWaitIsFoundAmongReturns(t *testing.T) {
	w := newWaits()
	for i := range 300 {
		w.elapsed("r", 2500*time.Millisecond)
		w.elapsed("r", 2000*time.Millisecond-time.Duration(i)*time.Millisecond)
	}
	gomega.NewWithT(t).Expect(w.elapsed("r", 2400*time.Millisecond)).To(gomega.Equal(100 * time.Millisecond))
}
