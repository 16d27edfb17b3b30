package quota

import "time"

// Limits bound how far the fleet may exceed a workspace's cap. In any Window, servers run at
// most (rate x Window + burst) x (1 + Excess) + Slack requests of the workspace.
type Limits struct {
	Window time.Duration
	Excess float64
	// Slack is a number of requests.
	Slack float64
}

// Of Excess and Slack, depthExcess and depthSlack make the bucket deeper than the cap's burst:
// requests of a workspace arrive in clusters. floorExcess and floorSlack go to instances that reach
// no allocator, as permits. The rest covers substitutes, the units in stock when a window begins,
// and two allocators that grant at once for a moment.
const (
	depthExcess = 0.1
	depthSlack  = 0.4
	floorExcess = 0.05
	floorSlack  = 0.2
)

// excess returns the number of requests in a window that Excess allows.
func (l Limits) excess(c Cap) float64 { return l.Excess * (c.PerSecond*l.Window.Seconds() + c.Burst) }

// depth returns the depth of the token bucket of a workspace.
func (l Limits) depth(c Cap) float64 {
	return c.Burst + depthExcess*l.excess(c) + depthSlack*l.Slack
}

// floor returns the number of permits a second that all instances get together.
func (l Limits) floor(c Cap) float64 {
	if l.Window <= 0 {
		return 0
	}
	return (floorExcess*l.excess(c) + floorSlack*l.Slack) / l.Window.Seconds()
}

// Cap limits the requests of a workspace over the whole fleet.
type Cap struct {
	// PerSecond is the number of requests a second; 0 if there is no cap.
	PerSecond, Burst float64
}

// Table holds the caps of one version of the table of routes. It is immutable.
type Table struct {
	version uint64
	caps    map[uint64]Cap
}

// NewTable returns the caps of a version by the names of workspaces. Those without a cap are
// left out.
func NewTable(version uint64, caps map[string]Cap) *Table {
	t := &Table{version: version, caps: make(map[uint64]Cap, len(caps))}
	for name, c := range caps {
		if c.PerSecond > 0 {
			t.caps[hash(name)] = c
		}
	}
	return t
}

// Version returns the version of the table.
func (t *Table) Version() uint64 { return t.version }

// Capped reports whether any workspace has a cap.
func (t *Table) Capped() bool { return len(t.caps) > 0 }
