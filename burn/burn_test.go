package burn_test

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/pomelolock/pomelolock/burn"
	_ "github.com/pomelolock/pomelolock/internal/fixedseed"
	"github.com/pomelolock/pomelolock/storage"
	"github.com/pomelolock/pomelolock/storage/memory"
)

var objectives = []burn.Objective{{Service: "orders", Percent: 99, Latency: 100 * time.Millisecond}}

type view struct {
	self string
	ids  []string
}

func (v view) Self() storage.Instance { return storage.Instance{ID: v.self} }

func (v view) Entries() []storage.Instance {
	var entries []storage.Instance
	for _, id := range v.ids {
		entries = append(entries, storage.Instance{ID: id})
	}
	return entries
}

func (v view) LeavingServer(string) bool { return false }

func (v view) Changed() <-chan struct{} { return nil }

// instance is a process that records requests and writes its counts.
type instance struct {
	recorder *burn.Recorder
	stop     func()
}

func start(mem *memory.Store, id string) *instance {
	r := burn.NewRecorder()
	r.SetObjectives(objectives)
	k := burn.NewKeeper(burn.Options{Recorder: r, Objects: mem, View: view{id, []string{"a", "b"}}})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { k.Run(ctx) })
	return &instance{recorder: r, stop: func() { cancel(); wg.Wait() }}
}

func (i *instance) record(good, late, failed int) {
	for range good {
		i.recorder.Record("orders", true, time.Millisecond)
	}
	for range late {
		i.recorder.Record("orders", true, time.Second)
	}
	for range failed {
		i.recorder.Record("orders", false, time.Millisecond)
	}
}

// report returns the report of the only service.
func report(t *testing.T, mem *memory.Store) burn.ServiceReport {
	t.Helper()
	r, err := burn.BuildReport(t.Context(), mem, objectives, time.Now())
	if err != nil || r.UnreadableObjects > 0 || len(r.Services) != 1 {
		t.Fatalf("report %+v: %v", r, err)
	}
	return r.Services[0]
}

func TestCountsSurviveRestartsAndMerging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		mem := memory.New()
		a, b := start(mem, "a"), start(mem, "b")
		a.record(90, 5, 5)
		b.record(100, 0, 0)
		time.Sleep(10 * time.Minute)
		a.stop()
		a = start(mem, "a") // restarted under the same ID
		a.record(100, 0, 0)
		time.Sleep(10 * time.Minute)
		b.stop()
		b = start(mem, "b2")
		want := burn.Counts{Total: 300, Complete: 295, Good: 290}
		time.Sleep(3 * time.Minute)
		g.Expect(report(t, mem).Windows[1].Counts).To(Equal(want))
		before, err := mem.ListObjects(t.Context(), "")
		g.Expect(err).NotTo(HaveOccurred())
		a.record(10, 0, 0)
		want.Total, want.Complete, want.Good = 310, 305, 300
		a.stop()
		b.stop()
		a, b = start(mem, "a"), start(mem, "b")
		for range 40 {
			time.Sleep(15 * time.Minute) // the hours are merged during this time
			g.Expect(report(t, mem).Windows[3].Counts).To(Equal(want))
		}
		after, err := mem.ListObjects(t.Context(), before[0][:len("burn/0000000000")])
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(after).To(HaveLen(1), "objects of the first hour after merging")
		a.stop()
		b.stop()
		time.Sleep(burn.Retention)
		a, b = start(mem, "a"), start(mem, "b")
		time.Sleep(time.Hour)
		names, err := mem.ListObjects(t.Context(), before[0][:len("burn/0000000000")])
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(names).To(BeEmpty(), "expired")
		a.stop()
		b.stop()
	})
}

func TestUnmeasuredMinutesDoNotCountAsGood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		mem := memory.New()
		unmeasured := report(t, mem).Windows[0]
		g.Expect(unmeasured.Rate).To(BeNil())
		g.Expect(unmeasured.Missing).To(Equal(5))
		g.Expect(unmeasured.RateText()).To(Equal("not measured"))
		a, b := start(mem, "a"), start(mem, "b")
		a.record(50, 50, 0)
		time.Sleep(30 * time.Minute)
		// a stops while the store is down, so its last counts are lost.
		mem.SetFaults(memory.Faults{Down: true})
		a.stop()
		time.Sleep(2 * time.Minute)
		mem.SetFaults(memory.Faults{})
		time.Sleep(10 * time.Minute)
		hour := report(t, mem).Windows[1]
		g.Expect(hour.Rate).To(HaveValue(BeNumerically("~", 50, 0.001)))
		g.Expect(hour.Partial).To(BeNumerically(">=", 1))
		g.Expect(hour.Measured + hour.Partial + hour.Missing).To(Equal(60))
		b.stop()
		time.Sleep(10 * time.Minute)
		g.Expect(report(t, mem).Windows[0].Missing).To(Equal(5))
	})
}

