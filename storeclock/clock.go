package storeclock

import (
	"sync"
	"time"
)

const (
	// maxDrift bounds how much faster one of the two clocks runs than the other. Clocks
	// that are disciplined differ by less than 100 ppm.
	maxDrift = 200e-6
	// recalibrateAfter is the age of a calibration from which another is made. By then
	// drift makes the table look 120 ms older at most.
	recalibrateAfter = 10 * time.Minute
)

// Clock converts times of the store's clock to local time and holds the newest proof. It
// is safe for concurrent use.
type Clock struct {
	local func() time.Duration

	mu sync.Mutex
	// offset is a lower bound of local time minus the store's time, as of measuredAt, in
	// an era of the store.
	calibrated bool
	era        uint64
	offset     time.Duration
	measuredAt time.Duration
	// calledAt is the local time of the last call in that era that the store did not hold.
	calledAt time.Duration
	// proofEra and proof are the newest proof in the store's time.
	proofEra uint64
	proof    time.Duration
	// provenAt is the latest local time as of which the table is proven.
	proven   bool
	provenAt time.Duration
}

// New returns a Clock without a calibration. local returns the local time, which has to
// include the time for which the machine is suspended; nil selects [BootTime].
func New(local func() time.Duration) *Clock {
	if local == nil {
		local = BootTime
	}
	return &Clock{local: local}
}

// Local returns the local time.
func (c *Clock) Local() time.Duration { return c.local() }

// Calibrate records a call to the store: the local time before it was sent, and the era and
// the time of the store's clock in its response, which has just arrived. Responses of an
// earlier era, or without a time, are ignored.
func (c *Clock) Calibrate(sent time.Duration, era uint64, storeNow time.Duration) {
	c.record(sent, era, storeNow, true)
}

// Observe is like Calibrate for a call that the store may have held until there was a change.
// It bounds the offset less closely, so that it doesn't replace a calibration.
func (c *Clock) Observe(sent time.Duration, era uint64, storeNow time.Duration) {
	c.record(sent, era, storeNow, false)
}

func (c *Clock) record(sent time.Duration, era uint64, storeNow time.Duration, atOnce bool) {
	received := c.local()
	c.mu.Lock()
	defer c.mu.Unlock()
	if storeNow <= 0 || c.calibrated && era < c.era {
		return
	}
	if atOnce || !c.calibrated || era > c.era {
		c.calledAt = received
	}
	measured := sent - storeNow
	switch bound := c.offsetLocked(received); {
	case !c.calibrated, era > c.era:
		// A restored store may run on another clock.
	case bound > received-storeNow:
		// The store's clock has jumped: the offset that was certain before is impossible.
	case measured <= bound:
		return
	}
	c.calibrated, c.era, c.offset, c.measuredAt = true, era, measured, received
	if c.proofEra == era && c.inFutureLocked(c.proof, received) {
		c.proof = 0
	}
	c.convertLocked(received)
}

// offsetLocked returns the lower bound of the offset at a local time.
func (c *Clock) offsetLocked(now time.Duration) time.Duration {
	return c.offset - time.Duration(maxDrift*float64(now-c.measuredAt))
}

// NeedsCalibration reports whether a call to the store in the given era is missing, or was
// long ago.
func (c *Clock) NeedsCalibration(era uint64) bool {
	now := c.local()
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.calibrated || c.era < era || now-c.calledAt > recalibrateAfter
}

// Prove records that the local table was the newest at a time of the store's clock. It takes
// effect once the clock of that era is calibrated.
func (c *Clock) Prove(era uint64, asOf time.Duration) {
	now := c.local()
	c.mu.Lock()
	defer c.mu.Unlock()
	if asOf <= 0 || era < c.proofEra || era == c.proofEra && asOf <= c.proof {
		return
	}
	if c.calibrated && c.era == era && c.inFutureLocked(asOf, now) {
		return
	}
	c.proofEra, c.proof = era, asOf
	c.convertLocked(now)
}

// inFutureLocked reports whether a time of the store's clock is later than now. Since
// converted times are lower bounds, such a time, or the calibration, is wrong. It must not
// become the newest proof, which later ones could not replace.
func (c *Clock) inFutureLocked(asOf, now time.Duration) bool {
	return asOf+c.offsetLocked(now) > now
}

// convertLocked converts the proof to local time.
func (c *Clock) convertLocked(now time.Duration) {
	if !c.calibrated || c.proof == 0 || c.proofEra != c.era {
		return
	}
	if at := c.proof + c.offsetLocked(now); !c.proven || at > c.provenAt {
		c.proven, c.provenAt = true, at
	}
}

// Proof returns the newest time of the store's clock in the given era at which the local
// table is known to have been the newest; 0 if there is none. It needs no calibration.
func (c *Clock) Proof(era uint64) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.proofEra != era {
		return 0
	}
	return c.proof
}

// Age returns the time since the local table is known to have been the newest, or false if
// it never was.
func (c *Clock) Age() (time.Duration, bool) {
	now := c.local()
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.proven {
		return 0, false
	}
	return now - c.provenAt, true
}
