// Package quota caps the requests of workspaces over the whole fleet. It has no network: the
// caller carries its messages.
//
// One instance is the allocator of a workspace and keeps its token bucket. The others ask it for
// units when requests arrive, one message for those that arrive together. If the allocator changes,
// the bucket is handed over to the next one. Each instance owns a part of each cap and lends it to one
// allocator at a time, so that allocators that don't hear each other don't grant more than the cap.
// [Client] is the part of an instance that asks, [Allocator] the part that grants, [Parts] holds what
// it may grant. docs/design/usage-caps.md states why the sum of all units stays
// within the cap while instances fail.
package quota

import "hash/fnv"

func hash(name string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(name))
	return h.Sum64()
}
