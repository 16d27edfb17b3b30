// Package claim makes keyed requests that are not repeatable run at most once
// in the whole fleet.
//
// A request is claimed before it is sent. Keys hash to journal partitions. Each
// partition has one head record in the table service, and each append writes
// that record on condition of its version: decisions count only once they have
// been appended to the very version that they were made against. An instance
// that was paused, or believes wrongly that it owns a partition, fails its next
// append and reads on. Clocks and the membership view play no part in that.
//
// # Behaviour
//
// The owner of a partition, by rendezvous hash over the membership view, decides
// for all instances, so that many claims share one write. If it can't be
// reached, the next in rank decides, and at last the instance itself.
//
//   - While the table service is down, new keys are refused with
//     [UnavailableError] within milliseconds, and are not run. Keys that the
//     owner knows are still answered.
//   - A key whose attempt ended without having run is free again. A key whose
//     attempt finished is answered with its kept answer, or with [Finished] if
//     the answer was too large or too old to be kept.
//   - A key whose instance died is in progress until the service's deadline and
//     cancel grace have passed, and [Unknown] until the retention ends.
//   - Keys are remembered for the table's claim_retention_ms, counted by the
//     monotonic clocks of the owners. A wrong wall clock shortens it by at most
//     a minute for each instance that takes a partition over, and an outage
//     lengthens it.
//
// # Limits
//
// The writes of head records stay within the table's claim_writes_per_second
// over the fleet, evenly split over the partitions. Memory for keys is bounded
// by [Options.KeyBytes]; above it new keys are refused. The number of partitions
// is fixed when the journal is created.
//
// # Embedding
//
// Create a [Journal] with [New] before the messenger starts, run it with
// [Journal.Run], call [Journal.Claim] before a request is sent and
// [Journal.Finish] when it has ended, and [Journal.Handover] when the instance
// begins to stop. Requests must not be sent after Claim returned an error or a
// verdict other than [Run].
package claim
