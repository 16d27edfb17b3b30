package membership_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	_ "github.com/pomelolock/pomelolock/internal/fixedseed"
	"github.com/pomelolock/pomelolock/membership"
)

func TestOwnerMovesOnlyKeysOfRemovedInstance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 18).Draw(t, "instances")
		var ids []string
		for i := range n {
			ids = append(ids, fmt.Sprintf("entry-%d", i))
		}
		key := rapid.String().Draw(t, "key")
		removed := rapid.IntRange(0, n-1).Draw(t, "removed")
		rest := append(append([]string(nil), ids[:removed]...), ids[removed+1:]...)
		before, after := membership.Owner(key, ids), membership.Owner(key, rest)
		if before != ids[removed] && before != after {
			t.Fatalf("owner moved from %s to %s although only %s was removed", before, after, ids[removed])
		}
	})
}

func TestRankMatchesRankedOrder(t *testing.T) {
	ids := []string{"a", "b", "c", "d", "e"}
	for rank, id := range membership.Ranked("key", ids) {
		if got := membership.Rank("key", id, ids); got != rank {
			t.Fatalf("rank of %s: got %d, want %d", id, got, rank)
		}
	}
}
