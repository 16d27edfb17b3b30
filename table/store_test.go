package table_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "github.com/pomelolock/pomelolock/internal/fixedseed"
	"github.com/pomelolock/pomelolock/storage"
	"github.com/pomelolock/pomelolock/storage/memory"
	"github.com/pomelolock/pomelolock/table"
)

func withWeight(doc table.Document, weight int) table.Document {
	doc.Services = append([]table.Service(nil), doc.Services...)
	doc.Services[0].Weight = weight
	return doc
}

func TestTwoOperatorsAtOnceGiveOneConflictWithDiff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		mem := memory.New()
		store := table.NewStore(mem, mem)
		base, err := store.Accept(t.Context(), parseSample(t), 0, "alena", "first")
		g.Expect(err).NotTo(HaveOccurred())
		errs := make(chan error, 2)
		for _, weight := range []int{5, 6} {
			go func() {
				_, err := store.Accept(t.Context(), withWeight(base, weight), 1, fmt.Sprint("op-", weight), "")
				errs <- err
			}()
		}
		first, second := <-errs, <-errs
		if first != nil {
			first, second = second, first
		}
		g.Expect(first).NotTo(HaveOccurred())
		var conflict *table.ConflictError
		g.Expect(errors.As(second, &conflict)).To(BeTrue(), "%v", second)
		g.Expect(conflict.Present.Version).To(Equal(uint64(2)))
		g.Expect(conflict.Theirs).To(HaveLen(1))
		g.Expect(conflict.Theirs[0].Old).To(Equal("1"))
		g.Expect(conflict.Changes).To(HaveLen(1))
		g.Expect(conflict.Changes[0].Old).To(Equal(conflict.Theirs[0].New))
	})
}

func TestLostResponseIsResolvedByReadingBack(t *testing.T) {
	cases := map[string]memory.Faults{
		"write applied, response lost": {LoseAnswers: 1},
		"write dropped, response lost": {DropWrites: 2},
		"stale read after":             {LoseAnswers: 1, StaleReads: 3},
		"dropped, then lost":           {DropWrites: 1, LoseAnswers: 1},
		"stale before and dropped":     {DropWrites: 1, StaleReads: 5},
	}
	for name, faults := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				mem := memory.New()
				store := table.NewStore(mem, mem)
				_, err := store.Accept(t.Context(), parseSample(t), 0, "alena", "first")
				g.Expect(err).NotTo(HaveOccurred())
				mem.SetFaults(faults)
				doc, err := store.Accept(t.Context(), withWeight(parseSample(t), 7), 1, "bo", "second")
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(doc.Version).To(Equal(uint64(2)))
				mem.SetFaults(memory.Faults{})
				history, err := store.History(t.Context(), 10)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(history).To(HaveLen(2))
				g.Expect(history[0].Author).To(Equal("bo"))
			})
		})
	}
}

// failingWrites fails all writes after the first remaining ones. It simulates a
// crash of the accepting process.
type failingWrites struct {
	*memory.Store
	remaining int
}

func (c *failingWrites) consume() error {
	if c.remaining == 0 {
		return &storage.UnavailableError{Op: "write", Err: context.Canceled}
	}
	c.remaining--
	return nil
}

func (c *failingWrites) PutObject(ctx context.Context, name string, data []byte) error {
	if err := c.consume(); err != nil {
		return err
	}
	return c.Store.PutObject(ctx, name, data)
}

func (c *failingWrites) Put(ctx context.Context, key string, value []byte, expect storage.Version) (storage.Version, error) {
	if err := c.consume(); err != nil {
		return 0, err
	}
	return c.Store.Put(ctx, key, value, expect)
}

func TestCrashBetweenTheWritesLosesNothing(t *testing.T) {
	for left := range 2 {
		g := NewWithT(t)
		mem := memory.New()
		store := table.NewStore(mem, mem)
		_, err := store.Accept(t.Context(), parseSample(t), 0, "alena", "first")
		g.Expect(err).NotTo(HaveOccurred())
		crashing := &failingWrites{Store: mem, remaining: left}
		_, err = table.NewStore(crashing, crashing).Accept(t.Context(), withWeight(parseSample(t), 7), 1, "bo", "crashes")
		g.Expect(err).To(HaveOccurred())
		doc, err := store.Accept(t.Context(), withWeight(parseSample(t), 8), 1, "cyril", "second")
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(doc.Version).To(Equal(uint64(2)))
		first, err := store.Version(t.Context(), 1)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(first.Author).To(Equal("alena"))
		history, err := store.History(t.Context(), 10)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(history).To(HaveLen(2))
		g.Expect(history[0].Author).To(Equal("cyril"))
		g.Expect(history[0].Changes).To(HaveLen(1))
	}
}

