// Package callerconn serves the HTTP/1 connections of callers.
//
// Callers may pipeline requests. The server of net/http handles pipelined requests one
// after the other, so a slow one delays those behind it. This package handles them
// concurrently and sends the responses in the order of the requests. It parses requests
// and formats headers with net/http.
package callerconn
