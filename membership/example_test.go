package membership_test

import (
	"fmt"

	"github.com/pomelolock/pomelolock/membership"
)

// Every instance with the same view names the same owner, and when an instance
// leaves only its own keys move.
func ExampleOwner() {
	fleet := []string{"entry-1", "entry-2", "entry-3"}
	owner := membership.Owner("claim/head/0007", fleet)
	fmt.Println(membership.Owner("claim/head/0007", []string{"entry-3", owner, "entry-1"}) == owner)
	// Output: true
}
