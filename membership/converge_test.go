package membership_test

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	_ "github.com/pomelolock/pomelolock/internal/fixedseed"
	"github.com/pomelolock/pomelolock/storage"
	"github.com/pomelolock/pomelolock/storage/memory"
)

// step is one random event in a fleet.
type step struct {
	action          int
	instance, other int
	server          int
	flag            bool
	millis          int
}

func drawStep(t *rapid.T) step {
	return step{
		action:   rapid.IntRange(0, 7).Draw(t, "action"),
		instance: rapid.IntRange(0, 4).Draw(t, "instance"),
		other:    rapid.IntRange(0, 4).Draw(t, "other"),
		server:   rapid.IntRange(1, 3).Draw(t, "server"),
		flag:     rapid.Bool().Draw(t, "flag"),
		millis:   rapid.IntRange(0, 5000).Draw(t, "millis"),
	}
}

// TestViewsConverge applies a random sequence of server reports, link cuts,
// crashes and list faults, repairs all links and the list, and requires that all
// views agree afterwards.
func TestViewsConverge(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 1, 25).Draw(rt, "steps")
		var disagreement error
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, "a", "b", "c", "d", "e")
			defer f.stop()
			for _, step := range steps {
				f.apply(step)
			}
			f.list.SetFaults(memory.Faults{})
			for id := range f.trackers {
				f.setIsolated(id, false)
			}
			time.Sleep(settleTime)
			disagreement = f.checkConverged()
		})
		if disagreement != nil {
			rt.Fatal(disagreement)
		}
	})
}

func (f *fleet) apply(s step) {
	ids := slices.Sorted(maps.Keys(f.trackers))
	id, other := ids[s.instance%len(ids)], ids[s.other%len(ids)]
	address := fmt.Sprintf("10.0.0.%d:80", s.server)
	switch s.action {
	case 0:
		f.trackers[id].ReportLeavingServer(address)
	case 1:
		f.trackers[id].ReportServingServer(address)
	case 2:
		f.net.SetCut(id, other, s.flag)
	case 3:
		f.list.SetFaults(memory.Faults{ListDown: s.flag, ListLag: time.Duration(s.millis) * time.Millisecond})
	case 4:
		if len(ids) > 2 {
			f.crash(id)
		}
	case 5:
		_ = f.list.RemoveInstance(context.Background(), id)
	case 6:
		state := storage.StateLive
		if s.flag {
			state = storage.StateLeaving
		}
		_ = f.list.SetInstance(context.Background(), backend("row-"+address, address, state))
	default:
		time.Sleep(time.Duration(s.millis) * time.Millisecond)
	}
}

// checkConverged returns an error unless the view of each running instance
// contains all running instances and all views have the same leaving servers.
func (f *fleet) checkConverged() error {
	ids := slices.Sorted(maps.Keys(f.trackers))
	for _, id := range ids {
		for _, other := range ids {
			if !slices.Contains(f.ids(id), other) {
				return fmt.Errorf("view of %s lacks %s: %v", id, other, f.ids(id))
			}
		}
		for server := range 3 {
			address := fmt.Sprintf("10.0.0.%d:80", server+1)
			if f.trackers[id].LeavingServer(address) != f.trackers[ids[0]].LeavingServer(address) {
				return fmt.Errorf("views of %s and %s differ on whether %s is leaving", id, ids[0], address)
			}
		}
	}
	return nil
}
