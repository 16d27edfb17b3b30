package membership_test

import (
	"fmt"

	"github.com/pomelolock/pomelolock/membership"
)

// Instances with the same view select the same owner. When an instance leaves,
// only the keys that it owned move to another owner.
func ExampleOwner() {
	fleet := []string{"entry-1", "entry-2", "entry-3"}
	owner := membership.Owner("claim/head/0007", fleet)
	fmt.Println(membership.Owner("claim/head/0007", []string{"entry-3", owner, "entry-1"}) == owner)
	// Output: true
}
