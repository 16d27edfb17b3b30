package directory

// A version orders the changes of the store, also across restores: after a restore from a
// copy, the store gives out again numbers that it had given out before, in a new era.
const numberBits = 40

// MakeVersion returns the version of a number that the store gave out in an era.
func MakeVersion(era, number uint64) uint64 { return era<<numberBits | number&(1<<numberBits-1) }

// EraOf returns the era of a version.
func EraOf(version uint64) uint64 { return version >> numberBits }

// NumberOf returns the number of a version within its era.
func NumberOf(version uint64) uint64 { return version & (1<<numberBits - 1) }
