package gossip

import (
	"bytes"
	"compress/gzip"
	"encoding/binary"
	"fmt"
	"io"
	"math"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pomelolock/pomelolock/gossip/gossippb"
	"github.com/pomelolock/pomelolock/readings"
)

const (
	// chunkBytes is the size of a chunk. With its header, a chunk fits an
	// Ethernet frame.
	chunkBytes = 1200
	// maxChunks bounds the number of chunks of one transfer.
	maxChunks = 4096
	// maxStateBytes bounds a decompressed state.
	maxStateBytes = 16 << 20
)

// ChunkError reports a chunk with an invalid index or count.
type ChunkError struct{ Index, Count uint32 }

func (e *ChunkError) Error() string {
	return fmt.Sprintf("gossip: invalid chunk: index %d, count %d", e.Index, e.Count)
}

// milliseconds returns d in milliseconds, clamped to the range of the field in a
// datagram.
func milliseconds(d time.Duration) uint32 {
	return uint32(min(max(d.Milliseconds(), 0), math.MaxUint32))
}

// Sizes of packed readings and results, in bytes.
const (
	keyBytes     = 5
	readingBytes = keyBytes + 9
	resultsBytes = keyBytes + 2
)

const (
	// slowdownStep is the resolution of a packed slowdown, in percent.
	slowdownStep = 4
	// healthMask selects the health in the flags of a packed reading. hasReport is
	// set if it has a load report, isWarm if the check said that the server is warm.
	healthMask = 3
	hasReport  = 4
	isWarm     = 8
)

// PackedError reports packed readings or results whose length is not a multiple of the
// size of an entry.
type PackedError struct{ Bytes, EntryBytes int }

func (e *PackedError) Error() string {
	return fmt.Sprintf("gossip: %d bytes are not a multiple of the entry size %d", e.Bytes, e.EntryBytes)
}

// appendReading packs a reading: the key, the flags, the running and waiting requests, the
// slots, the slowdown in steps, and the ages of the report and of the check. Numbers that
// are too large are clamped. Ages are rounded up, so that a reading never becomes newer.
func appendReading(data []byte, r readings.Reading, now time.Time) []byte {
	flags := byte(r.Health) & healthMask
	if r.HasReport {
		flags |= hasReport
	}
	if r.Warm {
		flags |= isWarm
	}
	data = appendKey(data, r.Server)
	data = append(data, flags, clampByte(r.Running), clampByte(r.Waiting), clampByte(r.Slots),
		clampByte((r.SlowdownPercent+slowdownStep/2)/slowdownStep))
	data = binary.BigEndian.AppendUint16(data, packAge(now, r.At))
	return binary.BigEndian.AppendUint16(data, packAge(now, r.HealthAt))
}

// unpackReadings yields the packed readings. It fails with [PackedError].
func unpackReadings(data []byte, now time.Time, yield func(readings.Reading)) error {
	if len(data)%readingBytes != 0 {
		return &PackedError{Bytes: len(data), EntryBytes: readingBytes}
	}
	for ; len(data) > 0; data = data[readingBytes:] {
		fields := data[keyBytes:readingBytes]
		r := readings.Reading{Server: unpackKey(data), Health: readings.Health(fields[0] & healthMask)}
		if fields[0]&hasReport != 0 {
			r.HasReport = true
			r.Report = readings.Report{
				Running: int(fields[1]), Waiting: int(fields[2]), Slots: int(fields[3]), SlowdownPercent: int(fields[4]) * slowdownStep,
			}
			r.At = unpackAge(now, fields[5:])
		}
		if r.Health != readings.HealthUnknown {
			r.HealthAt = unpackAge(now, fields[7:])
			r.Warm = fields[0]&isWarm != 0
		}
		yield(r)
	}
	return nil
}

// appendResults packs the numbers of results of a server.
func appendResults(data []byte, r readings.Results) []byte {
	return append(appendKey(data, r.Server), clampByte(r.Good), clampByte(r.Failed))
}

// unpackResults yields the packed results. It fails with [PackedError].
func unpackResults(data []byte, yield func(readings.Results)) error {
	if len(data)%resultsBytes != 0 {
		return &PackedError{Bytes: len(data), EntryBytes: resultsBytes}
	}
	for ; len(data) > 0; data = data[resultsBytes:] {
		yield(readings.Results{Server: unpackKey(data), Good: int(data[keyBytes]), Failed: int(data[keyBytes+1])})
	}
	return nil
}

