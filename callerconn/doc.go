// Package callerconn serves callers' connections.
//
// Callers may send further requests before the first is answered. The server of
// net/http handles such requests one after the other, so that a slow one holds up
// those behind it. Here they are handled at the same time and answered in their
// order. Messages are parsed and formatted by net/http.
package callerconn
