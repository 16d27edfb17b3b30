// Package idset remembers which request IDs a connection has carried.
package idset

import (
	"hash/maphash"
	"unsafe"
)

// minSlots is the initial number of slots of a [Set].
const minSlots = 16

// seed is that of all hashes.
var seed = maphash.MakeSeed()

// Hash is the hash of the ID of a request; 0 stands for none.
type Hash uint32

// HashOf returns the hash of the ID of a request, which is not 0.
func HashOf(id string) Hash { return Hash(max(maphash.String(seed, id)>>32, 1)) }

// Set is a set of hashes with open addressing: a lookup reads about two neighbouring slots, whatever the
// size. IDs with the same hash are not told apart, which for one of 1,000 others happens to 1 ID in 4 million
// and costs a connection. 1,024 IDs take 8 KiB. It is not safe for concurrent use.
type Set struct {
	// slots has a power of two slots, at most half of which are in use; 0 is an unused one.
	slots []Hash
	n     int
}

// Len returns the number of hashes.
func (s *Set) Len() int { return s.n }

// Bytes returns the memory that the hashes take.
func (s *Set) Bytes() int { return cap(s.slots) * int(unsafe.Sizeof(Hash(0))) }

// find returns the slot that holds the hash or, if none does, the one where it belongs. There must be an
// unused slot.
func (s *Set) find(h Hash) int {
	mask := len(s.slots) - 1
	i := int(h) & mask
	for s.slots[i] != 0 && s.slots[i] != h {
		i = (i + 1) & mask
	}
	return i
}

// Contains reports whether the set has the hash.
func (s *Set) Contains(h Hash) bool { return s.n > 0 && s.slots[s.find(h)] == h }

// Add adds a hash that is not 0.
func (s *Set) Add(h Hash) {
	if 2*(s.n+1) > len(s.slots) {
		old := s.slots
		s.slots = make([]Hash, max(2*len(old), minSlots))
		for _, h := range old {
			if h != 0 {
				s.slots[s.find(h)] = h
			}
		}
	}
	if i := s.find(h); s.slots[i] == 0 {
		s.slots[i] = h
		s.n++
	}
}
