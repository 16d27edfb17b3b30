package feed

import (
	"context"
	"errors"
	"sync"
	"time"
)

const (
	// maxPause is the time for which a process may have been stopped without having to ask
	// whether data centres were evacuated meanwhile. With the two seconds in which a change
	// reaches every instance, it stays below the five seconds allowed for an evacuation.
	maxPause = 2 * time.Second
	// pauseInterval is the time between two reads of the clock.
	pauseInterval = 200 * time.Millisecond
	// maxHold bounds the time for which requests wait after a pause. An instance that does
	// not reach the store goes on with what peers, whose datagrams arrive several times
	// within that time, have told it.
	maxHold = time.Second
	// confirmInterval is the time between two reads after a pause if the store rejects them.
	confirmInterval = 100 * time.Millisecond
)

// pauses detects that the process was stopped, such as by SIGSTOP or with its whole machine.
// Datagrams that arrived meanwhile seem to be recent, so that only a read of the store that
// began later shows what is in force.
type pauses struct {
	// began wakes up [Feed.watchPauses].
	began chan struct{}

	mu sync.Mutex
	// seen is the latest time at which the process is known to have run.
	seen time.Time
	// at is the time at which the end of the last pause was noticed. hold is closed when the
	// state is current again; nil if nothing has to wait.
	at   time.Time
	hold chan struct{}
}

// observe records that the process runs. It returns a channel that is closed when the state is
// current, nil if it is. The wall clock also shows a suspension of the machine.
func (p *pauses) observe(now time.Time) (hold <-chan struct{}, pause time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.seen.IsZero() {
		pause = max(now.Sub(p.seen), now.Round(0).Sub(p.seen.Round(0)))
	}
	if now.After(p.seen) {
		p.seen = now
	}
	if pause <= maxPause {
		return p.hold, 0
	}
	p.at = now
	if p.hold == nil {
		p.hold = make(chan struct{})
	}
	select {
	case p.began <- struct{}{}:
	default:
	}
	return p.hold, pause
}

// end ends the hold unless there was another pause after the given one.
func (p *pauses) end(at time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.at.Equal(at) {
		return false
	}
	if p.hold != nil {
		close(p.hold)
		p.hold = nil
	}
	return true
}

// observeRunning records that the process runs and returns the channel of [pauses.observe].
func (f *Feed) observeRunning() <-chan struct{} {
	hold, pause := f.pauses.observe(time.Now())
	if pause > 0 {
		f.opts.Logger.Warn("process was stopped, asking the store what changed", "for", pause)
	}
	return hold
}

// Current reports whether the process may send by what it knows of evacuated data centres. It
// may not for a moment after it was stopped for longer than maxPause.
func (f *Feed) Current() bool { return f.observeRunning() == nil }

// AwaitCurrent waits until [Feed.Current] holds, for at most maxHold or until ctx ends.
func (f *Feed) AwaitCurrent(ctx context.Context) {
	hold := f.observeRunning()
	if hold == nil {
		return
	}
	timer := time.NewTimer(maxHold)
	defer timer.Stop()
	select {
	case <-hold:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// watchPauses notices that the process was stopped and asks the store what changed.
func (f *Feed) watchPauses(ctx context.Context) {
	ticker := time.NewTicker(pauseInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			f.observeRunning()
		case <-f.pauses.began:
			f.confirm(ctx)
		}
	}
}

// confirm reads the evacuated data centres after a pause and ends the hold. It repeats a read
// that fails, since the store rejects single calls and peers may be out of reach.
func (f *Feed) confirm(ctx context.Context) {
	for {
		f.pauses.mu.Lock()
		at := f.pauses.at
		f.pauses.mu.Unlock()
		err := f.readEvacuations(ctx)
		held, cancel := context.WithDeadline(ctx, at.Add(maxHold))
		for err != nil && held.Err() == nil {
			if sleep(held, confirmInterval); held.Err() == nil {
				err = f.readEvacuations(held)
			}
		}
		cancel()
		if ctx.Err() != nil || f.pauses.end(at) {
			f.opts.Logger.Info("requests go on after the stop", "after", time.Since(at), "error", err)
			return
		}
	}
}

// readEvacuations reads what changed since the newest version of which the set is known.
func (f *Feed) readEvacuations(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	asked := time.Now()
	f.evacuations.mu.Lock()
	after := f.evacuations.confirmed
	f.evacuations.mu.Unlock()
	var state Desired
	var version uint64
	var err error
	var history *HistoryError
	if after > 0 {
		state, version, err = f.opts.Store.DesiredChange(ctx, after, 0)
	}
	if after == 0 || errors.As(err, &history) {
		state, version, err = f.opts.Store.Desired(ctx)
	}
	if err != nil {
		return err
	}
	f.applyEvacuations(state, version, asked)
	if state.Table != nil {
		f.activate(*state.Table, "store")
	}
	return nil
}
