// Package peer connects the instances of a fleet by long-lived yamux sessions
// over TCP that carry length-prefixed protobuf envelopes.
//
// A [Mesh] keeps one session with each of its targets, no matter which side
// dialled it. Each direction uses one stream, whose first frame is a Hello;
// sessions with a different protocol version or fleet are refused. A side with
// nothing to send sends heartbeats. A peer from which nothing arrives for three
// heartbeat intervals counts as lost, even if its kernel still acknowledges
// data, and calls to it fail with [LostError]. Lost peers are redialled with
// jittered exponential backoff.
//
// The heartbeat interval grows with the number of sessions; each heartbeat
// announces the interval to the peer, which sets its timeout by it.
//
// Users of the package depend on [Messenger] only. Package peertest provides
// an in-memory network with network partitions for tests.
package peer
