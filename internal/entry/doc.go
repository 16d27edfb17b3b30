// Package entry assembles an instance for a hosting platform that has a metadata
// store: the forwarder, the view of the store, the gossip with peers and the status
// checks of backend servers.
//
// The listeners and background tasks live as long as the process, a snapshot of the
// table as long as its version, and the exchange in package forward as long as a
// request. Connections to backend servers are pooled. Nothing is kept across restarts
// of the process.
package entry
