// Package forward serves callers' requests through backend servers.
//
// A request is matched to a route, placed on a server and sent; the caller gets
// the complete response of the server. The request is sent to another server only
// if it is repeatable or provably has not run, within the attempts of its route
// and the retry budget. A request that can't be served is refused at once, with a
// Retry-After. When the caller disconnects, the attempts are cancelled.
//
// During startup, requests wait first for the table and then in their queues until
// the loads of the servers are known.
//
// The names of headers are defined by a [Protocol].
package forward
