package admission

import (
	"math"
	"testing"
	"time"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"
)

const work = 100 * time.Millisecond

func waiting(priority int, target, deadline time.Duration, now time.Time) Waiting {
	return Waiting{Priority: priority, Target: now.Add(target), Deadline: now.Add(deadline)}
}

func TestOrder(t *testing.T) {
	now := time.Now()
	inTime := waiting(2, 300*time.Millisecond, time.Second, now)
	urgent := waiting(0, 300*time.Millisecond, time.Second, now)
	late := waiting(0, 50*time.Millisecond, time.Second, now)
	sooner := waiting(2, 200*time.Millisecond, time.Second, now)
	for _, c := range []struct {
		name          string
		first, second Waiting
	}{
		{"in time before late", inTime, late},
		{"urgent first", urgent, inTime},
		{"sooner target first", sooner, inTime},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			g.Expect(Before(c.first, c.second, now, work)).To(gomega.BeNumerically("<", 0))
			g.Expect(Before(c.second, c.first, now, work)).To(gomega.BeNumerically(">", 0))
		})
	}
}

func TestHopelessMissesItsDeadline(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	g.Expect(waiting(0, 0, 90*time.Millisecond, now).Hopeless(now, work)).To(gomega.BeTrue())
	g.Expect(waiting(0, 0, 110*time.Millisecond, now).Hopeless(now, work)).To(gomega.BeFalse())
}

// TestSharesAddUpToTheRoom divides the same room among instances many times.
func TestSharesAddUpToTheRoom(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		room := rapid.IntRange(0, 40).Draw(t, "room")
		own := rapid.SliceOfN(rapid.IntRange(0, 12), 2, 18).Draw(t, "waiting")
		total := 0
		for _, n := range own {
			total += n
		}
		const tries = 400
		sum := 0
		for range tries {
			for _, n := range own {
				share := Share(room, n, total-n)
				if share > n {
					t.Fatalf("share of %d for %d waiting", share, n)
				}
				sum += share
			}
		}
		mean, want := float64(sum)/tries, float64(min(room, total))
		if mean > want+0.6 || mean < want-0.6 {
			t.Fatalf("shares of %d with room for %d and %d waiting come to %.2f", len(own), room, total, mean)
		}
	})
}

func TestLateRequestsGetWhatThoseInTimeLeave(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(Shares(5, Counts{InTime: 2, Late: 4}, Counts{InTime: 3})).To(gomega.Equal(Counts{InTime: 2}))
	g.Expect(Shares(9, Counts{InTime: 2, Late: 4}, Counts{InTime: 3})).To(gomega.Equal(Counts{InTime: 2, Late: 4}))
}

func TestWait(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(Wait(0, 0)).To(gomega.BeZero())
	g.Expect(Wait(5, 10)).To(gomega.Equal(500 * time.Millisecond))
	g.Expect(Wait(1, 0)).To(gomega.Equal(time.Duration(math.MaxInt64)))
}

func TestBacklogsOfSilentInstancesAreForgotten(t *testing.T) {
	g := gomega.NewWithT(t)
	now := time.Now()
	b := NewBacklogs()
	b.Receive("a", []Backlog{{Service: "orders", Counts: Counts{InTime: 2, Late: 1}}}, now)
	b.Receive("b", []Backlog{{Service: "orders", Counts: Counts{InTime: 3}}}, now)
	g.Expect(b.Others("orders", now)).To(gomega.Equal(Counts{InTime: 5, Late: 1}))
	b.Receive("a", nil, now)
	g.Expect(b.Others("orders", now)).To(gomega.Equal(Counts{InTime: 3}))
	g.Expect(b.Others("orders", now.Add(2*backlogLife))).To(gomega.Equal(Counts{}))
}
