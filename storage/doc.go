// Package storage defines the services that the hosting platform provides:
// a transactional table service, an object store and an instance list.
//
// All state that must survive an instance lives behind these interfaces. Each
// of them can be slow or unavailable for long periods, and a write whose
// answer was lost may have taken effect; such writes fail with
// [UnknownOutcomeError] and callers settle them by reading back.
package storage
