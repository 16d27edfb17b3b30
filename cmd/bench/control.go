package main

import (
	"context"
	"sync"

	"github.com/pomelolock/pomelolock/internal/fleet"
	"github.com/pomelolock/pomelolock/internal/loadgen"
)

const (
	metricRequests = "pomelolock_requests_total"
	metricSent     = "pomelolock_peer_sent_bytes_total"
	metricReceived = "pomelolock_peer_received_bytes_total"
	metricMessages = "pomelolock_slot_messages_total"
	metricGrants   = "pomelolock_slot_grants_total"
	metricTakeover = "pomelolock_slot_takeovers_total"

	bytesPerMB = 1e6
)

// usage holds the counters and the CPU time of one daemon, or the error of
// reading them.
type usage struct {
	metrics map[string]float64
	mallocs uint64
	cpu     fleet.CPUTime
	err     error
}

// control measures the resources that the daemons use in a run of the leases
// policy at half load.
func (b *bench) control(ctx context.Context) error {
	const load = 0.5
	seconds := max(b.cli.Seconds-1, 1)
	before, err := b.readUsages(ctx, 0)
	if err != nil {
		return err
	}
	type result struct {
		report *loadgen.Report
		err    error
	}
	done := make(chan result, 1)
	go func() {
		report, _, err := b.runPolicy(ctx, leases, load, seconds)
		done <- result{report, err}
	}()
	after, err := b.readUsages(ctx, seconds)
	run := <-done
	if err != nil {
		return err
	}
	if run.err != nil {
		return run.err
	}
	return b.addControlFigures(before, after, float64(seconds))
}

// readUsages reads the usage of all daemons concurrently. If seconds is not zero,
// it first profiles them for that time.
func (b *bench) readUsages(ctx context.Context, seconds int) ([]usage, error) {
	usages := make([]usage, len(b.fleet.Entries))
	var group sync.WaitGroup
	for i, entry := range b.fleet.Entries {
		group.Go(func() { usages[i] = readUsage(ctx, entry, seconds) })
	}
	group.Wait()
	for _, u := range usages {
		if u.err != nil {
			return nil, u.err
		}
	}
	return usages, nil
}

func readUsage(ctx context.Context, entry *fleet.Entry, seconds int) usage {
	var u usage
	if seconds > 0 {
		if u.cpu, u.err = entry.Profile(ctx, seconds, fleet.ControlPackages); u.err != nil {
			return u
		}
	}
	if u.metrics, u.err = entry.Metrics(ctx); u.err != nil {
		return u
	}
	u.mallocs, u.err = entry.Mallocs(ctx)
	return u
}

// addControlFigures adds the highest control cost of a daemon and the mean costs
// of a request.
func (b *bench) addControlFigures(before, after []usage, seconds float64) error {
	var requests, bytes, messages, mallocs, mostBytes, mostCPU, allCPU, mostRSS float64
	for i, entry := range b.fleet.Entries {
		delta := func(name string) float64 { return after[i].metrics[name] - before[i].metrics[name] }
		exchanged := delta(metricSent) + delta(metricReceived)
		requests += delta(metricRequests)
		bytes += exchanged
		messages += delta(metricMessages)
		mallocs += float64(after[i].mallocs - before[i].mallocs)
		mostBytes = max(mostBytes, exchanged/seconds)
		mostCPU = max(mostCPU, after[i].cpu.Matched.Seconds()/seconds)
		allCPU += after[i].cpu.Total.Seconds()
		resident, err := entry.ResidentBytes()
		if err != nil {
			return err
		}
		mostRSS = max(mostRSS, float64(resident))
	}
	const percent, microseconds = 100, 1e6
	b.add("control_core_percent", mostCPU*percent)
	b.add("control_bytes_per_s", mostBytes)
	b.add("control_rss_mb", mostRSS/bytesPerMB)
	b.add("control_bytes_per_request", bytes/requests)
	b.add("control_messages_per_request", messages/requests)
	b.add("requests_per_s_and_daemon", requests/seconds/float64(len(after)))
	b.add("cpu_us_per_request", allCPU/requests*microseconds)
	b.add("allocs_per_request", mallocs/requests)
	return nil
}
