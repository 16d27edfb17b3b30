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
	// collectInterval is the time between two collections of counts. It must be
	// less than a minute, see Recorder.collect.
	collectInterval = 10 * time.Second
	// flushInterval is the mean time between two writes to the store.
	flushInterval = time.Minute
	// tidyInterval is the mean time between two rounds of merging and deletion.
	tidyInterval = 20 * time.Minute
	// mergeAgeHours is the age at which the objects of an hour are merged. By
	// then no process holds counts of the hour that are still to be written.
	mergeAgeHours = hoursInMemory + 1
	// storeTimeout bounds one call to the store.
	storeTimeout = 5 * time.Second
	// reportMaxAge is the age up to which a report is served from the cache.
	reportMaxAge = 30 * time.Second
	// processNameLength is the length of the random name of a process.
	processNameLength = 8
)

// Options configures a [Keeper].
type Options struct {
	Recorder *Recorder
	Objects  storage.ObjectStore
	View     membership.View
	// Current holds the active table with the objectives. It may be nil if
	// they are set with [Recorder.SetObjectives] and [Keeper.Burn] is not used.
	Current *table.Current
	// Logger receives the log events; nil discards them.
	Logger *slog.Logger
}

// Keeper writes the counts of a [Recorder] to the object store, merges and
// deletes stored objects, and builds reports from them.
type Keeper struct {
	opts    Options
	log     *slog.Logger
	process string
	// writeFailing is set if the last write failed, so that an outage is logged
	// once.
	writeFailing bool
	// merged holds the hours that had a merged object in the previous round;
	// the objects of these may be deleted.
	merged map[int64]bool

	reportMu sync.Mutex
	report   Report
	// reportTime is the time at which report was built, or zero.
	reportTime time.Time
}

// NewKeeper returns a keeper for this process. [Keeper.Run] starts its work.
func NewKeeper(opts Options) *Keeper {
	k := &Keeper{opts: opts, log: opts.Logger, process: strings.ToLower(rand.Text()[:processNameLength])}
	if k.log == nil {
		k.log = slog.New(slog.DiscardHandler)
	}
	return k
}

// ObjectivesOf returns the objectives of the services of a table.
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

// Run collects and writes counts until ctx ends. It then writes once more, within
// storeTimeout, and records that the process shut down gracefully.
func (k *Keeper) Run(ctx context.Context) {
	collect := time.NewTicker(collectInterval)
	defer collect.Stop()
	flush := time.NewTimer(jitter(flushInterval))
	defer flush.Stop()
	tidy := time.NewTimer(jitter(tidyInterval))
	defer tidy.Stop()
	k.opts.Recorder.collect(time.Now())
	for {
		changed := k.applyObjectives()
		select {
		case now := <-collect.C:
			k.opts.Recorder.collect(now)
		case <-flush.C:
			k.flush(ctx)
			flush.Reset(jitter(flushInterval))
		case <-tidy.C:
			k.tidy(ctx)
			tidy.Reset(jitter(tidyInterval))
		case <-changed:
		case <-ctx.Done():
			k.shutdown(ctx)
			return
		}
	}
}

// jitter returns a random duration between 3/4 and 5/4 of d, so that instances
// don't access the store at the same time.
func jitter(d time.Duration) time.Duration { return d*3/4 + mathrand.N(d/2+1) }

// applyObjectives sets the objectives of the active table and returns the channel
// that is closed when the table changes.
func (k *Keeper) applyObjectives() <-chan struct{} {
	if k.opts.Current == nil {
		return nil
	}
	changed := k.opts.Current.Changed()
	if snapshot := k.opts.Current.Load(); snapshot != nil {
		k.opts.Recorder.SetObjectives(ObjectivesOf(snapshot.Document()))
	}
	return changed
}

// shutdown writes the last counts.
func (k *Keeper) shutdown(ctx context.Context) {
	now := time.Now()
	k.opts.Recorder.collect(now)
	k.opts.Recorder.markEnded(now)
	finalCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), storeTimeout)
	defer cancel()
	k.write(finalCtx)
}

// markEnded records a graceful shutdown in the hour of now.
func (r *Recorder) markEnded(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hour(unixMinute(now) / minutesPerHour).ended = true
}

func (k *Keeper) flush(ctx context.Context) {
	k.opts.Recorder.collect(time.Now())
	bounded, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	k.write(bounded)
}

// write stores the hours whose counts changed since they were last written. Hours
// that fail are written again with the next flush.
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
		k.logWriteResult(err)
	}
}

// logWriteResult logs the first failure of an outage and the recovery.
func (k *Keeper) logWriteResult(err error) {
	if err != nil && !k.writeFailing {
		k.log.Warn("burn_write_failed", "error", err)
	}
	if err == nil && k.writeFailing {
		k.log.Info("burn_write_recovered")
	}
	k.writeFailing = err != nil
}

// dirtyHours returns the hours to write and marks them as written.
func (r *Recorder) dirtyHours(instanceID, process string) []*burnpb.Hour {
	r.mu.Lock()
	defer r.mu.Unlock()
	var dirty []*burnpb.Hour
	for hour, counts := range r.hours {
		if counts.dirty {
			counts.dirty = false
			dirty = append(dirty, counts.toProto(hour, instanceID, process))
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

// Burn returns the report of the fleet for the objectives of the active table.
// A report is cached for reportMaxAge, since building it reads the objects of
// three days. Burn fails if the objects cannot be listed.
func (k *Keeper) Burn(ctx context.Context) (Report, error) {
	var objectives []Objective
	if snapshot := k.opts.Current.Load(); snapshot != nil {
		objectives = ObjectivesOf(snapshot.Document())
	}
	k.reportMu.Lock()
	defer k.reportMu.Unlock()
	now := time.Now()
	if !k.reportTime.IsZero() && now.Sub(k.reportTime) < reportMaxAge {
		return k.report, nil
	}
	report, err := BuildReport(ctx, k.opts.Objects, objectives, now)
	if err != nil {
		return Report{}, err
	}
	k.report, k.reportTime = report, now
	return report, nil
}
