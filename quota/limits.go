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
