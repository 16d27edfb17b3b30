// Package probe keeps the active measuring of backend servers inside the
// fleet's budget.
//
// A [Budget] leases a rate of probes from one record in the table service. The
// rates leased by all instances together never exceed the table's limit, and
// each instance spreads its probes over its lease, so that no second sees more
// probes in the whole fleet than the limit. Safety rests on conditional writes
// and on durations by the monotonic clock of each instance; neither views of
// membership nor wall clocks matter. Without the table service there are no
// probes.
//
// A [Prober] sends a GET to backend servers that failed or drained and have no
// traffic since. While traffic flows it sends nothing and the budget costs
// nothing.
package probe
