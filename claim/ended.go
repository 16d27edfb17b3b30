package claim

import (
	"encoding/binary"
	"slices"
	"sort"

	"github.com/pomelolock/pomelolock/claim/claimpb"
)

const (
	// compactKeys is the number of keys in the map from which ended ones
	// are moved to runs.
	compactKeys = 4096
	// runsPerRetention bounds the time that a run spans, as a part of the
	// retention. Keys of a run expire together, with the latest of them.
	runsPerRetention = 16
)

// endedKey is a key whose attempt has ended, in 12 bytes: 8 of its hash, 31
// bits of its fingerprint, and whether it finished.
type endedKey struct {
	hash uint64
	mark uint32
}

const finishedMark = 1

func markOf(fingerprint [fingerprintBytes]byte) uint32 {
	return binary.BigEndian.Uint32(fingerprint[:4]) &^ finishedMark
}

func hashOf(id keyID) uint64 { return binary.BigEndian.Uint64(id[8:]) }

// endedRun is an immutable set of ended keys, sorted by hash. An ended key
// changes no more, so that a run needs no other update than to expire.
type endedRun struct {
	minMS, maxMS int64
	hashes       []uint64
	marks        []uint32
}

func newEndedRun(keys []endedKey, minMS, maxMS int64) *endedRun {
	sort.Slice(keys, func(i, j int) bool { return keys[i].hash < keys[j].hash })
	r := &endedRun{minMS: minMS, maxMS: maxMS}
	r.hashes = make([]uint64, 0, len(keys))
	r.marks = make([]uint32, 0, len(keys))
	for _, key := range keys {
		r.hashes = append(r.hashes, key.hash)
		r.marks = append(r.marks, key.mark)
	}
	return r
}

// lookup returns the entry of a key, as old as the latest key of the run.
func (r *endedRun) lookup(id keyID) (entry, bool) {
	i, ok := slices.BinarySearch(r.hashes, hashOf(id))
	if !ok {
		return entry{}, false
	}
	e := entry{timeMS: r.maxMS, compacted: true, state: uint8(claimpb.State_STATE_UNKNOWN)}
	if r.marks[i]&finishedMark != 0 {
		e.state = uint8(claimpb.State_STATE_FINISHED)
	}
	binary.BigEndian.PutUint32(e.fingerprint[:4], r.marks[i]&^finishedMark)
	return e, true
}

// mergeRuns joins two runs; a key of the newer one replaces that of the older.
func mergeRuns(older, newer *endedRun) *endedRun {
	keys := make([]endedKey, 0, len(older.hashes)+len(newer.hashes))
	for i, hash := range newer.hashes {
		keys = append(keys, endedKey{hash, newer.marks[i]})
	}
	for i, hash := range older.hashes {
		if _, replaced := slices.BinarySearch(newer.hashes, hash); !replaced {
			keys = append(keys, endedKey{hash, older.marks[i]})
		}
	}
	return newEndedRun(keys, min(older.minMS, newer.minMS), max(older.maxMS, newer.maxMS))
}

// lookup returns the entry of a key, expired or not.
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

// compact moves ended keys without an answer to runs, once there are enough.
func (x *index) compact(retentionMS int64) {
	if len(x.keys) >= compactKeys+2*x.left {
		x.moveEnded(retentionMS / runsPerRetention)
	}
}

// moveEnded moves all ended keys without an answer to a run.
func (x *index) moveEnded(spanMS int64) {
	keys := make(map[keyID]entry)
	var ended []endedKey
	var minMS, maxMS int64
	for id, e := range x.keys {
		if e.is(claimpb.State_STATE_TAKEN) || x.answers.held[id] != nil {
			keys[id] = e
			continue
		}
		if len(ended) == 0 {
			minMS, maxMS = e.timeMS, e.timeMS
		}
		minMS, maxMS = min(minMS, e.timeMS), max(maxMS, e.timeMS)
		ended = append(ended, e.ended(id))
	}
	x.keys, x.left = keys, len(keys)
	if len(ended) > 0 {
		x.addRun(newEndedRun(ended, minMS, maxMS), spanMS)
	}
}

func (e entry) ended(id keyID) endedKey {
	key := endedKey{hash: hashOf(id), mark: markOf(e.fingerprint)}
	if e.is(claimpb.State_STATE_FINISHED) {
		key.mark |= finishedMark
	}
	return key
}

// addRun adds the newest run and merges it into earlier ones that are not much
// larger, as long as the result does not span too much time.
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

// pruneRuns drops the runs whose keys are all expired.
func (x *index) pruneRuns(nowMS, retentionMS int64) {
	x.ended = slices.DeleteFunc(x.ended, func(r *endedRun) bool {
		return r.maxMS+retentionMS <= nowMS
	})
}

// Bytes of memory of a key, by the measured slopes.
const (
	mapKeyBytes   = 96
	endedKeyBytes = 12
)

// size returns the number of keys and about the bytes that they take.
func (x *index) size() (keys, bytes int) {
	keys, bytes = len(x.keys), len(x.keys)*mapKeyBytes
	for _, run := range x.ended {
		keys += len(run.hashes)
		bytes += len(run.hashes) * endedKeyBytes
	}
	return keys, bytes
}
