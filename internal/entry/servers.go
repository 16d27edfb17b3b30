package entry

import (
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/pomelolock/pomelolock/callerconn"
	"github.com/pomelolock/pomelolock/internal/listen"
)

const (
	// readyPath is the path of the readiness check of the platform's balancer.
	readyPath = "/-/readyz"
	// metricsPath is the path of the metrics.
	metricsPath = "/metrics"
	// defaultIdleTimeout is how long a caller's connection may stay idle if the
	// table sets no timeout.
	defaultIdleTimeout = 60 * time.Second
	// defaultHeaderTimeout and defaultHeaderBytes bound the header of a request if
	// the table does not. They equal the defaults of package settings.
	defaultHeaderTimeout = 5 * time.Second
	defaultHeaderBytes   = 32 << 10
	// delegationHeaderBytes is the room for the headers that delegated requests have
	// beside those of callers.
	delegationHeaderBytes = 1 << 10
)

// listen opens the listeners and creates their HTTP servers.
func (d *Daemon) listen() error {
	set := d.opts.Settings
	for _, l := range []struct {
		address  string
		listener *net.Listener
	}{
		{set.Caller, &d.callerListener}, {set.Peer, &d.peerListener}, {set.Ready, &d.readyListener}, {set.Metrics, &d.metricsListener},
	} {
		if l.address == "" {
			continue
		}
		opened, err := listen.TCP(l.address)
		if err != nil {
			return err
		}
		*l.listener = opened
	}
	d.callers = callerconn.NewServer(callerconn.Options{
		Handler: d.forwarder, Limits: d.callerLimits, Logger: d.logger.With("part", "callers"),
	})
	d.delegates = callerconn.NewServer(callerconn.Options{
		Handler: d.forwarder.DelegatedHandler(), Limits: d.peerLimits, Logger: d.logger.With("part", "peers"),
	})
	mux := http.NewServeMux()
	mux.HandleFunc(readyPath, d.serveReady)
	mux.Handle(metricsPath, d.metrics)
	d.readyServer = d.newServer(mux)
	metricsMux := http.NewServeMux()
	metricsMux.Handle(metricsPath, d.metrics)
	d.metricsServer = d.newServer(metricsMux)
	return nil
}

func (d *Daemon) newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		ErrorLog:          slog.NewLogLogger(d.logger.Handler(), slog.LevelDebug),
	}
}

func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if d.leaving.Load() || !d.hasView() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// hasView reports whether the instance has a table and the list of backend servers, and knows
// which data centres are evacuated.
func (d *Daemon) hasView() bool {
	return d.current.Load() != nil && d.directory.Synced() && d.directory.EvacuationsKnown()
}

// peerLimits returns the limits on the connections of peers: those of callers, with room for
// the headers of a delegation. Peers close connections that they don't use.
func (d *Daemon) peerLimits() callerconn.Limits {
	limits := d.callerLimits()
	limits.IdleTimeout = max(limits.IdleTimeout, defaultIdleTimeout)
	limits.HeaderBytes += delegationHeaderBytes
	return limits
}

// callerLimits returns the limits on callers' connections from the active table, with
// defaults for those that it leaves out.
func (d *Daemon) callerLimits() callerconn.Limits {
	limits := callerconn.Limits{IdleTimeout: defaultIdleTimeout, HeaderTimeout: defaultHeaderTimeout, HeaderBytes: defaultHeaderBytes}
	snapshot := d.current.Load()
	if snapshot == nil {
		return limits
	}
	fleet := snapshot.Fleet()
	if fleet.IdleTimeoutMS > 0 {
		limits.IdleTimeout = time.Duration(fleet.IdleTimeoutMS) * time.Millisecond
	}
	if fleet.HeaderTimeoutMS > 0 {
		limits.HeaderTimeout = time.Duration(fleet.HeaderTimeoutMS) * time.Millisecond
	}
	if fleet.MaxHeaderBytes > 0 {
		limits.HeaderBytes = fleet.MaxHeaderBytes
	}
	return limits
}
