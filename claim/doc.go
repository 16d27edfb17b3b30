// Package claim makes sure that a keyed, non-repeatable request runs at most
// once in the whole fleet.
//
// A request is claimed before it is sent. Keys are hashed to the partitions of
// a journal. Each partition has one head record in the table service, and each
// append is a conditional write of that record: it succeeds only on the version
// that the appended decisions are based on. An instance that was paused, or
// wrongly considers itself the owner of a partition, therefore fails its next
// append and reads the head again. This check depends neither on clocks nor on
// the membership view.
//
// # Behaviour
//
// The owner of a partition, by rendezvous hashing over the membership view,
// decides the claims of all instances, so that many claims share one write. If
// the owner can't be reached, the next instance in rank decides, and finally
// the calling instance itself.
//
//   - While the table service is down, new keys are rejected with
//     [UnavailableError] within milliseconds, and their requests don't run.
//     Claims of keys that the owner has in memory are still decided.
//   - A key whose attempt ended without having run is free again. A key whose
//     attempt finished gets the stored response, or [Finished] if the response
//     was too large or too old to be kept.
//   - A key whose instance crashed is in progress until the service's deadline
//     and cancel grace have passed, and [Unknown] until the retention ends.
//   - Keys are kept for the table's claim_retention_ms, measured by the
//     monotonic clocks of the owners. A wrong wall clock shortens this by at
//     most a minute for each instance that takes a partition over, and an
//     outage lengthens it.
//
// # Limits
//
// The writes of head records stay within the table's claim_writes_per_second
// for the fleet, divided evenly among the partitions. Memory for keys is
// limited by [Options.KeyBytes]; above it, new keys are rejected. The number of
// partitions is fixed when the journal is created.
//
// # Usage
//
// Create a [Journal] with [New] before the messenger starts and run it with
// [Journal.Run]. Call [Journal.Claim] before a request is sent,
// [Journal.Finish] when it has ended, and [Journal.Handover] when the instance
// begins to shut down. Requests must not be sent if Claim returned an error or
// a verdict other than [Run].
package claim
