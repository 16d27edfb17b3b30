// Package daemon wires the parts of one pomelolockd instance.
//
// The layout follows life spans. For a process live the listeners, the mesh,
// the membership tracker and the duties (slot coordination, journal
// partitions); for a version lives the table's snapshot; for a connection the
// peer sessions and the transports to backend servers; for a request the
// exchange in package proxy. Each duty has one goroutine that ends with its
// context.
package daemon
