// Package quarantine refuses requests that crash backend servers.
//
// A request is identified by a fingerprint of its content. A connection to a server that breaks
// while a request is in flight, before the first byte of the response, is a loss of that request.
// Servers also crash for reasons of their own, and then many harmless requests are lost. What tells
// them apart is evidence of the whole fleet:
//
//   - A response of a server that ran the request clears all losses before it, on all instances.
//   - All losses in one crash of a server count as one, whoever tells of it and when.
//   - Losses of one moment are one piece of evidence, however many servers were lost. They make a
//     request suspected. A run that began after they were known belongs to the next turn.
//   - A loss says less if a server that did not run the request was lost at the same time.
//
// A suspected request is tried: one instance runs one copy, and the others wait for the outcome.
// A response clears the request; a further loss confirms it. It is then refused for a period, which
// doubles with each further turn, and gets one trial after it.
//
// The number of losses that make a request suspected or confirmed is an option. With two, a
// request is held back from its first loss on, and after the second in turn it is refused. With
// more, no request is held back before it has as many losses.
//
// Requests and responses that concern no request with losses take no lock and send no message.
package quarantine
