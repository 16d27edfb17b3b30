package feed

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/gossip/gossiptest"
)

// TestGracePeriodEndsWhileTheStoreIsSlow guards against a removed server that stays in use
// beyond its grace period because a read of the store is under way when that ends.
func TestGracePeriodEndsWhileTheStoreIsSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := gomega.NewWithT(t)
		s := newStore()
		s.put(server("left"))
		s.setTable(3)
		one := fleet(t, s, 1)[0]
		time.Sleep(readInterval)
		g.Expect(one.servers()).To(gomega.Equal([]string{"left"}))
		one.access.setDown(true)
		time.Sleep(outageThreshold + 2*readInterval)
		one.access.setDown(false)
		s.put(removed("left"))
		time.Sleep(readInterval)
		one.feed.mu.Lock()
		end := one.feed.holdUntil
		one.feed.mu.Unlock()
		g.Expect(one.servers()).To(gomega.Equal([]string{"left"}))
		one.access.setSlow(time.Minute)
		time.Sleep(time.Until(end) + pollInterval)
		synctest.Wait()
		g.Expect(one.servers()).To(gomega.BeEmpty(), "%v after the end of its grace period", time.Since(end))
	})
}

// drainCase is a way by which instances learn that the server "left" takes no requests.
type drainCase struct {
	name string
	// before disturbs the store or the instances until the server leaves, which leave orders.
	before, leave func(s *store, instances []*instance)
}

func orderRemoval(s *store, _ []*instance) { s.put(removed("left")) }

func setSlow(instances []*instance, d time.Duration) {
	for _, i := range instances {
		i.access.setSlow(d)
	}
}

func setDown(instances []*instance, down bool) {
	for _, i := range instances {
		i.access.setDown(down)
	}
}

// slowResponse is the time of a slow response of the store, below callTimeout.
const slowResponse = 600 * time.Millisecond

func drainCases() []drainCase {
	nothing := func(*store, []*instance) {}
	loseHistory := func(s *store, _ []*instance) {
		s.put(removed("left"))
		s.mu.Lock()
		s.historyFrom = s.version + 1
		s.mu.Unlock()
	}
	restore := func(s *store, instances []*instance) {
		s.restore(s.copy())
		orderRemoval(s, instances)
	}
	outage := func(_ *store, instances []*instance) {
		setDown(instances, true)
		time.Sleep(3 * time.Second)
	}
	return []drainCase{
		{"change", nothing, orderRemoval},
		{"draining", nothing, func(s *store, _ []*instance) {
			c := server("left")
			c.Draining = true
			s.put(c)
		}},
		{"slow change", func(_ *store, i []*instance) { setSlow(i, slowResponse) }, orderRemoval},
		{"lost history", nothing, loseHistory},
		{"restore", nothing, restore},
		{"restore, slow responses", func(_ *store, i []*instance) { setSlow(i, slowResponse) }, restore},
		{"restore, first read rejected", nothing, func(s *store, instances []*instance) {
			for _, i := range instances {
				i.access.mu.Lock()
				i.access.serverRejects = 1
				i.access.mu.Unlock()
			}
			restore(s, instances)
		}},
		{"outage", outage, func(s *store, instances []*instance) {
			setDown(instances, false)
			orderRemoval(s, instances)
		}},
		{"outage, slow responses", outage, func(s *store, instances []*instance) {
			setDown(instances, false)
			setSlow(instances, slowResponse)
			orderRemoval(s, instances)
		}},
		{"outage without responses", func(_ *store, instances []*instance) {
			setSlow(instances, time.Minute)
			time.Sleep(3 * time.Second)
		}, func(s *store, instances []*instance) {
			setSlow(instances, 0)
			orderRemoval(s, instances)
		}},
		{"answer of the server", nothing, func(_ *store, instances []*instance) {
			instances[0].directory.Leave("left", 0)
			instances[0].exchange.ShareDeparture("left", 0)
		}},
		{"answer of the server after an outage", outage, func(s *store, instances []*instance) {
			setDown(instances, false)
			orderRemoval(s, instances)
			time.Sleep(time.Second)
			instances[0].directory.Leave("left", 0)
			instances[0].exchange.ShareDeparture("left", 0)
		}},
	}
}

// usedFor returns how long after the order to leave the last of the instances still uses the
// server. The order comes at the given time after the reads of the instances have begun.
func usedFor(t *testing.T, c drainCase, count int, phase, bound time.Duration) time.Duration {
	s := newStore()
	s.put(server("left"))
	s.put(server("stays"))
	s.setTable(3)
	s.drainWithin = bound
	instances := fleetOn(t, gossiptest.NewNetwork(), s, count)
	time.Sleep(4*time.Second + phase)
	c.before(s, instances)
	for _, i := range instances {
		if !slices.Contains(i.servers(), "left") {
			t.Fatal("the server is not in use before it leaves")
		}
	}
	left := time.Now()
	c.leave(s, instances)
	const step = 10 * time.Millisecond
	var used time.Duration
	for time.Since(left) < 6*time.Second {
		for _, i := range instances {
			if slices.Contains(i.servers(), "left") {
				used = time.Since(left)
			}
		}
		time.Sleep(step)
	}
	return used + step
}

// TestServerThatLeavesIsOutOfUseInTime guards against requests to a server later than the
// platform allows after the store has confirmed that it leaves. An entry that is missing after
// an outage or a restore stays in use for a while, since the store may have lost it.
func TestServerThatLeavesIsOutOfUseInTime(t *testing.T) {
	for _, bound := range []time.Duration{2 * time.Second, 2500 * time.Millisecond} {
		for _, c := range drainCases() {
			for _, count := range []int{1, 3} {
				t.Run(fmt.Sprintf("%s, instances %d, within %v", c.name, count, bound), func(t *testing.T) {
					checkDrain(t, c, count, bound)
				})
			}
		}
	}
}

func checkDrain(t *testing.T, c drainCase, count int, bound time.Duration) {
	var worst, worstPhase time.Duration
	for phase := time.Duration(0); phase < 700*time.Millisecond; phase += 50 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			if used := usedFor(t, c, count, phase, bound); used > worst {
				worst, worstPhase = used, phase
			}
		})
	}
	t.Logf("in use for up to %v, phase %v", worst, worstPhase)
	if worst > bound {
		t.Errorf("in use for %v after the store confirmed that it leaves, %v are allowed", worst, bound)
	}
}
