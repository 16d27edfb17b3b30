package entry

import (
	"time"

	"github.com/pomelolock/pomelolock/forward"
)

const (
	// revokeMarginShare is the part of RevokeWithin by which requests with a key are refused
	// early: 100 ms of 5 s. It covers the rounding of the store's time to milliseconds and
	// 200 ppm of drift between the clocks of the store, of this machine and of the caller,
	// 3 ms in all. It needs no time for the way to the server: what counts is when the caller
	// sent the request, and that is not after the decision.
	revokeMarginShare = 50
	// certainViewShare is the part of ApplyWithin up to which the age of the view says that a
	// missing key is unknown. The other half is for the reads of the table, which that age
	// does not cover.
	certainViewShare = 0.5
	// certainProofShare is the same for the age of a proof, which is never too low. It exceeds
	// the usual age in a fleet with relays, so that unknown keys are hardly ever answered
	// with 503.
	certainProofShare = 0.9
	// defaultApplyWithin applies if the setting is missing.
	defaultApplyWithin = 2 * time.Second
	// unproven is the age of a table without a proof.
	unproven = time.Hour
)

// revokeWithin returns the time within which a withdrawn key has to stop being served, or 0
// if there is no such limit.
func (d *Daemon) revokeWithin() time.Duration { return d.settings.Load().RevokeWithin }

// tableAge returns the time since the table in force is known to have been the newest. If
// withdrawn keys need no proof, it is the age of the view of the store.
func (d *Daemon) tableAge() time.Duration {
	if d.revokeWithin() <= 0 {
		return d.feed.Age()
	}
	if age, ok := d.proof.Age(); ok {
		return age
	}
	return unproven
}

// keyRules returns how old the table may be by which keys are judged.
func (d *Daemon) keyRules() forward.KeyRules {
	set := d.settings.Load()
	apply := set.ApplyWithin
	if apply <= 0 {
		apply = defaultApplyWithin
	}
	if set.RevokeWithin <= 0 {
		return forward.KeyRules{CertainWithin: time.Duration(certainViewShare * float64(apply))}
	}
	return forward.KeyRules{
		ServeWithin:   set.RevokeWithin - set.RevokeWithin/revokeMarginShare,
		CertainWithin: time.Duration(certainProofShare * float64(apply)),
	}
}

// judgesKeys reports whether the table is new enough for requests with a key, if it needs
// them.
func (d *Daemon) judgesKeys() bool {
	snapshot := d.current.Load()
	if snapshot == nil || !snapshot.NeedsKeys() {
		return true
	}
	rules := d.keyRules()
	return rules.ServeWithin <= 0 || d.tableAge() <= rules.ServeWithin
}

// proofAge returns the age of the proof in seconds, 0 if there is no need for one.
func (d *Daemon) proofAge() float64 {
	if d.revokeWithin() <= 0 {
		return 0
	}
	return d.tableAge().Seconds()
}
