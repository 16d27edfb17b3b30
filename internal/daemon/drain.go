package daemon

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"
)

// DrainError reports that requests were still in flight when the drain timeout
// expired.
type DrainError struct {
	InFlight int64
	Err      error
}

func (e *DrainError) Error() string {
	return fmt.Sprintf("daemon: %d requests in flight when the drain timeout expired: %v", e.InFlight, e.Err)
}

// Unwrap returns the cause.
func (e *DrainError) Unwrap() error { return e.Err }

const (
	// handoverTimeout bounds the handover of the claim partitions and the slot
	// coordinators together.
	handoverTimeout = 5 * time.Second
	// listTimeout bounds each wait for the platform's instance list.
	listTimeout = time.Second
)

// stop shuts the instance down without aborting requests: it announces the shutdown,
// hands over the claim partitions and slot coordinators, keeps serving until the
// platform's balancer no longer sends connections and waits for the in-flight requests.
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
	d.deregister()
	d.logger.Info("left", "in_flight", d.proxy.Stats().InFlight)
	return err
}

// closeAfterResponse makes callers reconnect to another instance: while this instance
// is leaving, each response has the header "Connection: close". Idle connections stay
// open, since closing one could abort a request that is being sent on it.
func (d *Daemon) closeAfterResponse(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// announceLeaving reports to peers and to the instance list that this instance is
// leaving. It waits at most listTimeout for the list; the write continues in the
// background.
func (d *Daemon) announceLeaving(ctx context.Context) {
	left := make(chan error, 1)
	go func() { left <- d.tracker.Leave(ctx) }()
	select {
	case err := <-left:
		if err != nil {
			d.logger.Warn("leaving state not written to the instance list", "error", err)
		}
	case <-time.After(listTimeout):
		d.logger.Warn("instance list does not respond; shutdown continues")
	}
}

// deregister removes the instance from the instance list.
func (d *Daemon) deregister() {
	ctx, cancel := context.WithTimeout(context.Background(), listTimeout)
	defer cancel()
	if err := d.platform.RemoveInstance(ctx, d.self.ID); err != nil {
		d.logger.Warn("instance not removed from the instance list", "error", err)
	}
}

// handOver hands the claim partitions and slot coordinators over to other instances.
// What can't be handed over is taken over by them once they detect the loss of this
// instance.
func (d *Daemon) handOver(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	if err := d.claims.Handover(ctx); err != nil {
		d.logger.Warn("claim partitions not handed over", "error", err)
	}
	if err := d.slots.Handover(ctx); err != nil {
		d.logger.Warn("slot coordinators not handed over", "error", err)
	}
}

// drain closes the caller listener and waits for the in-flight requests, at most for
// the drain timeout if one is set.
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
