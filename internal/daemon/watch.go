package daemon

import (
	"github.com/pomelolock/pomelolock/loadbalancer"
	"github.com/pomelolock/pomelolock/membership"
	"github.com/pomelolock/pomelolock/probe"
	"github.com/pomelolock/pomelolock/table"
)

// probePath is requested from backend servers by probes.
const probePath = "/health"

// serverWatch passes on what attempts and probes tell of backend servers.
type serverWatch struct {
	tracker *membership.Tracker
	prober  *probe.Prober
}

func (d *Daemon) wireProbes() {
	d.probes = probe.NewBudget(probe.Options{
		Tables: d.platform,
		Limit:  d.probeLimit,
		Logger: d.logger.With("part", "probe"),
	})
	d.watch = &serverWatch{tracker: d.tracker}
	d.watch.prober = probe.NewProber(probe.ProberOptions{
		Budget:         d.probes,
		Report:         d.watch.probed,
		SharedSuspects: d.tracker.DrainingServers,
		Owns:           d.owns,
		Path:           probePath,
		Logger:         d.logger.With("part", "probe"),
	})
}

func (d *Daemon) probeLimit() probe.Limit {
	snapshot := d.current.Load()
	if snapshot == nil {
		return probe.Limit{}
	}
	return probe.Limit{PerSecond: snapshot.Fleet().ProbesPerSecond, TableVersion: snapshot.Version()}
}

// owns reports whether this instance is the one to probe the server.
func (d *Daemon) owns(address string) bool {
	var ids []string
	for _, entry := range d.tracker.Entries() {
		ids = append(ids, entry.ID)
	}
	return membership.Owner(address, ids) == d.self.ID
}

// Observe implements [proxy.ServerObserver]. Servers that fail are tried again
// by ordinary traffic; only draining ones, which get none, are probed.
func (w *serverWatch) Observe(server table.Server, result loadbalancer.Result) {
	if result.Load != nil && result.Load.Draining {
		w.tracker.ReportLeavingServer(server.Address)
	}
}

// probed takes in the answer to a probe.
func (w *serverWatch) probed(result probe.Result) {
	switch {
	case result.Draining:
		w.tracker.ReportLeavingServer(result.Address)
	case result.Answered:
		w.tracker.ReportServingServer(result.Address)
	}
}
