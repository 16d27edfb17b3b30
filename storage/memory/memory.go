// Package memory implements the platform services in memory, with faults that can
// be injected at run time. Tests use it directly; the platform stand-in serves it
// over HTTP.
package memory

import (
	"context"
	"maps"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/pomelolock/pomelolock/storage"
)

// Fault is the underlying error of an operation that failed because of [Faults].
type Fault string

func (f Fault) Error() string { return "memory: " + string(f) }

const (
	errDown         Fault = "service down"
	errResponseLost Fault = "response lost"
)

// Faults are the faults that a [Store] simulates.
type Faults struct {
	// Down makes all table and object operations fail without effect.
	Down bool `json:"down"`
	// ListDown makes all instance list operations fail without effect.
	ListDown bool `json:"list_down"`
	// Delay is added to every operation. It is encoded in nanoseconds.
	Delay time.Duration `json:"delay"`
	// LoseAnswers is the number of subsequent table writes that take effect
	// but fail with an unknown outcome.
	LoseAnswers int `json:"lose_answers"`
	// DropWrites is the number of subsequent table writes that have no
	// effect and fail with an unknown outcome.
	DropWrites int `json:"drop_writes"`
	// ListLag is the delay before a change of the instance list becomes
	// visible. It is encoded in nanoseconds.
	ListLag time.Duration `json:"list_lag"`
	// StaleReads is the number of subsequent Get calls that return the
	// previous value and version of the record, or [storage.NotFoundError]
	// if it has none.
	StaleReads int `json:"stale_reads"`
}

// Counts are the numbers of table and object operations that a [Store] has handled.
type Counts struct {
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
}

type listChange struct {
	visibleAt time.Time
	id        string
	// instance is the new row, or nil for a removal.
	instance *storage.Instance
}

// Store implements [storage.Platform] in memory. It is safe for concurrent
// use.
type Store struct {
	mu             sync.Mutex
	faults         Faults
	counts         Counts
	lastVersion    storage.Version
	records        map[string]storage.Record
	previous       map[string]storage.Record
	objects        map[string][]byte
	rows           map[string]storage.Instance
	pendingChanges []listChange
}

var _ storage.Platform = (*Store)(nil)

// New returns an empty store without faults.
func New() *Store {
	return &Store{
		records:  make(map[string]storage.Record),
		previous: make(map[string]storage.Record),
		objects:  make(map[string][]byte),
		rows:     make(map[string]storage.Instance),
	}
}

// SetFaults replaces the active faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the active faults.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Counts returns the numbers of table and object operations handled so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// applyDelay waits for the delay in Faults. It fails if ctx is done first.
func (s *Store) applyDelay(ctx context.Context, op string) error {
	s.mu.Lock()
	delay := s.faults.Delay
	s.mu.Unlock()
	if delay <= 0 {
		return nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return &storage.UnavailableError{Op: op, Err: ctx.Err()}
	}
}

func (s *Store) checkAvailable(op string) error {
	if s.faults.Down {
		return &storage.UnavailableError{Op: op, Err: errDown}
	}
	return nil
}

