// Package table defines the one document by which operators govern a fleet:
// services, routes, backend servers, weights and limits.
//
// A [Document] is accepted as a whole. Acceptance is a conditional write of
// the next version in the platform's table service; instances compile an
// accepted document into an immutable [Snapshot] and swap it atomically.
package table
