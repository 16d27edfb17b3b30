package claim

import (
	"context"
	"testing"
	"testing/synctest"

	"pgregory.net/rapid"

	"github.com/pomelolock/pomelolock/peer/peertest"
	"github.com/pomelolock/pomelolock/storage"
	"github.com/pomelolock/pomelolock/storage/memory"
	"github.com/pomelolock/pomelolock/table"
)

// interruptedTables runs a function once before the next write.
type interruptedTables struct {
	storage.TableService
	interrupt func()
}

func (s *interruptedTables) Put(ctx context.Context, key string, value []byte, expect storage.Version) (storage.Version, error) {
	if interrupt := s.interrupt; interrupt != nil {
		s.interrupt = nil
		interrupt()
	}
	return s.TableService.Put(ctx, key, value, expect)
}

// writers are instances that write to one partition, one step at a time.
type writers struct {
	opts            Options
	tables          *interruptedTables
	store           *memory.Store
	partitionStores []*partitionStore
	// finishedMerges holds, for each writer, the merged segment that it has
	// not yet added to the head.
	finishedMerges []*mergedSegment
	// acknowledged lists the keys of the appends that succeeded.
	acknowledged []keyID
	claims       int
}

func newWriters(n int) *writers {
	w := &writers{store: memory.New(), finishedMerges: make([]*mergedSegment, n)}
	w.tables = &interruptedTables{TableService: w.store}
	w.opts = Options{
		Tables: w.tables, Objects: w.store, Current: table.NewCurrent(),
		Messenger: peertest.NewNetwork(0).Join("a"), TailBytes: 100,
	}.withDefaults()
	for range n {
		w.partitionStores = append(w.partitionStores, w.newStore())
	}
	return w
}

func (w *writers) newStore() *partitionStore { return newPartitionStore(1, &w.opts, &counters{}) }

// append makes a writer append claims of new keys to the head that it knows.
func (w *writers) append(i int) {
	s := w.partitionStores[i]
	if err := s.load(context.Background()); err != nil {
		return
	}
	p := newPlan(s.index, s.nowMS(), w.opts.retentionMS())
	var keys []keyID
	for range 2 {
		w.claims++
		c := benchClaim(w.claims)
		p.claim(c)
		keys = append(keys, keyID(c.GetKey()))
	}
	if _, err := s.append(context.Background(), p); err != nil {
		s.stale = true
		return
	}
	w.acknowledged = append(w.acknowledged, keys...)
	s.deleteUnused(context.Background())
}

func (w *writers) startMerge(i int) {
	s := w.partitionStores[i]
	if due := mergeCandidates(s.head.GetSegments()); due != nil {
		w.finishedMerges[i], _ = s.merge(context.Background(), s.head.GetSequence(), due, 1, 1<<40)
	}
}

func (w *writers) check(t *rapid.T) {
	faults := w.store.Faults()
	w.store.SetFaults(memory.Faults{})
	defer w.store.SetFaults(faults)
	s := w.newStore()
	if err := s.load(context.Background()); err != nil {
		t.Fatalf("load: %v", err)
	}
	for n, id := range w.acknowledged {
		if _, ok := s.index.lookup(id); !ok {
			t.Fatalf("acknowledged key %d of %d is lost", n, len(w.acknowledged))
		}
	}
}

func TestSegmentsAreNeverLostBetweenWriters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// The embedding hides Deadline, which must not be called in a
		// synctest bubble.
		rapid.Check(struct{ testing.TB }{t}, checkSegments)
	})
}

func checkSegments(t *rapid.T) {
	w := newWriters(3)
	pick := func() int { return rapid.IntRange(0, 2).Draw(t, "writer") }
	step := map[string]func(i int){
		"append":      w.append,
		"read":        func(i int) { w.partitionStores[i].stale = true; _ = w.partitionStores[i].load(context.Background()) },
		"start merge": w.startMerge,
		"take merge":  func(i int) { w.partitionStores[i].merged, w.finishedMerges[i] = w.finishedMerges[i], nil },
		"sweep":       func(i int) { w.partitionStores[i].sweep(context.Background()) },
		"crash":       func(i int) { w.partitionStores[i], w.finishedMerges[i] = w.newStore(), nil },
	}
	names := []string{"append", "append", "read", "start merge", "take merge", "sweep", "crash"}
	action := func() func() {
		name, i := rapid.SampledFrom(names).Draw(t, "step"), pick()
		return func() { step[name](i) }
	}
	for range rapid.IntRange(0, 20).Draw(t, "earlier appends") {
		w.append(0)
	}
	t.Repeat(map[string]func(*rapid.T){
		"step": func(*rapid.T) { action()() },
		"many appends": func(*rapid.T) {
			i := pick()
			for range 9 {
				w.append(i)
			}
		},
		"interrupted append": func(*rapid.T) {
			first, second := action(), action()
			w.tables.interrupt = func() { first(); second() }
			w.append(pick())
			w.tables.interrupt = nil
		},
		"lose answer": func(*rapid.T) { w.store.SetFaults(memory.Faults{LoseAnswers: 1}) },
		"drop write":  func(*rapid.T) { w.store.SetFaults(memory.Faults{DropWrites: 1}) },
		"stale read":  func(*rapid.T) { w.store.SetFaults(memory.Faults{StaleReads: 1}) },
		"":            w.check,
	})
}
