package entry

import (
	"context"
	"time"

	"github.com/pomelolock/pomelolock/membership"
)

const (
	// joinRetryInterval is the time between two attempts to register.
	joinRetryInterval = 500 * time.Millisecond
	// joinInterval is the time between two checks whether the instance is still
	// registered. Peers remove an instance 10 minutes after they last received a
	// datagram from it.
	joinInterval = 10 * time.Minute
	// removeInterval is the time between two deletions of the registrations of
	// removed instances.
	removeInterval = time.Minute
	// joinTimeout bounds a call to register or to remove.
	joinTimeout = 1500 * time.Millisecond
)

// join registers the instance, adds the registered peers to the gossip and repeats
// both periodically, since peers remove an instance that was partitioned for long.
func (d *Daemon) join(ctx context.Context) error {
	firstStart := d.opts.Settings.FirstStart
	for {
		pause := joinRetryInterval
		if d.register(ctx, firstStart) {
			firstStart = false
			pause = joinInterval
		}
		if !d.removeRegistrations(ctx, pause) {
			return nil
		}
	}
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
	d.logger.Info("joined", "instances", len(members))
	d.setBudget()
	return true
}

// removeRegistrations deletes from the store the registrations of instances that the gossip
// removed, and returns true after the given time or false when ctx ends. For each removed
// instance, one of the others is responsible.
func (d *Daemon) removeRegistrations(ctx context.Context, during time.Duration) bool {
	timer := time.NewTimer(during)
	defer timer.Stop()
	ticker := time.NewTicker(removeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return false
		case <-timer.C:
			return true
		case <-ticker.C:
		}
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
}

// setBudget sets the limits of the retry budget and the known size of the fleet.
func (d *Daemon) setBudget() {
	d.budget.SetLimits(d.settings.Load().Retries, d.exchange.Known())
}
