// Package quota caps the requests of workspaces over the whole fleet. It has no network: the
// caller carries its messages.
//
// Each instance owns an equal share of every cap. It lends its shares to allocators, which are
// some of the instances and grant them to those that need them. [Share] is the part of an
// instance that lends and uses shares, [Allocator] the part that grants them.
// docs/design/usage-caps.md states why the sum of all shares in use stays within the cap.
package quota

import (
	"hash/fnv"
	"time"
)

const (
	// requestInterval is the time between two requests to an allocator.
	requestInterval = 400 * time.Millisecond
	// minRequestInterval is the minimum time between two requests, if a workspace needs a
	// share at once.
	minRequestInterval = 100 * time.Millisecond
	// grantTTL is the time for which a grant is valid after its request was sent. It
	// outlasts a lost request and its repetition.
	grantTTL = time.Second
	// loanTTL is the time for which a share is lent after a request was sent. Loans
	// outlast the grants that are made of them: with equal times, a grant made shortly
	// before a loan lapses would be used beside the lender's own share. The difference
	// allows for a request interval and 400 ms of delay or repetition: with 200 ms, at
	// delays up to 300 ms and 3 in 100 messages lost, more than 5 in 100 requests were
	// refused below the cap.
	loanTTL = 1800 * time.Millisecond
	// planes is the number of parts in which each instance lends its shares, each part to an
	// allocator of its own. If one fails, the others still cover most of the demand until
	// its loans have lapsed.
	planes = 2
	// instancesPerShard is the number of instances that one allocator serves.
	instancesPerShard = 150
	// shardMargin is the relative change of the fleet's size beyond a boundary at which
	// the number of shards follows, because each change interrupts the loans.
	shardMargin = 0.1
)

func hash(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}

// shardOf returns the shard of a workspace. The middle bits are used because FNV-1a
// distributes its lowest bits poorly.
func shardOf(workspace uint64, shards int) int {
	return int((workspace >> 20) % uint64(max(shards, 1)))
}

// shardCount returns the number of shards for a fleet, given the present number.
func shardCount(instances, present int) int {
	low := float64((present-1)*instancesPerShard) * (1 - shardMargin)
	high := float64(present*instancesPerShard) * (1 + shardMargin)
	if n := float64(instances); present > 0 && low < n && n <= high {
		return present
	}
	return max((instances+instancesPerShard-1)/instancesPerShard, 1)
}
