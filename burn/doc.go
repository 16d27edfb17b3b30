// Package burn measures how fast services use up their error budgets.
//
// The table gives each service an objective: the share of requests that must be
// answered whole within a latency bound. The burn rate of a window is the share
// of requests that missed it, divided by the share that may miss it; at a rate
// of 1 the budget is used up exactly.
//
// Each process counts requests by minute in a [Recorder] and writes its counts
// of an hour to an object of its own, again and again while the hour lasts. So
// counts survive the replacement of instances, and nothing is counted twice: an
// object has one writer. Hours that have passed are merged into one object,
// which lists the processes it contains, and expire after [Retention].
//
// Minutes that nobody measured are missing, and minutes that some process
// should have measured but did not are partial; reports show both and never
// take them for good.
package burn
