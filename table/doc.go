// Package table defines the document with which operators configure a fleet:
// services, routes, backend servers, weights and limits.
//
// A [Document] is accepted atomically by a conditional write of the next
// version in the platform's table service. Instances compile an accepted
// document into an immutable [Snapshot] and replace the active one atomically.
package table
