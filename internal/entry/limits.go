package entry

import (
	"time"

	"github.com/pomelolock/pomelolock/readings"
)

// settleTime is the time after the start within which an instance that reaches others has
// learnt how many there are.
const settleTime = 800 * time.Millisecond

// sharers returns the number of instances among which this one shares what the whole fleet
// may do: additional attempts, status checks, connections and the limits of servers. An
// instance that does not know the fleet yet takes a share that is too small rather than one
// that is too large.
func (d *Daemon) sharers() int {
	if d.knowsFleet() {
		return d.exchange.Known()
	}
	return max(d.exchange.Known(), assumedInstances)
}

// knowsFleet reports whether the instance knows how many others there are: from the store, or
// from others that it has reached.
func (d *Daemon) knowsFleet() bool {
	return d.joined.Load() || d.exchange.Known() > 1 && time.Since(d.startedAt) >= settleTime
}

// checkingShare returns the share of the status checks of a data centre's servers that the
// instances which this one hears may make, so that parts of a fleet that are cut off from
// each other don't make more than the whole.
func (d *Daemon) checkingShare(dataCentre string) float64 {
	if !d.knowsFleet() && time.Since(d.startedAt) >= settleTime {
		return 1.0 / assumedInstances
	}
	alive, known := d.exchange.Heard(dataCentre)
	if alive == 0 {
		alive, known = d.exchange.Heard("")
	}
	return float64(max(alive, 1)) / float64(max(known, 1))
}

// logLimit logs that a server names another limit. source is the kind of answer that named
// it, or the instance that got the answer.
func (d *Daemon) logLimit(change readings.LimitChange, source string) {
	d.logger.Info("server names limit", "server", change.Server, "limit", change.Limit, "before", change.Before, "source", source,
		"age", time.Since(change.At), "sharers", d.sharers(), "requests", change.Requests, "checks", change.Checks, "held", change.Held)
}
