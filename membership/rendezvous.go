package membership

import (
	"hash/fnv"
	"sort"
)

// Owner returns the ID with the highest rendezvous weight for key, or "" if ids
// is empty. Instances that pass the same set of IDs get the same owner.
func Owner(key string, ids []string) string { return NewOwners(ids).Of(key) }

// Owners finds the owners of many keys among a fixed set of IDs. It computes the
// hash of each ID only once.
type Owners struct {
	ids    []string
	hashes []uint64
}

// NewOwners returns an [Owners] for ids. The slice is not copied, so the caller
// must not modify it afterwards.
func NewOwners(ids []string) *Owners {
	o := &Owners{ids: ids, hashes: make([]uint64, len(ids))}
	for i, id := range ids {
		o.hashes[i] = hash(id)
	}
	return o
}

// Of returns the owner of key as [Owner] does.
func (o *Owners) Of(key string) string {
	keyHash := hash(key)
	var owner string
	var best uint64
	for i, id := range o.ids {
		weight := hashWeight(keyHash, o.hashes[i])
		if owner == "" || weight > best || weight == best && id < owner {
			owner, best = id, weight
		}
	}
	return owner
}

// Ranked returns a copy of ids in descending order of rendezvous weight for key.
func Ranked(key string, ids []string) []string {
	ranked := append([]string(nil), ids...)
	sort.Slice(ranked, func(i, j int) bool {
		a, b := rendezvousWeight(key, ranked[i]), rendezvousWeight(key, ranked[j])
		if a != b {
			return a > b
		}
		return ranked[i] < ranked[j]
	})
	return ranked
}

// Rank returns the zero-based position of id in the order of [Ranked]. An id that
// is not in ids gets the position that it would have if it were.
func Rank(key, id string, ids []string) int {
	own := rendezvousWeight(key, id)
	rank := 0
	for _, other := range ids {
		if weight := rendezvousWeight(key, other); weight > own || weight == own && other < id {
			rank++
		}
	}
	return rank
}

func rendezvousWeight(key, id string) uint64 { return hashWeight(hash(key), hash(id)) }

func hashWeight(key, id uint64) uint64 { return mix(mix(key) + id) }

func hash(text string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(text))
	return h.Sum64()
}

// mix is the 64-bit finalizer of MurmurHash3. It is needed because FNV alone
// gives similar IDs similar hashes.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
