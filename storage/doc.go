// Package storage defines the services provided by the hosting platform: a
// transactional table service, an object store and an instance list.
//
// All state that must outlive an instance is stored in these services. Each of
// them can be slow or unavailable for long periods. A write whose response was
// lost may have taken effect; it fails with [UnknownOutcomeError], and the caller
// determines the outcome by reading back.
package storage
