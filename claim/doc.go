// Package claim makes keyed requests that are not repeatable run at most once
// in the whole fleet.
//
// A request is claimed before it is sent. Keys hash to journal partitions;
// each partition is appended to by conditional write in the table service, so
// an owner that was paused and replaced fails its next append. Claims of many
// requests share one write.
package claim
