package entry

import (
	"context"
	"slices"
	"time"

	"github.com/pomelolock/pomelolock/membership"
)

const (
	// joinPatience is the time for which an instance waits for datagrams of others
	// before it looks for them in the store.
	joinPatience = 1200 * time.Millisecond
	// joinRetryInterval is the time between two checks whether to register.
	joinRetryInterval = 500 * time.Millisecond
	// lonelyInterval is the time between two searches in the store of an instance that
	// knows no other.
	lonelyInterval = 5 * time.Second
	// joinInterval is the time between two registrations. Peers remove an instance
	// 10 minutes after they last received a datagram from it.
	joinInterval = 10 * time.Minute
	// removeInterval is the time between two deletions of the registrations of
	// removed instances.
	removeInterval = time.Minute
	// joinTimeout bounds a call to register or to remove.
	joinTimeout = 1500 * time.Millisecond
)

// join makes the instance known to the others. With seeds, it learns of them by datagrams;
// if it knows nobody after joinPatience, or without seeds, it registers in the store and
// reads who else has. The relays of each data centre are registered, so that others find
// them if no seed is alive. They read who else is registered too, since they may have started
// in a part of the fleet that is cut off, and must not take it for the whole.
func (d *Daemon) join(ctx context.Context) error {
	firstStart := d.opts.Settings.FirstStart
	if len(d.seeds()) > 0 {
		if !sleep(ctx, settleTime) {
			return nil
		}
		if d.exchange.Known() == 1 && !sleep(ctx, joinPatience-settleTime) {
			return nil
		}
	}
	var registered, cleaned time.Time
	var era uint64
	for {
		if current := d.feed.Era(); current != era {
			// A store that is back from a copy may lack the registration.
			era, registered = current, time.Time{}
		}
		switch since := time.Since(registered); {
		case d.exchange.Known() == 1 && since >= lonelyInterval:
			if d.register(ctx, firstStart) {
				firstStart, registered = false, time.Now()
			}
		case since >= joinInterval && slices.Contains(d.exchange.Relays(), d.self.ID):
			done := false
			if d.joined.Load() {
				done = d.announce(ctx)
			} else {
				done = d.register(ctx, firstStart)
			}
			if done {
				firstStart, registered = false, time.Now()
			}
		}
		if time.Since(cleaned) >= removeInterval {
			cleaned = time.Now()
			d.removeRegistrations(ctx)
		}
		d.setBudget()
		if !sleep(ctx, joinRetryInterval) {
			return nil
		}
	}
}

// sleep waits and reports false if ctx ends before.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// announce registers the instance and reports whether that succeeded.
func (d *Daemon) announce(ctx context.Context) bool {
	limited, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	err := d.opts.Store.Register(limited, d.self)
	d.logger.Info("registered", "error", err)
	return err == nil
}

// register registers the instance and reports whether that succeeded.
func (d *Daemon) register(ctx context.Context, firstStart bool) bool {
	limited, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	members, err := d.opts.Store.Join(limited, d.self, firstStart)
	if err != nil {
		d.logger.Warn("not registered", "error", err)
		return false
	}
	for _, m := range members {
		d.exchange.Add(m)
	}
	d.joined.Store(true)
	d.logger.Info("joined", "instances", len(members))
	return true
}

// removeRegistrations deletes from the store the registrations of instances that the gossip
// removed. For each of them, one of the others is responsible.
func (d *Daemon) removeRegistrations(ctx context.Context) {
	for _, id := range d.exchange.TakeRemoved() {
		if membership.Owner(id, d.exchange.Alive("")) != d.self.ID {
			continue
		}
		limited, cancel := context.WithTimeout(ctx, joinTimeout)
		err := d.opts.Store.Remove(limited, id)
		cancel()
		d.logger.Info("instance removed", "lost", id, "error", err)
	}
}

// setBudget sets the limits of the retry budget and the number of instances that share it.
func (d *Daemon) setBudget() {
	d.budget.SetLimits(d.settings.Load().Retries, d.sharers())
}