// Get implements [storage.TableService].
func (s *Store) Get(ctx context.Context, key string) (storage.Record, error) {
	if err := s.applyDelay(ctx, "get"); err != nil {
		return storage.Record{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkAvailable("get"); err != nil {
		return storage.Record{}, err
	}
	s.counts.Reads++
	record, ok := s.records[key]
	if s.faults.StaleReads > 0 {
		s.faults.StaleReads--
		record, ok = s.previous[key]
	}
	if !ok {
		return storage.Record{}, &storage.NotFoundError{Key: key}
	}
	record.Value = slices.Clone(record.Value)
	return record, nil
}

// write calls apply if the version condition holds, and simulates the write
// faults.
func (s *Store) write(ctx context.Context, op, key string, expect storage.Version, apply func()) error {
	if err := s.applyDelay(ctx, op); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkAvailable(op); err != nil {
		return err
	}
	s.counts.Writes++
	if s.faults.DropWrites > 0 {
		s.faults.DropWrites--
		return &storage.UnknownOutcomeError{Op: op, Err: errResponseLost}
	}
	current := s.records[key].Version
	if current != expect {
		return &storage.ConflictError{Key: key, Expected: expect, Present: current}
	}
	if record, ok := s.records[key]; ok {
		s.previous[key] = record
	}
	apply()
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return &storage.UnknownOutcomeError{Op: op, Err: errResponseLost}
	}
	return nil
}

// Put implements [storage.TableService].
func (s *Store) Put(ctx context.Context, key string, value []byte, expect storage.Version) (storage.Version, error) {
	var version storage.Version
	err := s.write(ctx, "put", key, expect, func() {
		s.lastVersion++
		version = s.lastVersion
		s.records[key] = storage.Record{Key: key, Value: slices.Clone(value), Version: version}
	})
	if err != nil {
		return storage.Absent, err
	}
	return version, nil
}

// Delete implements [storage.TableService].
func (s *Store) Delete(ctx context.Context, key string, expect storage.Version) error {
	return s.write(ctx, "delete", key, expect, func() {
		delete(s.records, key)
	})
}

// Scan implements [storage.TableService].
func (s *Store) Scan(ctx context.Context, prefix, after string, limit int) ([]storage.Record, error) {
	if err := s.applyDelay(ctx, "scan"); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkAvailable("scan"); err != nil {
		return nil, err
	}
	s.counts.Reads++
	var found []storage.Record
	for key, record := range s.records {
		if strings.HasPrefix(key, prefix) && key > after {
			record.Value = slices.Clone(record.Value)
			found = append(found, record)
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	if limit > 0 && len(found) > limit {
		found = found[:limit]
	}
	return found, nil
}

// PutObject implements [storage.ObjectStore].
func (s *Store) PutObject(ctx context.Context, name string, data []byte) error {
	if err := s.applyDelay(ctx, "put object"); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkAvailable("put object"); err != nil {
		return err
	}
	s.counts.Writes++
	s.objects[name] = slices.Clone(data)
	return nil
}

// GetObject implements [storage.ObjectStore].
func (s *Store) GetObject(ctx context.Context, name string) ([]byte, error) {
	if err := s.applyDelay(ctx, "get object"); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkAvailable("get object"); err != nil {
		return nil, err
	}
	s.counts.Reads++
	data, ok := s.objects[name]
	if !ok {
		return nil, &storage.NotFoundError{Key: name}
	}
	return slices.Clone(data), nil
}

// ListObjects implements [storage.ObjectStore].
func (s *Store) ListObjects(ctx context.Context, prefix string) ([]string, error) {
	if err := s.applyDelay(ctx, "list objects"); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkAvailable("list objects"); err != nil {
		return nil, err
	}
	s.counts.Reads++
	var names []string
	for name := range s.objects {
		if strings.HasPrefix(name, prefix) {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names, nil
}

// DeleteObject implements [storage.ObjectStore].
func (s *Store) DeleteObject(ctx context.Context, name string) error {
	if err := s.applyDelay(ctx, "delete object"); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkAvailable("delete object"); err != nil {
		return err
	}
	s.counts.Writes++
	delete(s.objects, name)
	return nil
}

// ListInstances implements [storage.InstanceList].
func (s *Store) ListInstances(ctx context.Context) ([]storage.Instance, error) {
	if err := s.applyDelay(ctx, "list instances"); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.ListDown {
		return nil, &storage.UnavailableError{Op: "list instances", Err: errDown}
	}
	s.applyVisibleChanges(time.Now())
	rows := slices.Collect(maps.Values(s.rows))
	sort.Slice(rows, func(i, j int) bool { return rows[i].ID < rows[j].ID })
	return rows, nil
}

func (s *Store) applyVisibleChanges(now time.Time) {
	for len(s.pendingChanges) > 0 && !s.pendingChanges[0].visibleAt.After(now) {
		change := s.pendingChanges[0]
		s.pendingChanges = s.pendingChanges[1:]
		if change.instance == nil {
			delete(s.rows, change.id)
			continue
		}
		s.rows[change.id] = *change.instance
	}
}

func (s *Store) queueChange(ctx context.Context, change listChange) error {
	if err := s.applyDelay(ctx, "change instance"); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.ListDown {
		return &storage.UnavailableError{Op: "change instance", Err: errDown}
	}
	change.visibleAt = time.Now().Add(s.faults.ListLag)
	s.pendingChanges = append(s.pendingChanges, change)
	return nil
}

// SetInstance implements [storage.InstanceList].
func (s *Store) SetInstance(ctx context.Context, instance storage.Instance) error {
	return s.queueChange(ctx, listChange{id: instance.ID, instance: &instance})
}

// RemoveInstance implements [storage.InstanceList].
func (s *Store) RemoveInstance(ctx context.Context, id string) error {
	return s.queueChange(ctx, listChange{id: id})
}
