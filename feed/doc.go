// Package feed keeps the local view of the store current: the backend servers, the
// active table and the evacuated data centres.
//
// Calls to the store are expensive, so one instance reads it and sends the changes
// to its peers. The first read of a process is not sent, since the peers have that
// data or request it. Every instance knows the time as of which its view is current.
// When the view gets too old because the reader crashed, is partitioned or gets
// errors from the store, further instances start to read, each after a longer delay
// than the one before. An instance that receives a newer version than its own from
// a peer requests the state from that peer.
//
// The versions of the table and of the evacuated data centres never decrease. There is
// no voting: the store orders all changes, and instances differ only in how soon they
// learn of them.
package feed
