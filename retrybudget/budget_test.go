package retrybudget

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

// TestFleetStaysWithinLimits lets instances take as many attempts as they can while
// some are restarted, and checks the limits over every window. A new process that
// started with a full reserve would let the fleet exceed them.
func TestFleetStaysWithinLimits(t *testing.T) {
	limits := Limits{Ratio: 0.2, Burst: 62}
	rapid.Check(t, func(t *rapid.T) {
		const instances = 18
		fleet := make([]*Budget, instances)
		for i := range fleet {
			fleet[i] = New(limits, instances)
		}
		var requests, taken []int
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			step := 0
			load := rapid.IntRange(0, 40).Draw(t, "requests")
			for range load {
				at := rapid.IntRange(0, instances-1).Draw(t, "instance")
				fleet[at].Earn("orders")
			}
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				fleet[rapid.IntRange(0, instances-1).Draw(t, "which")] = New(limits, instances)
			}
			for _, b := range fleet {
				for b.Take("orders") {
					step++
				}
			}
			requests, taken = append(requests, load), append(taken, step)
		}
		for from := range taken {
			sumRequests, sumTaken := 0, 0
			for i := from; i < len(taken); i++ {
				sumRequests += requests[i]
				sumTaken += taken[i]
				if float64(sumTaken) > limits.Ratio*float64(sumRequests)+limits.Burst {
					t.Fatalf("%d additional attempts for %d requests", sumTaken, sumRequests)
				}
			}
		}
	})
}

// TestIdleFleetOfManyInstancesStoresNoMoreThanTheBurst guards against a reserve of one attempt
// at each of more instances than the burst allows.
func TestIdleFleetOfManyInstancesStoresNoMoreThanTheBurst(t *testing.T) {
	limits := Limits{Ratio: 0.2, Burst: 62}
	for _, instances := range []int{18, 100, 472, 1300} {
		synctest.Test(t, func(t *testing.T) {
			fleet := make([]*Budget, instances)
			for i := range fleet {
				fleet[i] = New(limits, instances)
				for range 20 {
					fleet[i].Earn("orders")
				}
			}
			time.Sleep(time.Minute)
			taken := 0
			for _, b := range fleet {
				for b.Take("orders") {
					taken++
				}
			}
			gomega.NewWithT(t).Expect(float64(taken)).To(gomega.BeNumerically("<=", limits.Burst))
		})
	}
}

// TestLargeFleetHasItsRetries guards against a share of the reserve below one attempt that no
// instance can ever take.
func TestLargeFleetHasItsRetries(t *testing.T) {
	limits := Limits{Ratio: 0.2, Burst: 62}
	const instances, seconds = 472, 20
	synctest.Test(t, func(t *testing.T) {
		fleet := make([]*Budget, instances)
		for i := range fleet {
			fleet[i] = New(limits, instances)
		}
		requests, taken := 0, 0
		for range seconds {
			for _, b := range fleet {
				b.Earn("orders")
				requests++
				if b.Take("orders") {
					taken++
				}
			}
			time.Sleep(time.Second)
		}
		gomega.NewWithT(t).Expect(float64(taken)).To(gomega.BeNumerically("~", limits.Ratio*earnedShare*float64(requests), 0.1*float64(requests)))
	})
}

func TestNewBudgetIsEmpty(t *testing.T) {
	gomega.NewWithT(t).Expect(New(Limits{Ratio: 0.2, Burst: 62}, 1).Take("orders")).To(gomega.BeFalse())
}

func TestReturnedAttemptCanBeTakenAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	b := New(Limits{Ratio: 1, Burst: 62}, 1)
	b.Earn("orders")
	b.Earn("orders")
	g.Expect(b.Take("orders")).To(gomega.BeTrue())
	g.Expect(b.Take("orders")).To(gomega.BeFalse())
	b.Return("orders")
	g.Expect(b.Take("orders")).To(gomega.BeTrue())
}
