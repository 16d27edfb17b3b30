package quota

import (
	"math"
	"time"
)

const (
	// steadyDemand, recentDemand and risingDemand are smoothing times in seconds. A low
	// demand needs the first for a steady estimate; the others show changes.
	steadyDemand = 8.0
	recentDemand = 1.2
	risingDemand = 0.25
)

// demand estimates the number of requests a second.
type demand struct {
	steady, recent, rising float64
	at                     time.Time
}

// add counts a request.
func (d *demand) add(now time.Time) {
	d.decay(now)
	d.steady += 1 / steadyDemand
	d.recent += 1 / recentDemand
	d.rising += 1 / risingDemand
}

func (d *demand) decay(now time.Time) {
	if elapsed := now.Sub(d.at).Seconds(); elapsed > 0 {
		d.steady *= math.Exp(-elapsed / steadyDemand)
		d.recent *= math.Exp(-elapsed / recentDemand)
		d.rising *= math.Exp(-elapsed / risingDemand)
		d.at = now
	}
}

// perSecond returns the estimate: the steady demand, unless the shorter times differ from it
// by more than chance.
func (d *demand) perSecond(now time.Time) float64 {
	d.decay(now)
	recent, rising := deviation(d.recent, recentDemand), deviation(d.rising, risingDemand)
	estimate := min(d.steady, d.recent+2*recent+1/recentDemand)
	return max(estimate, d.recent-recent, d.rising-rising)
}

// deviation returns the standard deviation of a rate that is smoothed exponentially.
func deviation(rate, smoothing float64) float64 { return math.Sqrt(rate / (2 * smoothing)) }
