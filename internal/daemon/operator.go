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

// operatorHandler returns the handler of the operator listener.
func (d *Daemon) operatorHandler() http.Handler {
	return operator.NewHandler(operator.Options{
		Reporter:     d,
		Acceptor:     d.sync,
		BurnReporter: d,
		Metrics:      d.metrics,
		TokenSHA256:  d.set.OperatorTokenSHA256,
		Logger:       d.logger.With("part", "operator"),
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

// Backends implements [operator.Reporter]. It returns the servers whose slot
// coordinators run on this instance.
func (d *Daemon) Backends() []operator.Backend {
	var backends []operator.Backend
	snapshot := d.current.Load()
	for _, b := range d.slots.Backends() {
		backend := operator.Backend{
			Service:    b.Service,
			Name:       b.Server,
			DataCentre: b.DataCentre,
			State:      backendState(b),
			Slots:      b.Slots,
			Leased:     b.Leased,
			Window:     b.Window,
			LatencyMS:  float64(b.Latency) / float64(time.Millisecond),
		}
		if snapshot != nil {
			server, _ := snapshot.Server(b.Server)
			backend.Address = server.Address
		}
		backends = append(backends, backend)
	}
	return backends
}

// Values of [operator.Backend.State].
const (
	stateServing  = "serving"
	stateDraining = "draining"
	stateFailing  = "failing"
	stateUnused   = "unused"
)

func backendState(b slot.Backend) string {
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

// Burn implements [operator.BurnReporter].
func (d *Daemon) Burn(ctx context.Context) (burn.Report, error) { return d.burn.Burn(ctx) }
