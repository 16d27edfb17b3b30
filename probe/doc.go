// Package probe sends health probes to backend servers within a rate limit for
// the whole fleet.
//
// A [Budget] leases a probe rate from one record in the table service. The sum
// of the rates leased by all instances never exceeds the table's limit, and each
// instance paces its probes within its lease, so that the fleet sends no more
// probes in any second than the limit. This relies only on conditional writes
// and on durations by each instance's monotonic clock, not on membership or wall
// clocks. While the table service is unavailable, no new leases are granted and
// probes stop when the current leases end.
//
// A [Prober] sends GET requests to backend servers that failed or are draining
// and have had no traffic since. If there are none, it sends no probes and the
// budget makes no calls to the table service.
package probe
