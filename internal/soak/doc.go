// Package soak runs daemons as separate processes on loopback and injects faults
// from outside: signals, restarts, and connections to the store and to backend
// servers that are delayed, reset, blocked in one direction or blocked in both. It
// checks the guarantees to callers against what callers and backend servers observe.
// Some seeds add callers that upload or pipeline, workspaces with caps, servers that
// copy responses, and restarts in series.
//
//	go test ./internal/soak                              a short run
//	go test ./internal/soak -seeds 50 -first 1000        fifty seeds from 1000
//	go test ./internal/soak -run TestUploadBurst -upload-memory 536 -upload-bytes 67108864
//
// Seeds that once failed are kept in regressionSeeds with the cause.
package soak
