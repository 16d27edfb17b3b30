// Package loadgen sends open-loop load to entry addresses and judges the
// answers.
//
// Arrivals follow a seeded Poisson process that does not wait for answers, and
// latency counts from the intended send time, so that a slow system cannot
// hide its delays by slowing the load down. Every call carries a mark that the
// answer must repeat; a body must match its checksum. Executions, slot limits
// and repeated keys are judged from the backend stand-ins' logs and counts.
package loadgen
