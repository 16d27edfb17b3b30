package daemon

import (
	"github.com/pomelolock/pomelolock/loadbalancer"
	"github.com/pomelolock/pomelolock/membership"
	"github.com/pomelolock/pomelolock/probe"
	"github.com/pomelolock/pomelolock/table"
)

// probePath is the path that probes request from backend servers.
const probePath = "/health"

// drainWatcher reports to the membership tracker which backend servers start and stop
// draining, according to the results of attempts and probes.
type drainWatcher struct {
	tracker *membership.Tracker
	prober  *probe.Prober
}

func (d *Daemon) wireProbes() {
	d.probes = probe.NewBudget(probe.Options{
		Tables: d.platform,
		Limit:  d.probeLimit,
		Logger: d.logger.With("part", "probe"),
	})
	d.drainWatcher = &drainWatcher{tracker: d.tracker}
	d.drainWatcher.prober = probe.NewProber(probe.ProberOptions{
		Budget:         d.probes,
		Report:         d.drainWatcher.handleProbe,
		SharedSuspects: d.tracker.DrainingServers,
		Owns:           d.ownsProbes,
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

// ownsProbes reports whether this instance is the one that probes the server.
func (d *Daemon) ownsProbes(address string) bool {
	var ids []string
	for _, entry := range d.tracker.Entries() {
		ids = append(ids, entry.ID)
	}
	return membership.Owner(address, ids) == d.self.ID
}

// Observe implements [proxy.ServerObserver]. It handles only draining servers, which
// receive no requests and have to be probed. Failing servers are not probed, since
// ordinary requests are attempted on them again.
func (w *drainWatcher) Observe(server table.Server, result loadbalancer.Result) {
	if result.Load != nil && result.Load.Draining {
		w.tracker.ReportLeavingServer(server.Address)
	}
}

// handleProbe reports the state of the server from the result of a probe.
func (w *drainWatcher) handleProbe(result probe.Result) {
	switch {
	case result.Draining:
		w.tracker.ReportLeavingServer(result.Address)
	case result.Answered:
		w.tracker.ReportServingServer(result.Address)
	}
}
