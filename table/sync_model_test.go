package table_test

import (
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/pomelolock/pomelolock/storage/memory"
	"github.com/pomelolock/pomelolock/table"
)

// TestVersionsNeverGoBack checks that the active version of an instance never
// decreases under acceptances, network partitions, storage outages, stale reads and
// restarts.
func TestVersionsNeverGoBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		doc := parseSample(t)
		rapid.Check(noDeadlineTB{t}, func(t *rapid.T) {
			m := &syncModel{fleet: newFleet(4), doc: doc, seen: make(map[*node]uint64)}
			m.fleet.startAll()
			defer m.fleet.stopAll()
			t.Repeat(map[string]func(*rapid.T){
				"accept":  m.accept,
				"cut":     m.cut,
				"store":   m.store,
				"restart": m.restart,
				"wait":    m.wait,
				"":        m.check,
			})
			m.checkConvergence(t)
		})
	})
}

type syncModel struct {
	fleet *fleet
	doc   table.Document
	// accepted is the highest version that an acceptance returned.
	accepted uint64
	seen     map[*node]uint64
}

func (m *syncModel) draw(t *rapid.T, label string) string {
	return rapid.SampledFrom(m.fleet.ids).Draw(t, label)
}

func (m *syncModel) accept(t *rapid.T) {
	n := m.fleet.nodes[m.draw(t, "at")]
	by := table.Acceptance{ID: table.NewAcceptanceID(), Base: n.version()}
	accepted, err := n.sync.Accept(t.Context(), m.doc, by)
	if err == nil {
		m.accepted = max(m.accepted, accepted.Ref.Version)
	}
}

func (m *syncModel) cut(t *rapid.T) {
	a, b := m.draw(t, "a"), m.draw(t, "b")
	if a != b {
		m.fleet.net.SetCut(a, b, rapid.Bool().Draw(t, "cut"))
	}
}

func (m *syncModel) store(t *rapid.T) {
	m.fleet.mem.SetFaults(memory.Faults{
		Down:        rapid.Bool().Draw(t, "down"),
		StaleReads:  rapid.SampledFrom([]int{0, 3, 1000}).Draw(t, "stale"),
		LoseAnswers: rapid.IntRange(0, 2).Draw(t, "lose"),
		DropWrites:  rapid.IntRange(0, 2).Draw(t, "drop"),
		Delay:       rapid.SampledFrom([]time.Duration{0, 10 * time.Millisecond, 3 * time.Second}).Draw(t, "delay"),
	})
}

func (m *syncModel) restart(t *rapid.T) {
	id := m.draw(t, "restart")
	m.fleet.nodes[id].stop()
	m.fleet.start(id)
}

func (m *syncModel) wait(t *rapid.T) {
	time.Sleep(time.Duration(rapid.IntRange(1, 20000).Draw(t, "ms")) * time.Millisecond)
}

func (m *syncModel) check(t *rapid.T) {
	for id, n := range m.fleet.nodes {
		version := n.version()
		if version < m.seen[n] {
			t.Fatalf("%s went back from version %d to %d", id, m.seen[n], version)
		}
		m.seen[n] = version
	}
}

// checkConvergence removes all faults and checks that every instance has the
// latest version active and is ready.
func (m *syncModel) checkConvergence(t *rapid.T) {
	m.fleet.mem.SetFaults(memory.Faults{})
	m.fleet.setAllCut(false)
	time.Sleep(activationLimit)
	m.check(t)
	head, err := m.fleet.store().Load(t.Context())
	if err != nil || head.Version < m.accepted {
		t.Fatalf("store has version %d, want at least the accepted version %d: %v", head.Version, m.accepted, err)
	}
	for id, n := range m.fleet.nodes {
		if n.version() != head.Version {
			t.Fatalf("%s has version %d active, want version %d of the store", id, n.version(), head.Version)
		}
		if err := n.sync.Ready(); head.Version > 0 && err != nil {
			t.Fatalf("%s: %v", id, err)
		}
	}
}
