// Package loadgen sends open-loop load to entry addresses and checks the
// responses.
//
// Arrivals follow a seeded Poisson process that does not wait for responses, and
// latency is measured from the intended send time, so that a slow system cannot
// hide its delays by slowing down the load (coordinated omission). Every call has
// an ID that the response must repeat, and a body must match its checksum.
// Executions, slot limits and repeated keys are checked against the logs and
// counts of the backend stand-ins.
package loadgen
