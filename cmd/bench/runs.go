package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/pomelolock/pomelolock/internal/fleet"
	"github.com/pomelolock/pomelolock/internal/loadgen"
	"github.com/pomelolock/pomelolock/internal/standin/backend"
	"github.com/pomelolock/pomelolock/table"
)

const (
	hopRate     = 500
	hopDuration = 4 * time.Second
	callTimeout = 2 * time.Second
	// pause lets the daemons settle between two runs.
	pause = 200 * time.Millisecond
)

// addedLatency compares calls through the daemons with direct ones that are
// sent at the same time to a server of the same kind.
func (b *bench) addedLatency(ctx context.Context) error {
	direct := b.serversOf(directService)[0]
	type outcome struct {
		report *loadgen.Report
		err    error
	}
	directDone := make(chan outcome, 1)
	go func() {
		report, err := loadgen.Run(ctx, b.hopOptions(directService, []string{"http://" + direct.Address}))
		directDone <- outcome{report, err}
	}()
	through, err := loadgen.Run(ctx, b.hopOptions(hopService, b.fleet.Targets()))
	without := <-directDone
	if err != nil {
		return err
	}
	if without.err != nil {
		return without.err
	}
	b.add("direct_p50_ms", without.report.Latency.P50)
	b.add("direct_p99_ms", without.report.Latency.P99)
	b.add("added_p50_ms", through.Latency.P50-without.report.Latency.P50)
	b.add("added_p99_ms", through.Latency.P99-without.report.Latency.P99)
	return nil
}

func (b *bench) hopOptions(service string, targets []string) loadgen.Options {
	return loadgen.Options{
		Targets:  targets,
		Kinds:    []loadgen.Kind{{Path: pathPrefix + service, Weight: 1}},
		Rate:     hopRate,
		Duration: hopDuration,
		Seed:     b.cli.Seed,
		Timeout:  callTimeout,
	}
}

// runPolicy sends load to one variant's servers, which slow down at random from
// the start of the run.
func (b *bench) runPolicy(ctx context.Context, v variant, load float64, seconds int) (*loadgen.Report, backend.Counts, error) {
	servers := b.serversOf(v.name)
	time.Sleep(pause)
	for _, server := range servers {
		if err := server.SetFaults(ctx, b.cli.faults()); err != nil {
			return nil, backend.Counts{}, err
		}
		if err := loadgen.Reset(ctx, server.AdminURL+backend.PathCounts); err != nil {
			return nil, backend.Counts{}, err
		}
	}
	report, err := loadgen.Run(ctx, loadgen.Options{
		Targets:  b.fleet.Targets(),
		Kinds:    []loadgen.Kind{{Path: pathPrefix + v.name, Weight: 1}},
		Rate:     load * b.cli.capacity(),
		Duration: time.Duration(seconds) * time.Second,
		Seed:     b.cli.Seed,
		Timeout:  callTimeout,
	})
	if err != nil {
		return nil, backend.Counts{}, err
	}
	counts, err := b.sum(ctx, servers)
	if b.cli.Verbose {
		fmt.Fprintf(os.Stderr, "%s at %.1f of capacity: verdicts %v, codes %v\n", v.name, load, report.Verdicts, report.Codes)
	}
	if v.policy == table.PolicyLeases {
		b.overLimit += counts.OverLimit
	}
	return report, counts, err
}

// sum adds up the counts of servers.
func (b *bench) sum(ctx context.Context, servers []*fleet.Backend) (backend.Counts, error) {
	var sum backend.Counts
	for _, server := range servers {
		var counts backend.Counts
		if err := loadgen.GetJSON(ctx, server.AdminURL+backend.PathCounts, &counts); err != nil {
			return sum, err
		}
		sum.Arrivals += counts.Arrivals
		sum.Executions += counts.Executions
		sum.OverLimit += counts.OverLimit
		sum.Probes += counts.Probes
		sum.MaxConnections = max(sum.MaxConnections, counts.MaxConnections)
	}
	b.probed += sum.Probes
	return sum, nil
}

// halfLoad compares the policies' tails at half of the servers' capacity.
func (b *bench) halfLoad(ctx context.Context) error {
	const load = 0.5
	p99 := make(map[variant]float64)
	for _, v := range variants {
		report, counts, err := b.runPolicy(ctx, v, load, b.cli.Seconds)
		if err != nil {
			return err
		}
		p99[v] = report.Latency.P99
		b.series = append(b.series, loadgen.Series{Label: v.name, Report: report})
		b.report("half_", v, report, counts)
	}
	b.add("p99_vs_local", p99[leases]/p99[bestOfTwo])
	b.add("p99_vs_random", p99[leases]/p99[random])
	b.add("p99_hedged_vs_local", p99[hedged]/p99[bestOfTwo])
	b.add("p99_hedged_vs_leases", p99[hedged]/p99[leases])
	return nil
}

// report adds the figures of one run.
func (b *bench) report(prefix string, v variant, r *loadgen.Report, counts backend.Counts) {
	name := v.name
	b.add(prefix+"p50_ms_"+name, r.Latency.P50)
	b.add(prefix+"p99_ms_"+name, r.Latency.P99)
	b.add(prefix+"whole_share_"+name, float64(r.Verdicts[loadgen.Whole])/float64(max(r.Sent, 1)))
	b.add(prefix+"over_limit_share_"+name, float64(counts.OverLimit)/float64(max(counts.Arrivals, 1)))
	b.add(prefix+"executions_per_request_"+name, float64(counts.Executions)/float64(max(r.Sent, 1)))
	b.add(prefix+"max_connections_"+name, float64(counts.MaxConnections))
}

// overload compares the whole answers a second at twice the capacity, and
// those of the leases with their own at full load.
func (b *bench) overload(ctx context.Context) error {
	const full, twice = 1.0, 2.0
	seconds := max(b.cli.Seconds-1, 1)
	atFull, _, err := b.runPolicy(ctx, leases, full, seconds)
	if err != nil {
		return err
	}
	b.add("full_goodput_leases", atFull.Goodput)
	for _, v := range policies {
		report, counts, err := b.runPolicy(ctx, v, twice, seconds)
		if err != nil {
			return err
		}
		b.add("overload_goodput_"+v.name, report.Goodput)
		b.report("overload_", v, report, counts)
		if v == leases && atFull.Goodput > 0 {
			b.add("goodput_overload", report.Goodput/atFull.Goodput)
		}
	}
	b.add("over_limit", float64(b.overLimit))
	return nil
}

// probes reports the probes of all runs as a share of the table's budget.
func (b *bench) probes(ctx context.Context) error {
	for _, service := range []string{hopService, directService} {
		if _, err := b.sum(ctx, b.serversOf(service)); err != nil {
			return err
		}
	}
	budget := float64(b.fleet.Document().Fleet.ProbesPerSecond) * time.Since(b.started).Seconds()
	b.add("probe_budget_used", float64(b.probed)/budget)
	return nil
}
