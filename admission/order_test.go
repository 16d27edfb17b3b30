package admission

import (
	"math"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const serviceTime = 100 * time.Millisecond

func request(priority int, target, deadline time.Duration, now time.Time) Request {
	return Request{Priority: priority, Target: now.Add(target), Deadline: now.Add(deadline)}
}

func TestOrder(t *testing.T) {
	now := time.Now()
	inTime := request(2, 300*time.Millisecond, time.Second, now)
	urgent := request(0, 300*time.Millisecond, time.Second, now)
	late := request(0, 50*time.Millisecond, time.Second, now)
	sooner := request(2, 200*time.Millisecond, time.Second, now)
	for _, c := range []struct {
		name          string
		first, second Request
	}{
		{"in time before late", inTime, late},
		{"urgent first", urgent, inTime},
		{"sooner target first", sooner, inTime},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			g.Expect(Compare(c.first, c.second, now, serviceTime)).To(gomega.BeNumerically("<", 0))
			g.Expect(Compare(c.second, c.first, now, serviceTime)).To(gomega.BeNumerically(">", 0))
		})
	}
}

func TestMissesDeadline(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	g.Expect(request(0, 0, 90*time.Millisecond, now).MissesDeadline(now, serviceTime)).To(gomega.BeTrue())
	g.Expect(request(0, 0, 110*time.Millisecond, now).MissesDeadline(now, serviceTime)).To(gomega.BeFalse())
}

// TestSharesAddUpToCapacity checks that the shares of all instances add up to the
// spare capacity on average. Otherwise the fleet as a whole would overload the
// servers or leave capacity unused.
func TestSharesAddUpToCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		capacity := rapid.IntRange(0, 40).Draw(t, "room")
		own := rapid.SliceOfN(rapid.IntRange(0, 12), 2, 18).Draw(t, "waiting")
		total := 0
		for _, n := range own {
			total += n
		}
		const rounds = 400
		sum := 0
		for range rounds {
			for _, n := range own {
				share := Share(capacity, n, total-n)
				if share > n {
					t.Fatalf("share of %d for %d queued requests", share, n)
				}
				sum += share
			}
		}
		mean, want := float64(sum)/rounds, float64(min(capacity, total))
		if mean > want+0.6 || mean < want-0.6 {
			t.Fatalf("shares of %d instances with capacity %d and %d queued requests add up to %.2f", len(own), capacity, total, mean)
		}
	})
}

func TestLateRequestsGetRemainingCapacity(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(Shares(5, Counts{InTime: 2, Late: 4}, Counts{InTime: 3})).To(gomega.Equal(Counts{InTime: 2}))
	g.Expect(Shares(9, Counts{InTime: 2, Late: 4}, Counts{InTime: 3})).To(gomega.Equal(Counts{InTime: 2, Late: 4}))
}

func TestEstimateWait(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(EstimateWait(0, 0)).To(gomega.BeZero())
	g.Expect(EstimateWait(5, 10)).To(gomega.Equal(500 * time.Millisecond))
	g.Expect(EstimateWait(1, 0)).To(gomega.Equal(time.Duration(math.MaxInt64)))
}

func TestBacklogsOfSilentInstancesExpire(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	b := NewBacklogs()
	b.Receive("a", false, []Backlog{{Service: "orders", Counts: Counts{InTime: 2, Late: 1}}}, now)
	b.Receive("b", false, []Backlog{{Service: "orders", Counts: Counts{InTime: 3}}}, now)
	g.Expect(b.Others("orders", now)).To(gomega.Equal(Counts{InTime: 5, Late: 1}))
	b.Receive("a", false, nil, now)
	g.Expect(b.Others("orders", now)).To(gomega.Equal(Counts{InTime: 3}))
	g.Expect(b.Others("orders", now.Add(2*backlogTTL))).To(gomega.Equal(Counts{}))
}
