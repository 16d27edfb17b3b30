// Package backend simulates a backend server for tests, load runs and the demo.
// The server has a fixed number of slots and connections, reports its load, can
// drain, and injects faults that can be changed while it runs.
//
// Every path except /health and /load is work. A request waits for a slot in
// arrival order, runs for its service time and receives a JSON [Response] that
// identifies the request. The Body-Checksum header holds the CRC-32 of the
// body. Query parameters of work:
//
//	call=C    the call ID, which the response repeats and which seeds the
//	          service time
//	size=N    the minimum size of the response body in bytes
//	crash=1   the process exits when it runs the request
//
// The admin listener serves:
//
//	GET, PUT /faults   the active [Faults] as JSON; a PUT replaces all of them
//	                   and restarts their timers
//	GET      /counts   [Counts] as JSON
//	DELETE   /counts   sets the counts to zero
//	GET      /ready    204
package backend
