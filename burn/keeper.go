package burn

import (
	"context"
	"crypto/rand"
	"log/slog"
	mathrand "math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/pomelolock/pomelolock/burn/burnpb"
	"github.com/pomelolock/pomelolock/membership"
	"github.com/pomelolock/pomelolock/storage"
	"github.com/pomelolock/pomelolock/table"
)

const (
	// collectEvery is the pause between two collections of counts.
	collectEvery = 10 * time.Second
	// flushEvery is the mean pause between two writes to the store.
	flushEvery = time.Minute
	// tidyEvery is the pause between two rounds of merging and expiry.
	tidyEvery = 20 * time.Minute
	// mergeAfter is the age in hours at which an hour is merged; by then no
	// process holds counts of it that wait for the store.
	mergeAfter = hoursInMemory + 1
	// storeTimeout bounds one call to the store.
	storeTimeout = 5 * time.Second
	// reportEvery is the age up to which a report is answered again.
	reportEvery = 30 * time.Second
	// processBytes is the length of a process's random name.
	processBytes = 8
)

// Options configures a [Keeper].
type Options struct {
	Recorder *Recorder
	Objects  storage.ObjectStore
	View     membership.View
	// Current gives the objectives; it may be nil if they are set directly.
	Current *table.Current
	// Logger receives one event a line; nil discards them.
	Logger *slog.Logger
}

// Keeper writes what a [Recorder] counted to the object store.
type Keeper struct {
	opts    Options
	log     *slog.Logger
	process string
	// failing tells that the last write failed; it keeps logs short.
	failing bool
	// merged holds the hours that had a merged object in the last round.
	merged map[int64]bool

	reportMu sync.Mutex
	report   Report
	reported time.Time
}

// NewKeeper returns a keeper for one process.
func NewKeeper(opts Options) *Keeper {
	k := &Keeper{opts: opts, log: opts.Logger, process: strings.ToLower(rand.Text()[:processBytes])}
	if k.log == nil {
		k.log = slog.New(slog.DiscardHandler)
	}
	return k
}

// ObjectivesOf returns the objectives of a table.
func ObjectivesOf(doc table.Document) []Objective {
	var objectives []Objective
	for _, service := range doc.Services {
		objectives = append(objectives, Objective{
			Service: service.Name,
			Percent: service.ObjectivePercent,
			Latency: time.Duration(service.ObjectiveLatencyMS) * time.Millisecond,
		})
	}
	return objectives
}

// Run collects and writes until ctx ends. It then writes once more, within
// storeTimeout, and marks that the process ended.
func (k *Keeper) Run(ctx context.Context) {
	collect := time.NewTicker(collectEvery)
	defer collect.Stop()
	flush := time.NewTimer(jitter(flushEvery))
	defer flush.Stop()
	tidy := time.NewTimer(jitter(tidyEvery))
	defer tidy.Stop()
	k.opts.Recorder.collect(time.Now())
	for {
		changed := k.useObjectives()
		select {
		case now := <-collect.C:
			k.opts.Recorder.collect(now)
		case <-flush.C:
			k.flush(ctx)
			flush.Reset(jitter(flushEvery))
		case <-tidy.C:
			k.tidy(ctx)
			tidy.Reset(jitter(tidyEvery))
		case <-changed:
		case <-ctx.Done():
			k.end(ctx)
			return
		}
	}
}

func jitter(d time.Duration) time.Duration { return d*3/4 + mathrand.N(d/2+1) }

// useObjectives takes the objectives of the table in force and returns the
// channel that tells of the next one.
func (k *Keeper) useObjectives() <-chan struct{} {
	if k.opts.Current == nil {
		return nil
	}
	changed := k.opts.Current.Changed()
	if snapshot := k.opts.Current.Load(); snapshot != nil {
		k.opts.Recorder.SetObjectives(ObjectivesOf(snapshot.Document()))
	}
	return changed
}

func (k *Keeper) end(ctx context.Context) {
	now := time.Now()
	k.opts.Recorder.collect(now)
	k.opts.Recorder.markEnded(now)
	last, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer cancel()
	k.write(last)
}

func (r *Recorder) markEnded(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hour(minuteOf(now) / minutesPerHour).ended = true
}

func (k *Keeper) flush(ctx context.Context) {
	k.opts.Recorder.collect(time.Now())
	bounded, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	k.write(bounded)
}

// write stores all hours that changed. Those that fail are written next time.
func (k *Keeper) write(ctx context.Context) {
	for _, hour := range k.opts.Recorder.dirtyHours(k.opts.View.Self().ID, k.process) {
		data, err := encodeHour(hour)
		if err == nil {
			name := objectName(hour.GetHour(), sourceName(hour.GetSources()[0]))
			err = k.opts.Objects.PutObject(ctx, name, data)
		}
		if err != nil {
			k.opts.Recorder.markDirty(hour.GetHour())
		}
		k.logWrite(err)
	}
}

// logWrite logs when writing begins to fail and when it works again.
func (k *Keeper) logWrite(err error) {
	if err != nil && !k.failing {
		k.log.Warn("burn_write_failed", "error", err)
	}
	if err == nil && k.failing {
		k.log.Info("burn_write_recovered")
	}
	k.failing = err != nil
}

func (r *Recorder) dirtyHours(instanceID, process string) []*burnpb.Hour {
	r.mu.Lock()
	defer r.mu.Unlock()
	var dirty []*burnpb.Hour
	for hour, counts := range r.hours {
		if counts.dirty {
			counts.dirty = false
			dirty = append(dirty, counts.message(hour, instanceID, process))
		}
	}
	return dirty
}

func (r *Recorder) markDirty(hour int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if counts := r.hours[hour]; counts != nil {
		counts.dirty = true
	}
}

// Burn returns the report of the fleet for the table in force. It is built at
// most every reportEvery, since it reads the objects of three days.
func (k *Keeper) Burn(ctx context.Context) (Report, error) {
	var objectives []Objective
	if snapshot := k.opts.Current.Load(); snapshot != nil {
		objectives = ObjectivesOf(snapshot.Document())
	}
	k.reportMu.Lock()
	defer k.reportMu.Unlock()
	now := time.Now()
	if !k.reported.IsZero() && now.Sub(k.reported) < reportEvery {
		return k.report, nil
	}
	report, err := BuildReport(ctx, k.opts.Objects, objectives, now)
	if err != nil {
		return Report{}, err
	}
	k.report, k.reported = report, now
	return report, nil
}
