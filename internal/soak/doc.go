// Package soak runs real daemons as processes of their own on loopback and
// injects faults from outside them: signals, restarts, and connections to the
// store and to backend servers that are delayed, reset, cut one way or silenced.
// While it runs it checks the promises to callers, from what callers and backend
// servers see.
//
//	go test ./internal/soak                              a short seeded run
//	go test ./internal/soak -seeds 50 -first 1000        fifty seeds from 1000
//
// A seed that fails is kept in regression with a line on its cause.
package soak
