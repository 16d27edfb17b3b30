package entry

import (
	"context"
	"errors"
	"time"
)

const (
	// balancerLag is how long the platform's balancer may send new connections
	// after the instance became unready. It checks once a second and removes an
	// instance after two failed checks.
	balancerLag = 2600 * time.Millisecond
	// exitMargin is kept between the end of the last request and the platform's
	// SIGKILL.
	exitMargin = 300 * time.Millisecond
	// answerTime is the part of exitMargin in which requests that still run are answered.
	answerTime = 150 * time.Millisecond
	// defaultGrace is the grace period if the settings have none.
	defaultGrace = 6 * time.Second
)

// stop shuts the instance down without aborting requests: the instance becomes
// unready, serves until the balancer has removed it, closes the listener and waits for
// the in-flight requests, until shortly before the end of the grace period at the
// latest. Requests that can't be answered by then are refused before they are sent to a server.
func (d *Daemon) stop() {
	began := time.Now()
	grace := d.settings.Load().Grace
	if grace <= 0 {
		grace = defaultGrace
	}
	end := began.Add(grace - exitMargin)
	d.logger.Info("stopping", "in_flight", d.forwarder.Stats().InFlight, "grace", grace)
	d.leaving.Store(true)
	d.callers.Leave()
	d.delegates.Leave()
	lag := min(balancerLag, grace/2)
	d.forwarder.Leave(end, began.Add(lag))
	d.exchange.Leave()
	d.exchange.Flush()
	time.Sleep(time.Until(began.Add(lag)))
	err := d.shutdown(end)
	if err == nil {
		return
	}
	d.logger.Warn("requests in flight at the end of the grace period",
		"in_flight", d.forwarder.Stats().InFlight, "error", err)
	d.forwarder.End()
	if err := d.shutdown(end.Add(answerTime)); err != nil {
		d.logger.Warn("connections cut at the end of the grace period",
			"in_flight", d.forwarder.Stats().InFlight, "error", err)
	}
}

// shutdown closes the listeners and waits until the requests in flight have ended and their
// connections are closed, until the given time at the latest.
func (d *Daemon) shutdown(end time.Time) error {
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	// Peers send nothing more to an instance that is leaving.
	delegates := make(chan error, 1)
	go func() { delegates <- d.delegates.Shutdown(ctx) }()
	return errors.Join(d.callers.Shutdown(ctx), <-delegates)
}
