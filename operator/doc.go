// Package operator is the HTTP API on an instance's operator listener, and the
// client that the operators' tool uses.
//
// Anyone who reaches the listener may read:
//
//	GET /livez      200 while the process runs
//	GET /readyz     200 if the instance should receive requests, else 503
//	GET /status     [Status]
//	GET /backends   [Backends]
//	GET /burn       a report of package burn
//	GET /metrics    metrics in the Prometheus text format
//
// Only operators may accept a table or profile the process:
//
//	POST /table             [AcceptRequest], answered with [AcceptAnswer]
//	GET  /debug/pprof/...   profiles of net/http/pprof
//
// An operator is known by a certificate that the listener verified or by the
// bearer token whose checksum is in the settings. Failed requests are answered
// with [Failure].
package operator
