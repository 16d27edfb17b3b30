package retrybudget

import (
	"testing"

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
