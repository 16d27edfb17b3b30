// Package peer connects the instances of a fleet by long-lived yamux sessions
// over TCP that carry length-prefixed protobuf envelopes.
//
// Users of the package depend on [Messenger] only; package peertest provides
// an in-memory network with cuts for tests.
package peer
