// Package backend is a stand-in for a backend server: it has a fixed number of
// slots and connections, reports its load, drains, and has faults that can be
// switched while it runs.
//
// Every path but /health and /load is work. A request waits for a slot in
// arrival order, runs for its service time and is answered with a JSON
// [Answer] that names the request, with its CRC-32 in the Body-Checksum
// header. Query parameters of work:
//
//	call=C    a mark that the answer repeats; it also seeds the service time
//	size=N    the least size of the answer's body in bytes
//	crash=1   the process exits when it runs the request
//
// The admin listener serves:
//
//	GET, PUT /faults   the active [Faults] as JSON; a PUT replaces them all
//	                   and starts their times anew
//	GET      /counts   [Counts] as JSON
//	DELETE   /counts   sets the counts to zero
//	GET      /ready    204
package backend
