package slot

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simRound is the duration of one round in takeover scenarios.
const simRound = 40 * time.Millisecond

// rounds runs n rounds and checks the slots after each.
func (s *sim) rounds(t *rapid.T, n int, prove string) {
	for range n {
		s.advance(simRound)
		s.round(prove)
		s.check(t)
	}
}

func drawProve(t *rapid.T) string {
	return rapid.SampledFrom([]string{"store", "holders", "nothing"}).Draw(t, "prove")
}

// injectFaults draws which links are cut and which instances are frozen from now
// on.
func (s *sim) injectFaults(t *rapid.T) {
	for a := range simInstances {
		for b := range a {
			cut := rapid.IntRange(0, 2).Draw(t, "cut") == 0
			s.cut[[2]int{a, b}], s.cut[[2]int{b, a}] = cut, cut
		}
		s.instances[a].frozen = rapid.IntRange(0, 5).Draw(t, "frozen") == 0
	}
}

// TestTakeoversWhileOldCoordinatorsLive raises epochs while earlier coordinators
// keep serving the holders that they can reach. Links are cut and instances are
// paused at random. No slot may ever run two requests.
func TestTakeoversWhileOldCoordinatorsLive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSim()
		s.long = rapid.Bool().Draw(t, "long")
		s.write(0, true)
		s.deliverWriteResult(0)
		s.rounds(t, 10, "store")
		for range rapid.IntRange(1, 4).Draw(t, "takeovers") {
			s.injectFaults(t)
			s.rounds(t, rapid.IntRange(0, 70).Draw(t, "before"), drawProve(t))
			s.write(rapid.IntRange(0, simInstances-1).Draw(t, "successor"), true)
			if len(s.writes) > 0 && rapid.Bool().Draw(t, "answered") {
				s.deliverWriteResult(len(s.writes) - 1)
			}
			s.rounds(t, rapid.IntRange(0, 70).Draw(t, "after"), drawProve(t))
		}
		s.settleDown(2*(authorityTTL+leaseTTL+simMaxRunTime) + time.Second)
		s.check(t)
	})
}
