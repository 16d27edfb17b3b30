// Package operator implements the HTTP API of an instance's operator listener and the
// client for it that the operators' tool uses.
//
// These requests need no authentication:
//
//	GET /livez      status 200 while the process runs
//	GET /readyz     status 200 if the instance should receive requests, else 503
//	GET /status     [Status]
//	GET /backends   [Backends]
//	GET /burn       [burn.Report]
//	GET /metrics    metrics in the Prometheus text format
//
// Only operators may accept a table or profile the process:
//
//	POST /table             [AcceptRequest]; the response is [AcceptResponse]
//	GET  /debug/pprof/...   profiles of net/http/pprof
//
// An operator authenticates with a client certificate that the listener verifies or
// with the bearer token whose checksum is in the settings. The response to a failed
// request is [Failure].
package operator
