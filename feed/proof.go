package feed

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/pomelolock/pomelolock/directory"
	"github.com/pomelolock/pomelolock/gossip"
)

// The proof that the table in force is the newest is a time of the store's clock. Package
// storeclock describes it.

const (
	// pollShare is the part of RevokeWithin for which a long poll of the table lasts. The
	// proof at an instance is at most as old as that time, a call to the store and three
	// send intervals of 400 ms (from the reader through two relays): 2.3 s of 5 s.
	pollShare = 5
	// proveShare is the part of RevokeWithin from which instances read the table themselves,
	// in the order of readers. It exceeds the usual age of the proof.
	proveShare = 2
	// callShare is the part of RevokeWithin for which a call that proves the table may last,
	// beyond the long poll. With callTimeout, a store that took 0.75 s to respond proved
	// nothing, and all requests with keys were refused. A second response that takes as
	// long still arrives in time.
	callShare = 0.3
	// calibrateSpread spreads the calibrations of instances that start together.
	calibrateSpread = 200 * time.Millisecond
	// minCalibrateDelay and maxCalibrateDelay bound the delay after a calibration that failed.
	minCalibrateDelay = 200 * time.Millisecond
	maxCalibrateDelay = 3 * time.Second
)

// revokeWithin returns the time within which a withdrawn key has to stop being served, or 0
// if no proof is needed.
func (f *Feed) revokeWithin() time.Duration {
	if f.opts.Proof == nil || f.opts.RevokeWithin == nil {
		return 0
	}
	return f.opts.RevokeWithin()
}

// proving reports whether the table in force needs a proof.
func (f *Feed) proving() bool {
	snapshot := f.opts.Current.Load()
	return snapshot != nil && snapshot.NeedsKeys() && f.revokeWithin() > 0
}

// localTime returns the time before a call to the store.
func (f *Feed) localTime() time.Duration {
	if f.opts.Proof == nil {
		return 0
	}
	return f.opts.Proof.Local()
}

// pollTime returns how long the store may hold a long poll for the next table.
func (f *Feed) pollTime() time.Duration {
	if !f.proving() {
		return tablePollTime
	}
	return min(tablePollTime, f.revokeWithin()/pollShare)
}

// tableCallTimeout bounds a call that reads the table, excluding the long poll time.
func (f *Feed) tableCallTimeout() time.Duration {
	if !f.proving() {
		return callTimeout
	}
	return max(callTimeout, time.Duration(callShare*float64(f.revokeWithin())))
}

// shouldProve reports whether this instance has to read the table because the proof gets
// old, although another instance reads the store: that one may read only the servers.
func (f *Feed) shouldProve() bool {
	if !f.proving() {
		return false
	}
	age, ok := f.opts.Proof.Age()
	return ok && age > f.revokeWithin()/proveShare+time.Duration(min(f.rank(), maxStaggerRank))*staggerDelay
}

// recordTableRead records a read of the table, whose content is in force by now. sent is the
// local time before the call, held whether the store may have held it.
func (f *Feed) recordTableRead(sent time.Duration, held bool, version uint64, state Desired) {
	era := directory.EraOf(version)
	f.mu.Lock()
	if era != f.refusedEra {
		// Versions of another era may be of other tables.
		f.refusedEra, f.refusedUpTo = era, 0
	}
	if r := state.Refused; r != nil && r.Version == f.accountedLocked()+1 {
		f.refusedUpTo = r.Version
	}
	if state.Table != nil || state.Refused != nil {
		f.refused = state.Refused
	}
	// A refused table may have replaced one in the store that this instance never read. It has
	// not if the version before it is in force or was refused as well.
	missed := f.refused != nil && (f.refused.Version == 0 || f.accountedLocked()+1 < f.refused.Version)
	f.mu.Unlock()
	if f.opts.Proof == nil {
		return
	}
	if held {
		f.opts.Proof.Observe(sent, era, state.StoreNow)
	} else {
		f.opts.Proof.Calibrate(sent, era, state.StoreNow)
	}
	if !missed {
		f.prove(era, state.StoreNow)
	}
}

