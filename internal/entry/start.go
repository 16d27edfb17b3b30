package entry

import (
	"context"
	"time"
)

const (
	// maxViewWait bounds the time after the start in which requests are held until
	// the view of the store is known. A start takes about 30 ms.
	maxViewWait = 600 * time.Millisecond
	// maxLoadsWait bounds the time after that in which requests are held until the
	// loads of the servers are known. It lasts three rounds of status checks.
	maxLoadsWait = 100 * time.Millisecond
	// loadsShare is the fraction of the servers whose loads have to be known. The
	// others may not respond to status checks.
	loadsShare = 0.8
	// awaitInterval is the time between two evaluations of a condition.
	awaitInterval = 5 * time.Millisecond
)

// awaitLoads releases held requests once the loads of the servers are known or the
// time for that is over. Without the loads, instances that start together would send
// all held requests to the same servers.
func (d *Daemon) awaitLoads(ctx context.Context) error {
	defer close(d.loadsReady)
	began := time.Now()
	d.await(ctx, maxViewWait, func() bool { return d.hasView() && d.judgesKeys() })
	close(d.viewReady)
	d.await(ctx, maxLoadsWait, func() bool {
		known, servers := d.loadsKnown()
		return d.hasView() && float64(known) >= loadsShare*float64(servers)
	})
	known, servers := d.loadsKnown()
	d.logger.Info("serving callers", "view", d.hasView(), "servers", servers, "loads_known", known, "after", time.Since(began))
	return nil
}

// await returns when the condition holds, the timeout expires or ctx ends.
func (d *Daemon) await(ctx context.Context, timeout time.Duration, condition func() bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ticker := time.NewTicker(awaitInterval)
	defer ticker.Stop()
	for !condition() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// loadsKnown returns the number of servers that have a reading, including those whose
// check failed, and the number of all checked servers.
func (d *Daemon) loadsKnown() (known, servers int) {
	for server := range d.checkedServers() {
		servers++
		if !d.board.LastReading(server.ID).IsZero() {
			known++
		}
	}
	return known, servers
}
