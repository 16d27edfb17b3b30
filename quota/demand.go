package quota

import (
	"math"
	"time"
)

const (
	// slowDemand smooths a steady demand, fastDemand shows a rise.
	slowDemand = 1.5
	fastDemand = 0.25
)

// demand estimates the number of requests a second.
type demand struct {
	slow, fast float64
	at         time.Time
}

// add counts a request.
func (d *demand) add(now time.Time) {
	d.decay(now)
	d.slow += 1 / slowDemand
	d.fast += 1 / fastDemand
}

func (d *demand) decay(now time.Time) {
	if elapsed := now.Sub(d.at).Seconds(); elapsed > 0 {
		d.slow *= math.Exp(-elapsed / slowDemand)
		d.fast *= math.Exp(-elapsed / fastDemand)
		d.at = now
	}
}

// perSecond returns the estimate: the slow one, or the fast one less its standard deviation
// if that is higher.
func (d *demand) perSecond(now time.Time) float64 {
	d.decay(now)
	return max(d.slow, d.fast-math.Sqrt(d.fast/(2*fastDemand)))
}
