package quota

import (
	"cmp"
	"slices"
)

const (
	// shownCounts is the number of workspaces whose counters are shown, trackedCounts the
	// number that are counted one by one.
	shownCounts   = 16
	trackedCounts = 64
)

// Counts are the numbers of requests of a workspace since the start of the process.
type Counts struct {
	// Workspace is the name; "" for the sum of those that are not shown.
	Workspace       string
	Served, Refused uint64
}

// counter counts the requests of workspaces in bounded memory.
type counter struct {
	counts map[string]*Counts
	rest   Counts
}

// of returns the counts of a workspace. If too many are tracked, those of the smallest are
// added to the rest.
func (c *counter) of(workspace string) *Counts {
	if counts := c.counts[workspace]; counts != nil {
		return counts
	}
	if len(c.counts) >= trackedCounts {
		var smallest *Counts
		for _, counts := range c.counts {
			if smallest == nil || counts.total() < smallest.total() {
				smallest = counts
			}
		}
		c.rest.add(*smallest)
		delete(c.counts, smallest.Workspace)
	}
	counts := &Counts{Workspace: workspace}
	c.counts[workspace] = counts
	return counts
}

// list returns the counts of the workspaces with the most requests, and of the rest.
func (c *counter) list() []Counts {
	all := make([]Counts, 0, len(c.counts)+1)
	for _, counts := range c.counts {
		all = append(all, *counts)
	}
	slices.SortFunc(all, func(a, b Counts) int {
		return cmp.Or(cmp.Compare(b.total(), a.total()), cmp.Compare(a.Workspace, b.Workspace))
	})
	rest := c.rest
	for len(all) > shownCounts {
		rest.add(all[len(all)-1])
		all = all[:len(all)-1]
	}
	return append(all, rest)
}

func (c Counts) total() uint64 { return c.Served + c.Refused }

func (c *Counts) add(other Counts) {
	c.Served += other.Served
	c.Refused += other.Refused
}
