// Package daemon assembles a pomelolockd instance from its parts.
//
// The listeners, the mesh, the membership tracker and the background tasks (such as
// slot coordination and the claim journal) live as long as the process, a snapshot of
// the table as long as its version, the peer sessions and the transports to backend
// servers as long as their connections, and the exchange in package proxy as long as a
// request. Each task is started in one goroutine and ends with its context.
package daemon
