package daemon

import (
	"context"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/pomelolock/pomelolock/burn"
	"github.com/pomelolock/pomelolock/operator"
	"github.com/pomelolock/pomelolock/slot"
)

// operatorHandler serves operators, health checks and metrics.
func (d *Daemon) operatorHandler() http.Handler {
	return operator.NewHandler(operator.Options{
		Reporter:    d,
		Acceptor:    d.sync,
		Burner:      d,
		Metrics:     d.metrics,
		TokenSHA256: d.set.OperatorTokenSHA256,
		Logger:      d.logger.With("part", "operator"),
	})
}

// Status implements [operator.Reporter].
func (d *Daemon) Status() operator.Status {
	status := operator.Status{
		Instance:     d.self,
		Build:        buildVersion(),
		StartedAt:    d.started,
		TableVersion: d.tableVersion(),
		InFlight:     d.proxy.Stats().InFlight,
		Leaving:      d.leaving.Load(),
	}
	if err := d.sync.Ready(); err != nil {
		status.NotReady = err.Error()
	}
	return status
}

func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	return info.Main.Version
}

// Backends implements [operator.Reporter] with the servers that the instance
// coordinates.
func (d *Daemon) Backends() []operator.Backend {
	var backends []operator.Backend
	snapshot := d.current.Load()
	for _, seen := range d.slots.Backends() {
		backend := operator.Backend{
			Service:    seen.Service,
			Name:       seen.Server,
			DataCentre: seen.DataCentre,
			State:      stateOf(seen),
			Slots:      seen.Slots,
			Leased:     seen.Leased,
			Window:     seen.Window,
			LatencyMS:  float64(seen.Latency) / float64(time.Millisecond),
		}
		if snapshot != nil {
			server, _ := snapshot.Server(seen.Server)
			backend.Address = server.Address
		}
		backends = append(backends, backend)
	}
	return backends
}

// States of a backend server as operators see them.
const (
	stateServing  = "serving"
	stateDraining = "draining"
	stateFailing  = "failing"
	stateUnused   = "unused"
)

func stateOf(b slot.Backend) string {
	switch {
	case b.Draining:
		return stateDraining
	case b.Failing:
		return stateFailing
	case !b.Usable:
		return stateUnused
	}
	return stateServing
}

// Burn implements [operator.Burner].
func (d *Daemon) Burn(ctx context.Context) (burn.Report, error) { return d.burn.Burn(ctx) }
