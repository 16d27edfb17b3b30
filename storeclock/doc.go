// Package storeclock tells how old the local table is by the clock of the store.
//
// The store adds the time of its own steady clock to its responses. An instance that
// reads the table thereby learns as of which time its version was the newest, and
// passes that time on to its peers (the proof). Each process converts it to local
// time with calls of its own: the store took the time of a response after the call
// was sent, so "sending minus time" is a lower bound of the offset between the clocks,
// and a converted time is never later than the true one. A proof that was delayed, in
// the network or in a buffer of a process that was stopped, is therefore as old as it is.
//
// The package contains no networking.
package storeclock
