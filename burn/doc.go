// Package burn measures how fast services consume their error budgets.
//
// The table gives each service an objective: the share of requests that must
// get a complete response within a latency bound. The burn rate of a window is
// the share of requests that missed the objective, divided by the share that
// may miss it; at a rate of 1 the error budget is consumed exactly.
//
// Each process counts requests by minute in a [Recorder] and writes its counts
// of an hour to an object of its own, which it overwrites until the hour ends.
// Counts therefore survive the replacement of instances, and no request is
// counted twice, because each object has a single writer. The objects of a past
// hour are merged into one, which lists the processes it contains and is deleted
// after [Retention].
//
// A minute that no process measured is missing; a minute that some process
// should have measured but did not is partial. Reports show both and never
// count them as good.
package burn
