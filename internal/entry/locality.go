package entry

import (
	"sync"
	"time"
)

const (
	// assumedDelay is the one-way delay between data centres until it has been measured. The
	// customers' data centres are 0.5 to 0.9 ms apart.
	assumedDelay = time.Millisecond
	// delayWindow is the time after which a measured delay is forgotten, since links are
	// rerouted. The smallest of the window before is used meanwhile.
	delayWindow = 30 * time.Second
)

// delays measures the delay to data centres as the smallest duration of the status checks of
// servers there, which work on the server only prolongs. It is safe for concurrent use.
type delays struct {
	mu             sync.Mutex
	since          time.Time
	current, prior map[string]time.Duration
}

// observe records the duration of a status check.
func (d *delays) observe(dataCentre string, took time.Duration, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.current == nil || now.Sub(d.since) > delayWindow {
		d.since, d.prior, d.current = now, d.current, make(map[string]time.Duration)
	}
	if least, ok := d.current[dataCentre]; !ok || took < least {
		d.current[dataCentre] = took
	}
}

// least returns the smallest duration of the last two windows.
func (d *delays) least(dataCentre string) (time.Duration, bool) {
	took, ok := d.current[dataCentre]
	if prior, known := d.prior[dataCentre]; known && (!ok || prior < took) {
		return prior, true
	}
	return took, ok
}

// beyond returns the one-way delay to servers in a data centre beyond that to servers in the
// own one.
func (d *delays) beyond(own, dataCentre string) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	there, ok := d.least(dataCentre)
	here, known := d.least(own)
	if !ok || !known {
		return assumedDelay
	}
	return max(there-here, 0) / 2
}
