package daemon

import (
	"runtime"

	"github.com/pomelolock/pomelolock/metrics"
)

type counter struct {
	name, help string
	read       func() uint64
}

type gauge struct {
	name, help string
	read       func() float64
}

// wireMetrics registers the metrics of the instance's parts.
func (d *Daemon) wireMetrics() error {
	d.metrics = metrics.NewRegistry()
	for _, c := range append(d.requestCounters(), d.fleetCounters()...) {
		if err := d.metrics.Counter(c.name, c.help, c.read); err != nil {
			return err
		}
	}
	for _, g := range d.gauges() {
		if err := d.metrics.Gauge(g.name, g.help, g.read); err != nil {
			return err
		}
	}
	return nil
}

func (d *Daemon) requestCounters() []counter {
	stats := d.proxy.Stats
	return []counter{
		{"requests_total", "Requests received from callers.", func() uint64 { return stats().Requests }},
		{"answers_whole_total", "Complete responses of backend servers passed on to callers.", func() uint64 { return stats().CompleteResponses }},
		{"answers_own_total", "Error responses that the instance generated itself.", func() uint64 { return stats().OwnResponses }},
		{"answers_aborted_total", "Responses that were not sent to the caller completely.", func() uint64 { return stats().Aborted }},
		{"retries_total", "Retries after a failed attempt.", func() uint64 { return stats().Retries }},
		{"hedges_total", "Hedged attempts, started in addition to a slow attempt.", func() uint64 { return stats().Hedges }},
	}
}

func (d *Daemon) fleetCounters() []counter {
	claims := d.claims.Stats
	mesh := d.mesh.Stats
	slots := d.slots.Stats
	return []counter{
		{"claims_total", "Claims recorded by this instance.", func() uint64 { return claims().Claims }},
		{"claims_failed_total", "Claims without a decision.", func() uint64 { return claims().Failed }},
		{"claim_writes_total", "Writes of heads of the claim journal.", func() uint64 { return claims().HeadWrites }},
		{"claim_write_bytes_total", "Bytes written to heads of the claim journal.", func() uint64 { return claims().HeadBytes }},
		{"peer_sent_bytes_total", "Bytes sent to other instances.", func() uint64 { return mesh().WireSent }},
		{"peer_received_bytes_total", "Bytes received from other instances.", func() uint64 { return mesh().WireReceived }},
		{"peer_sessions_lost_total", "Peer sessions that were lost.", func() uint64 { return mesh().Lost }},
		{"peer_dropped_messages_total", "Messages from and to other instances dropped because a queue or the handlers were at capacity.", func() uint64 { return mesh().Dropped }},
		{"slot_messages_total", "Slot messages sent to other instances.", func() uint64 { return slots().Messages }},
		{"slot_message_bytes_total", "Bytes of the slot messages sent.", func() uint64 { return slots().Bytes }},
		{"slot_grants_total", "Leases granted by coordinators on this instance.", func() uint64 { return slots().Grants }},
		{"slot_recalls_total", "Lease recalls received.", func() uint64 { return slots().Recalls }},
		{"slot_takeovers_total", "Slot coordinators taken over by this instance.", func() uint64 { return slots().Takeovers }},
		{"slot_store_writes_total", "Writes of slot coordinator records.", func() uint64 { return slots().StoreWrites }},
	}
}

func (d *Daemon) gauges() []gauge {
	return []gauge{
		{"requests_in_flight", "Requests being served.", func() float64 { return float64(d.proxy.Stats().InFlight) }},
		{"buffered_bytes", "Memory reserved for buffered bodies, in bytes.", func() float64 { return float64(d.proxy.Stats().BufferedBytes) }},
		{"table_version", "Version of the active table; 0 if there is none.", func() float64 { return float64(d.tableVersion()) }},
		{"peers_connected", "Other instances with an open peer session.", func() float64 { return float64(len(d.mesh.Connected())) }},
		{"slots_held", "Slot leases held.", func() float64 { return float64(d.slots.Stats().Held) }},
		{"slots_busy", "Slot leases in use or still reserved for a cancelled request.", func() float64 { return float64(d.slots.Stats().Busy) }},
		{"requests_queued", "Requests waiting for a slot.", func() float64 { return float64(d.slots.Stats().Queued) }},
		{"goroutines", "Goroutines of the process.", func() float64 { return float64(runtime.NumGoroutine()) }},
	}
}

func (d *Daemon) tableVersion() uint64 {
	if snapshot := d.current.Load(); snapshot != nil {
		return snapshot.Version()
	}
	return 0
}
