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
		Budget: d.probes,
		Report: d.watch.probed,
		Owns:   d.owns,
		Path:   probePath,
		Logger: d.logger.With("part", "probe"),
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

// Observe implements [proxy.ServerObserver].
func (w *serverWatch) Observe(server table.Server, result loadbalancer.Result) {
	draining := result.Load != nil && result.Load.Draining
	if draining {
		w.tracker.ReportLeavingServer(server.Address)
	}
	switch {
	case draining, result.Class == loadbalancer.ClassUnreachable:
		w.prober.NoteFailure(server.Address)
	case result.Class == loadbalancer.ClassOK:
		w.prober.NoteAnswer(server.Address)
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
