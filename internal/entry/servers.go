package entry

import (
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// readyPath is asked by the platform's balancer.
	readyPath = "/-/readyz"
	// metricsPath serves the metrics.
	metricsPath = "/metrics"
	// defaultIdleTimeout is how long a caller's connection may stay idle if the
	// table does not tell.
	defaultIdleTimeout = 60 * time.Second
	// idleSlack is how much longer than allowed a connection is left open, so
	// that a request that was sent in time does not cross the close.
	idleSlack = 1.25
)

// listen opens the listeners and creates their servers.
func (d *Daemon) listen() error {
	set := d.opts.Settings
	for _, l := range []struct {
		address  string
		listener *net.Listener
	}{
		{set.Caller, &d.callerListener}, {set.Ready, &d.readyListener}, {set.Metrics, &d.metricsListener},
	} {
		if l.address == "" {
			continue
		}
		opened, err := net.Listen("tcp", l.address)
		if err != nil {
			return &ListenError{Address: l.address, Err: err}
		}
		*l.listener = opened
	}
	d.callers = d.server(d.closeAfterAnswer(d.forwarder))
	d.callers.ConnState = d.idle.note
	mux := http.NewServeMux()
	mux.HandleFunc(readyPath, d.serveReady)
	mux.Handle(metricsPath, d.metrics)
	d.ready = d.server(mux)
	scrapes := http.NewServeMux()
	scrapes.Handle(metricsPath, d.metrics)
	d.scrapes = d.server(scrapes)
	return nil
}

func (d *Daemon) server(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		ErrorLog:          slog.NewLogLogger(d.logger.Handler(), slog.LevelDebug),
	}
}

// closeAfterAnswer asks callers to open a new connection, to another instance,
// once the instance is leaving.
func (d *Daemon) closeAfterAnswer(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if d.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if d.leaving.Load() || !d.hasView() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// hasView reports whether the instance knows a table and the backend servers.
func (d *Daemon) hasView() bool { return d.current.Load() != nil && d.directory.Synced() }

// idleTimeout returns how long a caller's connection may stay idle.
func (d *Daemon) idleTimeout() time.Duration {
	if snapshot := d.current.Load(); snapshot != nil {
		if ms := snapshot.Fleet().IdleTimeoutMS; ms > 0 {
			return time.Duration(ms) * time.Millisecond
		}
	}
	return defaultIdleTimeout
}

// idleConns knows since when callers' connections are idle. The idle timeout
// comes with the table and changes while connections are open.
type idleConns struct {
	mu    sync.Mutex
	since map[net.Conn]time.Time
}

func newIdleConns() *idleConns { return &idleConns{since: make(map[net.Conn]time.Time)} }

// note is called when a connection changes its state.
func (i *idleConns) note(conn net.Conn, state http.ConnState) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if state == http.StateIdle {
		i.since[conn] = time.Now()
		return
	}
	delete(i.since, conn)
}

// closeOlder closes the connections that are idle for longer than the timeout.
func (i *idleConns) closeOlder(now time.Time, timeout time.Duration) {
	limit := time.Duration(float64(timeout) * idleSlack)
	i.mu.Lock()
	defer i.mu.Unlock()
	for conn, since := range i.since {
		if now.Sub(since) > limit {
			conn.Close()
			delete(i.since, conn)
		}
	}
}