// receiveProof takes the proof of a peer. A peer with an older table proves this one too:
// what is newer was written after that time. A peer with a newer table proves nothing.
func (f *Feed) receiveProof(theirs gossip.Freshness) {
	if f.opts.Proof == nil {
		return
	}
	f.mu.Lock()
	f.heardTable = max(f.heardTable, theirs.TableVersion)
	f.mu.Unlock()
	if theirs.TableAsOf > 0 {
		f.prove(theirs.Era, theirs.TableAsOf)
	}
}

// prove records that the table in force was the newest at a time of the store's clock, unless
// a peer has a newer one, which a store restored from a copy may lack. Peers prove only a table
// that no unread one can have replaced, so that what this instance read doesn't matter here.
func (f *Feed) prove(era uint64, asOf time.Duration) {
	f.mu.Lock()
	behind := f.tableVersion() < f.heardTable
	f.mu.Unlock()
	if !behind {
		f.opts.Proof.Prove(era, asOf)
	}
}

// accountedLocked returns the version up to which, from the one in force on, all tables of the
// store are known to be refused.
func (f *Feed) accountedLocked() uint64 { return max(f.tableVersion(), f.refusedUpTo) }

// tableAsOf returns the proof that peers get, a time of the store's clock in the given era; 0 if
// there is none.
func (f *Feed) tableAsOf(era uint64) time.Duration {
	if !f.proving() {
		return 0
	}
	return f.opts.Proof.Proof(era)
}

// keepCalibrated makes one call to the store when a proof is first needed, and again in each
// era of the store and when the last call was long ago. Instances that read the store have
// calls enough; the others take the proof from peers and need only this one.
func (f *Feed) keepCalibrated(ctx context.Context) {
	delay, heard := minCalibrateDelay, time.Duration(0)
	for ctx.Err() == nil {
		if !f.proving() || !f.opts.Proof.NeedsCalibration(f.Era()) {
			sleep(ctx, pollInterval)
			continue
		}
		sleep(ctx, rand.N(calibrateSpread))
		if !f.opts.Proof.NeedsCalibration(f.Era()) {
			continue
		}
		if err := f.calibrate(ctx); err != nil {
			f.opts.Logger.Info("store clock not read", "error", err, "again_in", delay)
			before := heard
			heard = f.opts.Proof.Proof(f.Era())
			f.awaitStore(ctx, time.Duration((0.5+rand.Float64())*float64(delay)), heard, heard == before)
			delay = min(2*delay, maxCalibrateDelay)
			continue
		}
		delay = minCalibrateDelay
	}
}

// awaitStore waits until the next calibration after one that failed. If the store was away for
// all, a newer proof than the one heard shows that it is back; if it refuses this instance
// alone, newer proofs show nothing.
func (f *Feed) awaitStore(ctx context.Context, delay time.Duration, heard time.Duration, awayForAll bool) {
	for until := time.Now().Add(delay); ctx.Err() == nil && time.Now().Before(until); {
		if awayForAll && f.opts.Proof.Proof(f.Era()) != heard {
			return
		}
		sleep(ctx, min(pollInterval, time.Until(until)))
	}
}

// calibrate reads the clock of the store: the changes of the table since the version of the
// backend servers, which is recent, so that there are hardly any. The content is not used.
func (f *Feed) calibrate(ctx context.Context) error {
	limited, cancel := context.WithTimeout(ctx, f.tableCallTimeout())
	defer cancel()
	var history *HistoryError
	if after := f.opts.Directory.Version(); after > 0 {
		sent := f.localTime()
		state, version, err := f.opts.Store.DesiredChange(limited, after, 0)
		if !errors.As(err, &history) {
			return f.recordCall(sent, version, state, err)
		}
	}
	sent := f.localTime()
	state, version, err := f.opts.Store.Desired(limited)
	return f.recordCall(sent, version, state, err)
}

// recordCall records the time in the response of a call. It fails with [NoTimeError].
func (f *Feed) recordCall(sent time.Duration, version uint64, state Desired, err error) error {
	if err != nil {
		return err
	}
	if state.StoreNow <= 0 {
		return &NoTimeError{}
	}
	f.opts.Proof.Calibrate(sent, directory.EraOf(version), state.StoreNow)
	return nil
}

// NoTimeError reports a response of the store without the time of its clock.
type NoTimeError struct{}

func (*NoTimeError) Error() string { return "feed: the response of the store has no time" }
