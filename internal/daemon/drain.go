package daemon

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// DrainError reports requests that were still in flight when the longest wait
// for them passed.
type DrainError struct {
	InFlight int64
	Err      error
}

func (e *DrainError) Error() string {
	return fmt.Sprintf("daemon: %d requests in flight at the end of the drain: %v", e.InFlight, e.Err)
}

// Unwrap returns the cause.
func (e *DrainError) Unwrap() error { return e.Err }

// handoverTimeout bounds the handover of all duties.
const handoverTimeout = 5 * time.Second

// stop shuts the instance down without cutting off a request: it announces
// the departure, keeps serving while the platform's balancer lags, hands its
// duties over and waits for the requests in flight.
func (d *Daemon) stop() error {
	d.logger.Info("leaving")
	d.leaving.Store(true)
	d.callers.SetKeepAlivesEnabled(false)
	ctx, cancel := context.WithTimeout(context.Background(), d.set.Stop.BalancerLag()+handoverTimeout)
	defer cancel()
	lag := time.NewTimer(d.set.Stop.BalancerLag())
	defer lag.Stop()
	if err := d.tracker.Leave(ctx); err != nil {
		d.logger.Warn("departure not announced", "error", err)
	}
	d.handOver(ctx)
	<-lag.C
	err := d.drain()
	d.logger.Info("left", "in_flight", d.proxy.Stats().InFlight)
	return err
}

// handOver gives the duties to other instances. What can't be handed over is
// taken over by them when they miss this instance.
func (d *Daemon) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	if err := d.claims.Handover(ctx); err != nil {
		d.logger.Warn("partitions not handed over", "error", err)
	}
	if err := d.slots.Handover(ctx); err != nil {
		d.logger.Warn("coordination not handed over", "error", err)
	}
}

// drain closes the caller listener and waits for the requests in flight.
func (d *Daemon) drain() error {
	ctx := context.Background()
	if timeout := d.set.Stop.DrainTimeout(); timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, timeout)
		defer cancel()
	}
	err := d.callers.Shutdown(ctx)
	if err == nil || errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return &DrainError{InFlight: d.proxy.Stats().InFlight, Err: err}
}