func appendKey(data []byte, key readings.ServerKey) []byte {
	return append(data, byte(key>>32), byte(key>>24), byte(key>>16), byte(key>>8), byte(key))
}

func unpackKey(data []byte) readings.ServerKey {
	return readings.ServerKey(data[0])<<32 | readings.ServerKey(binary.BigEndian.Uint32(data[1:]))
}

func clampByte(n int) byte { return byte(min(max(n, 0), math.MaxUint8)) }

// packAge returns the time since at in milliseconds, rounded up.
func packAge(now, at time.Time) uint16 {
	age := now.Sub(at) + time.Millisecond - time.Nanosecond
	return uint16(min(max(age.Milliseconds(), 0), math.MaxUint16))
}

func unpackAge(now time.Time, field []byte) time.Time {
	return now.Add(-time.Duration(binary.BigEndian.Uint16(field)) * time.Millisecond)
}

// compress encodes and compresses a message.
func compress(msg proto.Message) ([]byte, error) {
	data, err := proto.Marshal(msg)
	if err != nil {
		return nil, fmt.Errorf("gossip: encode: %w", err)
	}
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	if _, err := w.Write(data); err != nil {
		return nil, fmt.Errorf("gossip: compress: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("gossip: compress: %w", err)
	}
	return packed.Bytes(), nil
}

// decompress decodes a compressed message.
func decompress(packed []byte, msg proto.Message) error {
	r, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return fmt.Errorf("gossip: decompress: %w", err)
	}
	data, err := io.ReadAll(io.LimitReader(r, maxStateBytes))
	if err != nil {
		return fmt.Errorf("gossip: decompress: %w", err)
	}
	if err := proto.Unmarshal(data, msg); err != nil {
		return fmt.Errorf("gossip: decode: %w", err)
	}
	return nil
}

// split compresses a state and splits it into chunks.
func split(state *gossippb.State) ([][]byte, error) {
	packed, err := compress(state)
	if err != nil {
		return nil, err
	}
	var parts [][]byte
	for rest := packed; len(rest) > 0; {
		n := min(len(rest), chunkBytes)
		parts = append(parts, rest[:n])
		rest = rest[n:]
	}
	return parts, nil
}

// join decodes a state from all of its chunks.
func join(parts [][]byte) (*gossippb.State, error) {
	state := &gossippb.State{}
	if err := decompress(bytes.Join(parts, nil), state); err != nil {
		return nil, err
	}
	return state, nil
}

// transfer is a state that was received in part.
type transfer struct {
	id      uint64
	parts   [][]byte
	missing int
}

// assembler reassembles states from chunks. It keeps only the newest transfer of each
// sender.
type assembler struct {
	mu        sync.Mutex
	transfers map[string]*transfer
}

// add records a chunk and returns the state if that completes it, otherwise nil. It
// fails with [ChunkError] or if the state can't be decoded.
func (a *assembler) add(from string, chunk *gossippb.Chunk) (*gossippb.State, error) {
	index, count := chunk.GetIndex(), chunk.GetCount()
	if count == 0 || count > maxChunks || index >= count {
		return nil, &ChunkError{Index: index, Count: count}
	}
	if count == 1 {
		return join([][]byte{chunk.GetData()})
	}
	parts := a.store(from, chunk)
	if parts == nil {
		return nil, nil
	}
	return join(parts)
}

// store keeps a chunk and returns all chunks of its transfer once they have arrived.
func (a *assembler) store(from string, chunk *gossippb.Chunk) [][]byte {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.transfers == nil {
		a.transfers = make(map[string]*transfer)
	}
	t := a.transfers[from]
	if t == nil || t.id != chunk.GetTransfer() || len(t.parts) != int(chunk.GetCount()) {
		t = &transfer{id: chunk.GetTransfer(), parts: make([][]byte, chunk.GetCount()), missing: int(chunk.GetCount())}
		a.transfers[from] = t
	}
	if t.parts[chunk.GetIndex()] == nil {
		t.parts[chunk.GetIndex()] = bytes.Clone(chunk.GetData())
		t.missing--
	}
	if t.missing > 0 {
		return nil
	}
	delete(a.transfers, from)
	return t.parts
}
