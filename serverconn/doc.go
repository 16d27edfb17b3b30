// Package serverconn keeps connections to backend servers.
//
// A connection carries one request at a time and is reused while the server keeps it
// open. The package never resends a request on its own. On failure, its user learns
// whether any byte of the request was sent. Servers may drop idle connections silently;
// [Conn.Check] tests a connection before a non-repeatable request is sent on it.
package serverconn
