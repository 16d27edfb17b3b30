// Package quarantine refuses requests that crash backend servers.
//
// A request is identified by a fingerprint of its content. A connection to a
// server that breaks while a request is in flight, before the first byte of the
// response, counts as a loss for that request. After the first loss, the
// instance may attempt the request on one other server, and all other
// instances, which are informed at once, hold the request back briefly. After
// the second loss, all instances refuse the request for a period that doubles
// with each further loss. Any response clears the request.
//
// A server that crashes for reasons of its own breaks the connections of many
// requests. The first loss therefore does not hold a request back if the server
// lost several different requests at about the same time, or if the request
// received a response recently. If several requests reach their second loss at
// about the same time, as after the failure of a rack, a third loss is
// required.
//
// The number of losses that confirm a request is an option. With more than two,
// no request is held back before it is confirmed.
//
// A caller that resends a crashing request one at a time thus costs two
// servers, and one more after each quarantine period. Copies sent concurrently
// cost at most two servers each, and only if their instances accepted them
// before learning of the first loss.
package quarantine
