package entry

import (
	"runtime"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/pomelolock/pomelolock/memory"
	"github.com/pomelolock/pomelolock/metrics"
	"github.com/pomelolock/pomelolock/quota"
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
		{"unknown_keys_total", "Requests refused without a key of a workspace.", func() uint64 { return stats().UnknownKey }},
		{"table_unproven_total", "Requests refused because the table was too old to judge their key.", func() uint64 { return stats().UnprovenTable }},
		{"remote_requests_total", "Requests sent to backend servers in other data centres.", func() uint64 { return stats().Remote }},
		{"share_refused_total", "Requests refused while their workspace had more than its fair share of a queue.", func() uint64 { return stats().OverShare }},
		{"server_connections_opened_total", "Connections opened to backend servers.", d.pool.Opened.Load},
		{"server_connections_reused_total", "Uses of kept connections to backend servers.", d.pool.Reused.Load},
		{"status_checks_total", "Status checks of backend servers.", d.pool.Checks.Load},
		{"limited_requests_total", "Requests sent to backend servers that had named a limit.", func() uint64 { n, _ := d.board.LimitedSends(); return n }},
		{"limited_checks_total", "Status checks of backend servers that had named a limit.", func() uint64 { _, n := d.board.LimitedSends(); return n }},
		{"cold_requests_total", "Requests sent to backend servers that were cold.", d.board.ColdSends},
		{"cold_changes_total", "Times that a backend server turned cold or warm.", d.coldChanges.Load},
		{"quota_served_total", "Requests served within the caps of workspaces.", func() uint64 { return d.quotas.client.Stats().Served }},
		{"quota_refused_total", "Requests refused beyond the caps of workspaces.", func() uint64 { return d.quotas.client.Stats().Refused }},
		{"quota_floor_total", "Requests of workspaces served while no allocator answered.", func() uint64 { return d.quotas.client.Stats().Floor }},
		{"quota_asked_total", "Requests for units to allocators.", func() uint64 { return d.quotas.client.Stats().Asked }},
		{"quota_allocators_failed_total", "Requests for units that an allocator did not answer.", func() uint64 { return d.quotas.client.Stats().Failures }},
		{"quota_granted_total", "Units granted to instances.", func() uint64 { return d.quotas.allocator.Stats().Granted }},
		{"quota_buckets_opened_total", "Buckets that this instance began to grant units of.", func() uint64 { return d.quotas.allocator.Stats().Opened }},
		{"quota_buckets_handed_over_total", "Buckets handed over to other instances.", func() uint64 { return d.quotas.allocator.Stats().HandedOver }},
		{"quota_denied_total", "Units that instances asked for and that were not granted.", func() uint64 { return d.quotas.allocator.Stats().Refused }},
		{"peer_sent_datagrams_total", "Datagrams sent to other instances.", d.exchange.Sent.Load},
		{"peer_received_datagrams_total", "Datagrams received from other instances.", d.exchange.Received.Load},
		{"peer_sent_bytes_total", "Bytes of datagrams sent to other instances.", d.exchange.SentBytes.Load},
		{"peer_received_bytes_total", "Bytes of datagrams received from other instances.", d.exchange.ReceivedBytes.Load},
	} {
		if err := d.metrics.Counter(c.name, c.help, c.read); err != nil {
			return err
		}
	}
	for _, f := range []struct {
		name, help string
		count      func(quota.Counts) uint64
	}{
		{"workspace_served_total", "Requests served of the workspaces with the most requests, and of the rest.", func(c quota.Counts) uint64 { return c.Served }},
		{"workspace_refused_total", "Requests refused beyond the cap of the workspaces with the most requests, and of the rest.", func(c quota.Counts) uint64 { return c.Refused }},
	} {
		read := func() []metrics.Sample {
			var samples []metrics.Sample
			for _, c := range d.quotas.client.Counts() {
				samples = append(samples, metrics.Sample{Label: c.Workspace, Value: f.count(c)})
			}
			return samples
		}
		if err := d.metrics.Counters(f.name, f.help, "workspace", read); err != nil {
			return err
		}
	}
	if err := d.wireMemoryMetrics(); err != nil {
		return err
	}
	for _, g := range []struct {
		name, help string
		read       func() float64
	}{
		{"requests_in_flight", "Requests being served.", func() float64 { return float64(stats().InFlight) }},
		{"request_seconds_p50", "Median time of whole answers, in seconds.", func() float64 { return d.observer.quantile(50) }},
		{"request_seconds_p99", "99th percentile of the time of whole answers, in seconds.", func() float64 { return d.observer.quantile(99) }},
		{"table_version", "Version of the table in force; 0 if none is.", func() float64 { return float64(d.tableVersion()) }},
		{"evacuated_data_centres", "Data centres whose backend servers get no requests.", func() float64 { return float64(d.evacuatedCount()) }},
		{"view_age_seconds", "Age of the view of the store, in seconds.", func() float64 { return d.feed.Age().Seconds() }},
		{"table_proof_age_seconds", "Time since the table in force is known to have been the newest, in seconds; 0 if no proof is needed.", d.proofAge},
		{"instances_alive", "Instances heard lately, with this one.", func() float64 { return float64(len(d.exchange.Alive(""))) }},
		{"servers_unreachable", "1 while no backend server answers this instance, else 0.", func() float64 {
			if d.board.LinksLost() {
				return 1
			}
			return 0
		}},
		{"servers_cold", "Backend servers that count as cold.", func() float64 { return float64(d.coldServers.Load()) }},
		{"goroutines", "Goroutines of the process.", func() float64 { return float64(runtime.NumGoroutine()) }},
	} {
		if err := d.metrics.Gauge(g.name, g.help, g.read); err != nil {
			return err
		}
	}
	return nil
}

// wireMemoryMetrics registers the metrics of the account of the memory that grows with the load.
func (d *Daemon) wireMemoryMetrics() error {
	for _, use := range memory.AllUses() {
		help := "Bytes charged for " + use.String() + "."
		if err := d.metrics.Gauge("memory_"+use.String()+"_bytes", help, func() float64 { return float64(d.memory.Used(use)) }); err != nil {
			return err
		}
	}
	if err := d.metrics.Gauge("memory_peak_bytes", "Most bytes charged at once when an upload was charged.", func() float64 { return float64(d.memory.Peak()) }); err != nil {
		return err
	}
	if err := d.metrics.Gauge("memory_limit_bytes", "Bytes that may be charged; 0 if there is no limit.", func() float64 { return float64(d.memory.Limit()) }); err != nil {
		return err
	}
	if err := d.metrics.Counter("memory_returns_total", "Times that memory was returned to the system after a burst.", d.memoryReturns.Load); err != nil {
		return err
	}
	return d.metrics.Counters("memory_rejected_total", "Requests refused, and responses not buffered, for lack of memory.", "cause", func() []metrics.Sample {
		var samples []metrics.Sample
		for _, cause := range memory.AllCauses() {
			samples = append(samples, metrics.Sample{Label: cause.String(), Value: d.memory.Rejected(cause)})
		}
		return samples
	})
}

func (d *Daemon) tableVersion() uint64 {
	if snapshot := d.current.Load(); snapshot != nil {
		return snapshot.Version()
	}
	return 0
}
