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

const (
	// handoverTimeout bounds the handover of all duties.
	handoverTimeout = 5 * time.Second
	// announceWait bounds the wait for the platform's instance list.
	announceWait = time.Second
)

// stop shuts the instance down without cutting off a request: it announces
// the departure, keeps serving while the platform's balancer lags, hands its
// duties over and waits for the requests in flight.
func (d *Daemon) stop() error {
	d.logger.Info("leaving")
	d.leaving.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), d.set.Stop.BalancerLag()+handoverTimeout)
	defer cancel()
	lag := time.NewTimer(d.set.Stop.BalancerLag())
	defer lag.Stop()
	d.announceLeaving(ctx)
	d.handOver(ctx)
	<-lag.C
	err := d.drain()
	d.leaveList()
	d.logger.Info("left", "in_flight", d.proxy.Stats().InFlight)
	return err
}

// closeAfterAnswer asks callers to open a new connection, to another instance,
// once the instance is leaving. Idle connections stay open meanwhile: closing
// one could cut off a request on its way.
func (d *Daemon) closeAfterAnswer(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// announceLeaving tells peers and the list of the departure. A list that is
// down holds the stop up for announceWait at most; the row is written later.
func (d *Daemon) announceLeaving(ctx context.Context) {
	left := make(chan error, 1)
	go func() { left <- d.tracker.Leave(ctx) }()
	select {
	case err := <-left:
		if err != nil {
			d.logger.Warn("departure not announced", "error", err)
		}
	case <-time.After(announceWait):
		d.logger.Warn("instance list slow; leaving goes on")
	}
}

// leaveList takes the instance's row out of the list.
func (d *Daemon) leaveList() {
	ctx, cancel := context.WithTimeout(context.Background(), announceWait)
	defer cancel()
	if err := d.platform.RemoveInstance(ctx, d.self.ID); err != nil {
		d.logger.Warn("row not removed from the instance list", "error", err)
	}
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
