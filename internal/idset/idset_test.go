package idset

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/onsi/gomega"
)

// manyIDs is as many IDs as a connection carries.
const manyIDs = 1024

// TestCarriedIDsAreNeverForgotten guards against a request that gets a connection which has carried its
// ID before, so that a late copy of an earlier response is taken for that to it.
func TestCarriedIDsAreNeverForgotten(t *testing.T) {
	g := gomega.NewWithT(t)
	var set Set
	for n := range manyIDs {
		set.Add(HashOf(fmt.Sprint(n)))
	}
	for n := range manyIDs {
		g.Expect(set.Contains(HashOf(fmt.Sprint(n)))).To(gomega.BeTrue())
	}
}

// TestCollidingHashesAreKept guards against hashes that are lost because they begin in the same slot, at
// the end of the slots, or are moved when the set grows. Hashes that were not added must not count as
// carried: each costs a connection.
func TestCollidingHashesAreKept(t *testing.T) {
	g := gomega.NewWithT(t)
	source := rand.New(rand.NewPCG(1, 1))
	for _, mask := range []uint32{0xffff0000, 0xfffff800, 0xffffffff} {
		var set Set
		added := make(map[Hash]bool)
		for len(added) < manyIDs {
			h := Hash(max(source.Uint32()&mask, 1))
			if mask != 0xffffffff {
				// All begin in one of the last slots.
				h |= 0x7fe
			}
			g.Expect(set.Contains(h)).To(gomega.Equal(added[h]))
			set.Add(h)
			added[h] = true
			g.Expect(set.Len()).To(gomega.Equal(len(added)))
		}
		for h := range added {
			g.Expect(set.Contains(h)).To(gomega.BeTrue())
		}
		g.Expect(set.slots).To(gomega.HaveLen(2 * manyIDs))
	}
}
