// Package directory holds the backend servers registered with service discovery.
//
// Each entry has the store version of its last change. Versions make the result
// independent of the order in which changes arrive: an entry is replaced only by a
// newer one, and a removed entry leaves a tombstone with the version of its removal.
// Entries that expire during an outage of the store stay in use for a grace period after
// its recovery, because live servers register again within about that time.
//
// Servers in evacuated data centres keep their entries, but are not listed.
package directory
