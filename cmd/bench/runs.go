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
	// settleTime is the pause before each run, in which the daemons settle after
	// the previous one.
	settleTime = 200 * time.Millisecond
)

// addedLatency measures the latency that the daemons add. It compares requests
// through the daemons with requests sent at the same time directly to a server
// with the same settings.
func (b *bench) addedLatency(ctx context.Context) error {
	server := b.serversOf(directService)[0]
	type result struct {
		report *loadgen.Report
		err    error
	}
	directDone := make(chan result, 1)
	go func() {
		report, err := loadgen.Run(ctx, b.hopOptions(directService, []string{"http://" + server.Address}))
		directDone <- result{report, err}
	}()
	through, err := loadgen.Run(ctx, b.hopOptions(hopService, b.fleet.Targets()))
	direct := <-directDone
	if err != nil {
		return err
	}
	if direct.err != nil {
		return direct.err
	}
	b.add("direct_p50_ms", direct.report.Latency.P50)
	b.add("direct_p99_ms", direct.report.Latency.P99)
	b.add("added_p50_ms", through.Latency.P50-direct.report.Latency.P50)
	b.add("added_p99_ms", through.Latency.P99-direct.report.Latency.P99)
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

// runPolicy sends load, a fraction of the servers' capacity, to one variant's
// servers. They have random slow episodes from the start of the run.
func (b *bench) runPolicy(ctx context.Context, v variant, load float64, seconds int) (*loadgen.Report, backend.Counts, error) {
	servers := b.serversOf(v.name)
	time.Sleep(settleTime)
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
	counts, err := b.sumCounts(ctx, servers)
	if b.cli.Verbose {
		fmt.Fprintf(os.Stderr, "%s at %.1f of capacity: verdicts %v, codes %v\n", v.name, load, report.Verdicts, report.Codes)
	}
	if v.policy == table.PolicyLeases {
		b.overLimit += counts.OverLimit
	}
	return report, counts, err
}

// sumCounts returns the sum of the servers' counts, and the highest of their
// MaxConnections. It adds the probes to b.probed.
func (b *bench) sumCounts(ctx context.Context, servers []*fleet.Backend) (backend.Counts, error) {
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

// halfLoad compares the tail latency of all variants at half of the servers'
// capacity.
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
		b.addRunFigures("half_", v, report, counts)
	}
	b.add("p99_vs_local", p99[leases]/p99[bestOfTwo])
	b.add("p99_vs_random", p99[leases]/p99[random])
	b.add("p99_hedged_vs_local", p99[hedged]/p99[bestOfTwo])
	b.add("p99_hedged_vs_leases", p99[hedged]/p99[leases])
	return nil
}

// addRunFigures adds the figures of one run.
func (b *bench) addRunFigures(prefix string, v variant, r *loadgen.Report, counts backend.Counts) {
	name := v.name
	b.add(prefix+"p50_ms_"+name, r.Latency.P50)
	b.add(prefix+"p99_ms_"+name, r.Latency.P99)
	b.add(prefix+"whole_share_"+name, float64(r.Verdicts[loadgen.Complete])/float64(max(r.Sent, 1)))
	b.add(prefix+"over_limit_share_"+name, float64(counts.OverLimit)/float64(max(counts.Arrivals, 1)))
	b.add(prefix+"executions_per_request_"+name, float64(counts.Executions)/float64(max(r.Sent, 1)))
	b.add(prefix+"max_connections_"+name, float64(counts.MaxConnections))
}

// overload compares the policies' goodput, in complete responses per second, at
// twice the capacity. For the leases policy it also compares that goodput with the
// goodput at full load.
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
		b.addRunFigures("overload_", v, report, counts)
		if v == leases && atFull.Goodput > 0 {
			b.add("goodput_overload", report.Goodput/atFull.Goodput)
		}
	}
	b.add("over_limit", float64(b.overLimit))
	return nil
}

// probes reports the probes of all runs as a fraction of the table's probe
// budget.
func (b *bench) probes(ctx context.Context) error {
	for _, service := range []string{hopService, directService} {
		if _, err := b.sumCounts(ctx, b.serversOf(service)); err != nil {
			return err
		}
	}
	budget := float64(b.fleet.Document().Fleet.ProbesPerSecond) * time.Since(b.started).Seconds()
	b.add("probe_budget_used", float64(b.probed)/budget)
	return nil
}
