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
		{"answers_whole_total", "Answers of backend servers passed on whole.", func() uint64 { return stats().CompleteResponses }},
		{"answers_own_total", "Answers that the instance made itself.", func() uint64 { return stats().OwnResponses }},
		{"answers_aborted_total", "Answers that broke off at the caller.", func() uint64 { return stats().Aborted }},
		{"retries_total", "Further attempts after a failed one.", func() uint64 { return stats().Retries }},
		{"hedges_total", "Second attempts beside a slow one.", func() uint64 { return stats().Hedges }},
	}
}

func (d *Daemon) fleetCounters() []counter {
	claims := d.claims.Stats
	mesh := d.mesh.Stats
	slots := d.slots.Stats
	return []counter{
		{"claims_total", "Claims recorded by this instance.", func() uint64 { return claims().Claims }},
		{"claims_failed_total", "Claims without a decision.", func() uint64 { return claims().Failed }},
		{"claim_writes_total", "Writes of claim journal heads.", func() uint64 { return claims().HeadWrites }},
		{"claim_write_bytes_total", "Bytes of the claim journal heads written.", func() uint64 { return claims().HeadBytes }},
		{"peer_sent_bytes_total", "Bytes sent to other instances.", func() uint64 { return mesh().WireSent }},
		{"peer_received_bytes_total", "Bytes received from other instances.", func() uint64 { return mesh().WireReceived }},
		{"peer_sessions_lost_total", "Peer sessions that broke off.", func() uint64 { return mesh().Lost }},
		{"peer_dropped_messages_total", "Messages to peers dropped for lack of room.", func() uint64 { return mesh().Dropped }},
		{"slot_messages_total", "Slot messages sent to other instances.", func() uint64 { return slots().Messages }},
		{"slot_message_bytes_total", "Bytes of the slot messages sent.", func() uint64 { return slots().Bytes }},
		{"slot_grants_total", "Leases granted by coordinators on this instance.", func() uint64 { return slots().Grants }},
		{"slot_recalls_total", "Recalls received.", func() uint64 { return slots().Recalls }},
		{"slot_takeovers_total", "Coordinations taken over.", func() uint64 { return slots().Takeovers }},
		{"slot_store_writes_total", "Writes of coordinator records.", func() uint64 { return slots().StoreWrites }},
	}
}

func (d *Daemon) gauges() []gauge {
	return []gauge{
		{"requests_in_flight", "Requests being served.", func() float64 { return float64(d.proxy.Stats().InFlight) }},
		{"buffered_bytes", "Room taken by bodies that are held.", func() float64 { return float64(d.proxy.Stats().BufferedBytes) }},
		{"table_version", "Version of the table in force; 0 if none is.", func() float64 { return float64(d.tableVersion()) }},
		{"peers_connected", "Instances with an open session.", func() float64 { return float64(len(d.mesh.Connected())) }},
		{"slots_held", "Leases held.", func() float64 { return float64(d.slots.Stats().Held) }},
		{"slots_busy", "Leases in use.", func() float64 { return float64(d.slots.Stats().Busy) }},
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
