package gossip

import (
	"bytes"
	"compress/gzip"
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

func encodeReading(r readings.Reading, now time.Time) *gossippb.Reading {
	return &gossippb.Reading{
		Server:   r.Server,
		Running:  uint32(r.Running),
		Waiting:  uint32(r.Waiting),
		Slots:    uint32(r.Slots),
		Slowness: uint32(r.SlowdownPercent),
		AgeMs:    milliseconds(now.Sub(r.At)),
		Health:   gossippb.Health(r.Health),
	}
}

func decodeReading(r *gossippb.Reading, now time.Time) readings.Reading {
	return readings.Reading{
		Server: r.GetServer(),
		Report: readings.Report{
			Running: int(r.GetRunning()), Waiting: int(r.GetWaiting()),
			Slots: int(r.GetSlots()), SlowdownPercent: int(r.GetSlowness()),
		},
		Health:    readings.Health(r.GetHealth()),
		At:        now.Add(-time.Duration(r.GetAgeMs()) * time.Millisecond),
		HasReport: r.GetSlots() > 0,
	}
}

// split compresses a state and splits it into chunks.
func split(state *gossippb.State) ([][]byte, error) {
	data, err := proto.Marshal(state)
	if err != nil {
		return nil, fmt.Errorf("gossip: encode state: %w", err)
	}
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	if _, err := w.Write(data); err != nil {
		return nil, fmt.Errorf("gossip: compress state: %w", err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("gossip: compress state: %w", err)
	}
	var parts [][]byte
	for rest := packed.Bytes(); len(rest) > 0; {
		n := min(len(rest), chunkBytes)
		parts = append(parts, rest[:n])
		rest = rest[n:]
	}
	return parts, nil
}

// join decodes a state from all of its chunks.
func join(parts [][]byte) (*gossippb.State, error) {
	r, err := gzip.NewReader(bytes.NewReader(bytes.Join(parts, nil)))
	if err != nil {
		return nil, fmt.Errorf("gossip: decompress state: %w", err)
	}
	data, err := io.ReadAll(io.LimitReader(r, maxStateBytes))
	if err != nil {
		return nil, fmt.Errorf("gossip: decompress state: %w", err)
	}
	state := &gossippb.State{}
	if err := proto.Unmarshal(data, state); err != nil {
		return nil, fmt.Errorf("gossip: decode state: %w", err)
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
