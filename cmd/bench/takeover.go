package main

import (
	"context"
	"time"

	"github.com/pomelolock/pomelolock/internal/fleet"
	"github.com/pomelolock/pomelolock/internal/loadgen"
)

const (
	takeoverLoad = 0.25
	takeoverTime = 5 * time.Second
	killAfter    = 1500 * time.Millisecond
)

// takeover sends load, kills the daemon that granted most leases before, and
// reports the longest time without a complete response. It has to be the last
// step, because the killed daemon is missing afterwards.
func (b *bench) takeover(ctx context.Context) error {
	before, err := b.readUsages(ctx, 0)
	if err != nil {
		return err
	}
	b.addTakeovers(before)
	coordinator := b.coordinator(before)
	timer := time.AfterFunc(killAfter, coordinator.Kill)
	defer timer.Stop()
	report, err := loadgen.Run(ctx, loadgen.Options{
		Targets:   b.fleet.Targets(),
		ReadyURLs: b.fleet.ReadyURLs(),
		Kinds:     []loadgen.Kind{{Path: pathPrefix + leases.name, Weight: 1}},
		Rate:      takeoverLoad * b.cli.capacity(),
		Duration:  takeoverTime,
		Seed:      b.cli.Seed,
		Timeout:   callTimeout,
	})
	if err != nil {
		return err
	}
	b.add("takeover_gap_ms", report.LongestGapMS)
	b.add("takeover_whole_share", float64(report.Verdicts[loadgen.Complete])/float64(max(report.Sent, 1)))
	return nil
}

// addTakeovers adds the number of takeovers before a daemon is killed. The start of
// a service's first coordinator counts as one.
func (b *bench) addTakeovers(usages []usage) {
	takeovers := 0.0
	for _, u := range usages {
		takeovers += u.metrics[metricTakeover]
	}
	b.add("takeovers", takeovers)
}

// coordinator returns the daemon that granted most leases.
func (b *bench) coordinator(usages []usage) *fleet.Entry {
	most := 0
	for i, u := range usages {
		if u.metrics[metricGrants] > usages[most].metrics[metricGrants] {
			most = i
		}
	}
	return b.fleet.Entries[most]
}