func TestCountsOfStoreOutageAreWrittenAfterIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		mem := memory.New()
		a := start(mem, "a")
		time.Sleep(5 * time.Minute)
		mem.SetFaults(memory.Faults{Down: true})
		for range 4 {
			a.record(10, 0, 1)
			time.Sleep(time.Hour)
		}
		mem.SetFaults(memory.Faults{})
		time.Sleep(4 * time.Minute)
		window := report(t, mem).Windows[2]
		g.Expect(window.Counts).To(Equal(burn.Counts{Total: 44, Complete: 40, Good: 40}))
		g.Expect(window.Partial).To(Equal(0))
		a.stop()
	})
}

func TestAlarmNeedsBothWindows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		mem := memory.New()
		a := start(mem, "a")
		time.Sleep(5 * time.Minute)
		a.record(50, 0, 50)
		time.Sleep(4 * time.Minute)
		g.Expect(report(t, mem).Alarm).To(Equal(burn.AlarmPage))
		time.Sleep(20 * time.Minute)
		idle := report(t, mem)
		g.Expect(idle.Windows[0].RateText()).To(Equal("no requests"))
		time.Sleep(7 * time.Hour)
		g.Expect(report(t, mem).Alarm).To(Equal(burn.AlarmNone))
		a.stop()
	})
}

// TestFleetCountsEqualRecordedCounts restarts instances at random and checks
// that no request is lost or counted twice.
func TestFleetCountsEqualRecordedCounts(t *testing.T) {
	synctest.Test(t, func(outer *testing.T) {
		rapid.Check(bubbleTB{outer}, func(t *rapid.T) {
			mem := memory.New()
			ids := []string{"a", "b"}
			running := map[string]*instance{}
			for _, id := range ids {
				running[id] = start(mem, id)
			}
			var want burn.Counts
			for range rapid.IntRange(1, 8).Draw(t, "steps") {
				id := rapid.SampledFrom(ids).Draw(t, "id")
				if rapid.Bool().Draw(t, "restart") {
					running[id].stop()
					running[id] = start(mem, id)
				}
				good, late := rapid.IntRange(0, 5).Draw(t, "good"), rapid.IntRange(0, 5).Draw(t, "late")
				running[id].record(good, late, 1)
				want.Total += uint64(good + late + 1)
				want.Complete += uint64(good + late)
				want.Good += uint64(good)
				time.Sleep(time.Duration(rapid.IntRange(0, 30).Draw(t, "minutes")) * time.Minute)
			}
			time.Sleep(4 * time.Minute)
			window := report(outer, mem).Windows[3]
			for _, id := range ids {
				running[id].stop()
			}
			if window.Counts != want {
				t.Fatalf("fleet counts %+v, recorded %+v", window.Counts, want)
			}
		})
	})
}

// TestCollectionBesideRecordLosesNothing collects all the time while requests are
// recorded: each request is counted once, in all of its counts.
func TestCollectionBesideRecordLosesNothing(t *testing.T) {
	g := NewWithT(t)
	const requests = 200_000
	r := burn.NewRecorder()
	r.SetObjectives(objectives)
	service, latency := objectives[0].Service, objectives[0].Latency
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range requests {
			r.Record(service, true, latency)
		}
	}()
	for collecting := true; collecting; {
		select {
		case <-done:
			collecting = false
		default:
		}
		r.Collect()
	}
	g.Expect(r.Recorded(service)).To(Equal(burn.Counts{Total: requests, Complete: requests, Good: requests}))
}

// bubbleTB hides the Deadline method of testing.T, which must not be called in a
// synctest bubble and which rapid would use.
type bubbleTB struct{ rapid.TB }

func TestReportIsRendered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		mem := memory.New()
		a := start(mem, "a")
		a.record(98, 1, 1)
		time.Sleep(2 * time.Hour)
		r, err := burn.BuildReport(t.Context(), mem, objectives, time.Now())
		g.Expect(err).NotTo(HaveOccurred())
		var text, html bytes.Buffer
		g.Expect(r.WriteText(&text)).To(Succeed())
		g.Expect(text.String()).To(ContainSubstring("99% in 100ms"))
		g.Expect(r.WriteHTML(&html)).To(Succeed())
		g.Expect(html.String()).To(ContainSubstring("data:image/png;base64,iVBOR"))
		a.stop()
	})
}

func BenchmarkRecord(b *testing.B) {
	r := burn.NewRecorder()
	r.SetObjectives(objectives)
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			r.Record("orders", true, time.Millisecond)
		}
	})
}

// BenchmarkHourObject measures the encoded size of the object of one process that
// served all services in every minute of an hour, by the number of services.
func BenchmarkHourObject(b *testing.B) {
	for _, services := range []int{3, 12, 37} {
		b.Run(fmt.Sprint(services), func(b *testing.B) {
			var size int
			for b.Loop() {
				size = burn.FullHourBytes(services)
			}
			b.ReportMetric(float64(size), "object-B")
		})
	}
}
