package entry

import (
	"runtime"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/pomelolock/pomelolock/metrics"
)

const (
	// maxLatencyMS is the highest latency that the histogram records, in
	// milliseconds.
	maxLatencyMS = 60_000
	// latencyDigits is the precision of the histogram, in significant decimal
	// digits.
	latencyDigits = 2
)

// observer counts finished requests. It implements [forward.Observer].
type observer struct {
	mu              sync.Mutex
	served, refused uint64
	latency         *hdrhistogram.Histogram
}

func newObserver() *observer {
	return &observer{latency: hdrhistogram.New(1, maxLatencyMS, latencyDigits)}
}

// Served implements [forward.Observer].
func (o *observer) Served(_ string, took time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.served++
	// Values outside the histogram's range are recorded as its limits, so that
	// RecordValue can't fail.
	_ = o.latency.RecordValue(min(max(took.Milliseconds(), 1), maxLatencyMS))
}

// Refused implements [forward.Observer].
func (o *observer) Refused(string, string, time.Duration) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.refused++
}

func (o *observer) counts() (served, refused uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.served, o.refused
}

func (o *observer) quantile(q float64) float64 {
	o.mu.Lock()
	defer o.mu.Unlock()
	return float64(o.latency.ValueAtQuantile(q)) / 1000
}

func (d *Daemon) wireMetrics() error {
	d.metrics = metrics.NewRegistry()
	stats := d.forwarder.Stats
	for _, c := range []struct {
		name, help string
		read       func() uint64
	}{
		{"requests_total", "Requests received from callers.", func() uint64 { return stats().Requests }},
		{"answers_whole_total", "Answers of backend servers passed on whole.", func() uint64 { n, _ := d.observer.counts(); return n }},
		{"answers_own_total", "Answers that the instance made itself.", func() uint64 { _, n := d.observer.counts(); return n }},
		{"retries_total", "Further attempts after a failed one.", func() uint64 { return stats().Retries }},
		{"hedges_total", "Second attempts beside a slow one.", func() uint64 { return stats().Hedges }},
		{"delegated_total", "Requests delegated to other instances.", func() uint64 { return stats().Delegated }},
		{"for_peers_total", "Requests that other instances delegated to this one.", func() uint64 { return stats().ForPeers }},
		{"remote_requests_total", "Requests sent to backend servers in other data centres.", func() uint64 { return stats().Remote }},
		{"server_connections_opened_total", "Connections opened to backend servers.", d.pool.Opened.Load},
		{"server_connections_reused_total", "Uses of kept connections to backend servers.", d.pool.Reused.Load},
		{"status_checks_total", "Status checks of backend servers.", d.pool.Checks.Load},
		{"limited_requests_total", "Requests sent to backend servers that had named a limit.", func() uint64 { n, _ := d.board.LimitedSends(); return n }},
		{"limited_checks_total", "Status checks of backend servers that had named a limit.", func() uint64 { _, n := d.board.LimitedSends(); return n }},
		{"peer_sent_datagrams_total", "Datagrams sent to other instances.", d.exchange.Sent.Load},
		{"peer_received_datagrams_total", "Datagrams received from other instances.", d.exchange.Received.Load},
		{"peer_sent_bytes_total", "Bytes of datagrams sent to other instances.", d.exchange.SentBytes.Load},
		{"peer_received_bytes_total", "Bytes of datagrams received from other instances.", d.exchange.ReceivedBytes.Load},
	} {
		if err := d.metrics.Counter(c.name, c.help, c.read); err != nil {
			return err
		}
	}
	for _, g := range []struct {
		name, help string
		read       func() float64
	}{
		{"requests_in_flight", "Requests being served.", func() float64 { return float64(stats().InFlight) }},
		{"request_seconds_p50", "Median time of whole answers, in seconds.", func() float64 { return d.observer.quantile(50) }},
		{"request_seconds_p99", "99th percentile of the time of whole answers, in seconds.", func() float64 { return d.observer.quantile(99) }},
		{"table_version", "Version of the table in force; 0 if none is.", func() float64 { return float64(d.tableVersion()) }},
		{"view_age_seconds", "Age of the view of the store, in seconds.", func() float64 { return d.feed.Age().Seconds() }},
		{"instances_alive", "Instances heard lately, with this one.", func() float64 { return float64(len(d.exchange.Alive(""))) }},
		{"servers_unreachable", "1 while no backend server answers this instance, else 0.", func() float64 {
			if d.board.LinksLost() {
				return 1
			}
			return 0
		}},
		{"goroutines", "Goroutines of the process.", func() float64 { return float64(runtime.NumGoroutine()) }},
	} {
		if err := d.metrics.Gauge(g.name, g.help, g.read); err != nil {
			return err
		}
	}
	return nil
}

func (d *Daemon) tableVersion() uint64 {
	if snapshot := d.current.Load(); snapshot != nil {
		return snapshot.Version()
	}
	return 0
}
