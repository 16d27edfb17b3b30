// Package entry wires the parts of one entry instance on a hosting platform
// that has a metadata store: the forwarder, the view of the store, the exchange
// with the other instances and the status checks of backend servers.
//
// For a process live the listeners and the duties; for a version the table's
// snapshot; for a connection the pooled connections to backend servers; for a
// request the exchange in package forward. Nothing outlives the process.
package entry
