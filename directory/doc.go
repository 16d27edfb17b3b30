// Package directory holds the backend servers that discovery has announced.
//
// Each entry has the version at which the store last changed it. Versions make
// the order in which changes arrive irrelevant: an entry is replaced only by a
// newer one, and a removed entry leaves a tombstone with the version of its
// removal. Entries that lapse while the store is away are kept for a while
// after its return, because a live server registers again within that time.
package directory
