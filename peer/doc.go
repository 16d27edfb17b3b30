// Package peer connects the instances of a fleet by long-lived yamux sessions
// over TCP that carry length-prefixed protobuf envelopes.
//
// A [Mesh] keeps one session with each of its targets, whichever end dialled
// it. Each direction has one stream, whose first frame is a Hello; sessions
// with another protocol version or fleet are refused. An end that has nothing
// to send sends heartbeats; a peer that is silent for three heartbeats counts
// as lost, although its kernel may still acknowledge data, and calls to it
// fail with [LostError]. A lost peer is dialled again with a jittered backoff.
//
// Heartbeats grow rarer with the number of sessions, and each tells the peer
// when the next is due.
//
// Users of the package depend on [Messenger] only; package peertest provides
// an in-memory network with cuts for tests.
package peer
