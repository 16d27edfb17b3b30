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

// usage is what one daemon has used.
type usage struct {
	metrics map[string]float64
	mallocs uint64
	cpu     fleet.CPUTime
	err     error
}

// control measures what the daemons spend in a run of the leases at half load.
func (b *bench) control(ctx context.Context) error {
	const load = 0.5
	seconds := max(b.cli.Seconds-1, 1)
	before, err := b.usages(ctx, 0)
	if err != nil {
		return err
	}
	type loaded struct {
		report *loadgen.Report
		err    error
	}
	done := make(chan loaded, 1)
	go func() {
		report, _, err := b.runPolicy(ctx, leases, load, seconds)
		done <- loaded{report, err}
	}()
	after, err := b.usages(ctx, seconds)
	run := <-done
	if err != nil {
		return err
	}
	if run.err != nil {
		return run.err
	}
	return b.addControl(before, after, float64(seconds))
}

// usages reads all daemons at once; it profiles them if seconds is not zero.
func (b *bench) usages(ctx context.Context, seconds int) ([]usage, error) {
	usages := make([]usage, len(b.fleet.Entries))
	var group sync.WaitGroup
	for i, entry := range b.fleet.Entries {
		group.Go(func() { usages[i] = read(ctx, entry, seconds) })
	}
	group.Wait()
	for _, u := range usages {
		if u.err != nil {
			return nil, u.err
		}
	}
	return usages, nil
}

func read(ctx context.Context, entry *fleet.Entry, seconds int) usage {
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

// addControl adds the figures of the daemon that spent most, and per call.
func (b *bench) addControl(before, after []usage, seconds float64) error {
	var requests, bytes, messages, mallocs, mostBytes, mostCPU, allCPU, mostRSS float64
	for i, entry := range b.fleet.Entries {
		grown := func(name string) float64 { return after[i].metrics[name] - before[i].metrics[name] }
		exchanged := grown(metricSent) + grown(metricReceived)
		requests += grown(metricRequests)
		bytes += exchanged
		messages += grown(metricMessages)
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
