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

// Of Excess, floorExcess goes to instances without any share, as permits. Of Slack, floorSlack
// goes there too, and depthSlack is the number of requests by which all buckets together are
// deeper than the cap's burst: a small burst that is divided among several instances leaves
// less than one request to each otherwise. The rest covers chance and instances that know
// different sizes of the fleet.
const (
	floorExcess = 0.5
	floorSlack  = 0.25
	depthSlack  = 0.5
)

// depth returns the depth of all buckets of a workspace together.
func (l Limits) depth(c Cap) float64 { return c.Burst + depthSlack*l.Slack }

// floor returns the number of permits a second that the instances get together.
func (l Limits) floor(c Cap) float64 {
	window := l.Window.Seconds()
	return (floorExcess*l.Excess*(c.PerSecond*window+c.Burst) + floorSlack*l.Slack) / window
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