func TestOldVersionsAreDeletedAndTheHistoryEndsThere(t *testing.T) {
	g := NewWithT(t)
	mem := memory.New()
	store := table.NewStore(mem, mem)
	for base := range uint64(5) {
		_, err := store.Accept(t.Context(), withWeight(parseSample(t), int(base)+1), base, "alena", "")
		g.Expect(err).NotTo(HaveOccurred())
	}
	store.Prune(t.Context(), table.MaxHistoryVersions+3)
	history, err := store.History(t.Context(), 10)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(history).To(HaveLen(3))
	g.Expect(history[2].Changes).To(BeNil())
	_, err = store.Version(t.Context(), 2)
	var missing *storage.NotFoundError
	g.Expect(errors.As(err, &missing)).To(BeTrue(), "%v", err)
}

// TestAcceptedVersionsFormOneChain runs acceptances with stale bases, repeated
// acceptances and storage faults, and compares their results with the history.
func TestAcceptedVersionsFormOneChain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		base := parseSample(t)
		rapid.Check(noDeadlineTB{t}, func(t *rapid.T) {
			mem := memory.New()
			m := &chainModel{mem: mem, store: table.NewStore(mem, mem), doc: base}
			t.Repeat(map[string]func(*rapid.T){
				"accept": m.accept,
				"faults": m.faults,
				"":       m.check,
			})
		})
	})
}

// noDeadlineTB hides the Deadline method of the test, which must not be called in a
// synctest bubble.
type noDeadlineTB struct{ rapid.TB }

type chainModel struct {
	mem   *memory.Store
	store *table.Store
	doc   table.Document
	// latest is the highest version that an acceptance returned.
	latest          uint64
	count           int
	rejected        map[string]bool
	accepted        map[string]uint64
	unknownOutcomes []table.Acceptance
}

func (m *chainModel) faults(t *rapid.T) {
	m.mem.SetFaults(memory.Faults{
		Down:        rapid.Bool().Draw(t, "down"),
		LoseAnswers: rapid.IntRange(0, 3).Draw(t, "lose"),
		DropWrites:  rapid.IntRange(0, 3).Draw(t, "drop"),
		StaleReads:  rapid.IntRange(0, 25).Draw(t, "stale"),
	})
}

func (m *chainModel) accept(t *rapid.T) {
	m.count++
	by := table.Acceptance{ID: fmt.Sprint("id-", m.count), Base: m.latest, Author: fmt.Sprint("id-", m.count)}
	if back := rapid.Uint64Range(0, 2).Draw(t, "back"); back <= by.Base {
		by.Base -= back
	}
	if len(m.unknownOutcomes) > 0 && rapid.Bool().Draw(t, "again") {
		by, m.unknownOutcomes = m.unknownOutcomes[0], m.unknownOutcomes[1:]
	}
	accepted, err := m.store.AcceptAs(t.Context(), withWeight(m.doc, 1+m.count%900), by)
	var conflict *table.ConflictError
	var unsettled *table.UnknownOutcomeError
	switch {
	case err == nil:
		m.record(t, by, accepted.Document)
	case errors.As(err, &conflict):
		m.reject(by.ID)
	case errors.As(err, &unsettled):
		m.unknownOutcomes = append(m.unknownOutcomes, by)
	}
}

func (m *chainModel) reject(id string) {
	if m.rejected == nil {
		m.rejected = make(map[string]bool)
	}
	m.rejected[id] = true
}

func (m *chainModel) record(t *rapid.T, by table.Acceptance, doc table.Document) {
	if m.accepted == nil {
		m.accepted = make(map[string]uint64)
	}
	if doc.Author != by.ID || doc.Version != by.Base+1 {
		t.Fatalf("accepted %s at base %d, got version %d of %s", by.ID, by.Base, doc.Version, doc.Author)
	}
	m.accepted[by.ID] = doc.Version
	m.latest = max(m.latest, doc.Version)
}

func (m *chainModel) check(t *rapid.T) {
	saved := m.mem.Faults()
	m.mem.SetFaults(memory.Faults{})
	defer m.mem.SetFaults(saved)
	history, err := m.store.History(t.Context(), 1000)
	if err != nil {
		t.Fatal(err)
	}
	found := make(map[string]uint64)
	for i, entry := range history {
		if want := uint64(len(history) - i); entry.Version != want {
			t.Fatalf("history has version %d, want %d", entry.Version, want)
		}
		if m.rejected[entry.Author] {
			t.Fatalf("version %d is in the history, but the acceptance by %s was rejected", entry.Version, entry.Author)
		}
		found[entry.Author] = entry.Version
	}
	if len(found) != len(history) {
		t.Fatal("one acceptance occurs twice in the history")
	}
	for id, version := range m.accepted {
		if found[id] != version {
			t.Fatalf("accepted version %d of %s is not in the history", version, id)
		}
	}
}
