// Package proxy carries requests of callers to backend servers and their
// answers back.
//
// A request is matched to a route of the table in force, gets its deadline
// from the Request-Timeout-Ms header and the route's limit, obtains a permit
// for one backend server and is sent there. Each answer is either the whole
// answer of a backend server to this request, or an answer of pomelolock's
// own that tells in the Pomelolock-Outcome header whether the request was run
// (see package outcome).
//
// # Bodies
//
// Request bodies up to the buffer limit are held in memory so that another
// attempt can send them again; larger ones are streamed and sent once. A keyed
// request that is not repeatable must fit the service's body limit, as its
// fingerprint covers the body. Answers up to the buffer limit are read whole
// before the first byte goes to the caller. A longer answer that breaks off
// aborts the caller's connection, so that it can't be taken as whole.
// Trailers are not passed on.
//
// # Attempts
//
// An attempt that provably did not run may be made again elsewhere for each
// request. Any other failed attempt is made again only for a repeatable
// request. All further attempts, hedges included, spend the service's retry
// budget and never go to a server that already failed the request.
//
// # Cancellation
//
// When the caller leaves, the attempt's connection is closed, which cancels
// it at the backend server, and its slot stays charged for the service's
// cancel grace. A claimed request that was sent goes on to its end, so that
// its caller can fetch the kept answer under the same key.
package proxy
