package claim

import (
	"encoding/binary"
	"slices"
	"sort"

	"github.com/pomelolock/pomelolock/claim/claimpb"
)

const (
	// compactionThreshold is the minimum number of keys in the map at which
	// ended ones are moved to runs.
	compactionThreshold = 4096
	// runsPerRetention limits the time span of merged runs to the retention
	// divided by it. The keys of a run expire together with the newest of
	// them, so the span is how long a key can outlive its retention.
	runsPerRetention = 16
)

// endedKey is a key whose attempt has ended, in 12 bytes: 8 bytes of its hash,
// 31 bits of its fingerprint, and one bit that is set if the attempt finished.
type endedKey struct {
	hash uint64
	tag  uint32
}

const finishedBit = 1

func tagOf(fingerprint [fingerprintBytes]byte) uint32 {
	return binary.BigEndian.Uint32(fingerprint[:4]) &^ finishedBit
}

func hashOf(id keyID) uint64 { return binary.BigEndian.Uint64(id[8:]) }

// endedRun is an immutable set of ended keys, sorted by hash. An ended key no
// longer changes, so a run needs no updates and only expires.
type endedRun struct {
	minMS, maxMS int64
	hashes       []uint64
	tags         []uint32
}

func newEndedRun(keys []endedKey, minMS, maxMS int64) *endedRun {
	sort.Slice(keys, func(i, j int) bool { return keys[i].hash < keys[j].hash })
	r := &endedRun{minMS: minMS, maxMS: maxMS}
	r.hashes = make([]uint64, 0, len(keys))
	r.tags = make([]uint32, 0, len(keys))
	for _, key := range keys {
		r.hashes = append(r.hashes, key.hash)
		r.tags = append(r.tags, key.tag)
	}
	return r
}

// lookup returns the entry of a key. Its time is that of the newest key of the
// run.
func (r *endedRun) lookup(id keyID) (entry, bool) {
	i, ok := slices.BinarySearch(r.hashes, hashOf(id))
	if !ok {
		return entry{}, false
	}
	e := entry{timeMS: r.maxMS, compacted: true, state: uint8(claimpb.State_STATE_UNKNOWN)}
	if r.tags[i]&finishedBit != 0 {
		e.state = uint8(claimpb.State_STATE_FINISHED)
	}
	binary.BigEndian.PutUint32(e.fingerprint[:4], r.tags[i]&^finishedBit)
	return e, true
}

// mergeRuns merges two runs. Where both contain a key, the newer run wins.
func mergeRuns(older, newer *endedRun) *endedRun {
	keys := make([]endedKey, 0, len(older.hashes)+len(newer.hashes))
	for i, hash := range newer.hashes {
		keys = append(keys, endedKey{hash, newer.tags[i]})
	}
	for i, hash := range older.hashes {
		if _, replaced := slices.BinarySearch(newer.hashes, hash); !replaced {
			keys = append(keys, endedKey{hash, older.tags[i]})
		}
	}
	return newEndedRun(keys, min(older.minMS, newer.minMS), max(older.maxMS, newer.maxMS))
}

// lookup returns the entry of a key, even if it has expired.
func (x *index) lookup(id keyID) (entry, bool) {
	if e, ok := x.keys[id]; ok {
		return e, true
	}
	for i := len(x.ended) - 1; i >= 0; i-- {
		if e, ok := x.ended[i].lookup(id); ok {
			return e, true
		}
	}
	return entry{}, false
}

// compact moves ended keys without a cached response to runs, once the map
// holds enough keys.
func (x *index) compact(retentionMS int64) {
	if len(x.keys) >= compactionThreshold+2*x.keysAfterCompaction {
		x.compactEnded(retentionMS / runsPerRetention)
	}
}

// compactEnded moves all ended keys without a cached response to a run.
func (x *index) compactEnded(spanMS int64) {
	keys := make(map[keyID]entry)
	var ended []endedKey
	var minMS, maxMS int64
	for id, e := range x.keys {
		if e.inState(claimpb.State_STATE_TAKEN) || x.responses.byKey[id] != nil {
			keys[id] = e
			continue
		}
		if len(ended) == 0 {
			minMS, maxMS = e.timeMS, e.timeMS
		}
		minMS, maxMS = min(minMS, e.timeMS), max(maxMS, e.timeMS)
		ended = append(ended, e.toEndedKey(id))
	}
	x.keys, x.keysAfterCompaction = keys, len(keys)
	if len(ended) > 0 {
		x.addRun(newEndedRun(ended, minMS, maxMS), spanMS)
	}
}

func (e entry) toEndedKey(id keyID) endedKey {
	key := endedKey{hash: hashOf(id), tag: tagOf(e.fingerprint)}
	if e.inState(claimpb.State_STATE_FINISHED) {
		key.tag |= finishedBit
	}
	return key
}

// addRun adds a run that is newer than all others. It merges the run with
// earlier ones that are not much larger, as long as the merged run spans at
// most spanMS.
func (x *index) addRun(run *endedRun, spanMS int64) {
	for len(x.ended) > 0 {
		last := x.ended[len(x.ended)-1]
		if len(last.hashes) > 2*len(run.hashes) || max(last.maxMS, run.maxMS)-min(last.minMS, run.minMS) > spanMS {
			break
		}
		run = mergeRuns(last, run)
		x.ended = x.ended[:len(x.ended)-1]
	}
	x.ended = append(x.ended, run)
}

// pruneRuns deletes the runs whose keys have all expired.
func (x *index) pruneRuns(nowMS, retentionMS int64) {
	x.ended = slices.DeleteFunc(x.ended, func(r *endedRun) bool {
		return r.maxMS+retentionMS <= nowMS
	})
}

// Approximate memory of a key in the map and in a run.
const (
	mapKeyBytes   = 96
	endedKeyBytes = 12
)

// size returns the number of keys and their approximate memory.
func (x *index) size() (keys, bytes int) {
	keys, bytes = len(x.keys), len(x.keys)*mapKeyBytes
	for _, run := range x.ended {
		keys += len(run.hashes)
		bytes += len(run.hashes) * endedKeyBytes
	}
	return keys, bytes
}
