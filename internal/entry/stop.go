package entry

import (
	"context"
	"time"
)

const (
	// balancerLag is how long the platform's balancer may send new connections
	// after the instance became unready: it asks once a second and takes an
	// instance out after two misses.
	balancerLag = 2600 * time.Millisecond
	// exitMargin is kept between the end of the last request and the platform's
	// SIGKILL.
	exitMargin = 300 * time.Millisecond
	// defaultGrace is assumed if the settings don't tell the grace period.
	defaultGrace = 6 * time.Second
)

// stop shuts the instance down without cutting off a request: it becomes
// unready, serves on while the balancer lags, closes the listener and waits for
// the requests in flight.
func (d *Daemon) stop() {
	began := time.Now()
	grace := d.settings.Load().Grace
	if grace <= 0 {
		grace = defaultGrace
	}
	d.logger.Info("stopping", "in_flight", d.forwarder.Stats().InFlight, "grace", grace)
	d.leaving.Store(true)
	d.callers.Leave()
	d.exchange.Leave()
	d.exchange.Flush()
	time.Sleep(min(balancerLag, grace/2))
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(grace-exitMargin))
	defer cancel()
	if err := d.callers.Shutdown(ctx); err != nil {
		d.logger.Warn("requests in flight at the end of the grace period",
			"in_flight", d.forwarder.Stats().InFlight, "error", err)
	}
}
