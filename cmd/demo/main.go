// Command demo runs a complete fleet on loopback, sends lookups and orders
// through it and prints a summary.
//
// The exit code is 0 only if every response was complete, no order ran twice and
// every process stopped cleanly.
package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/pomelolock/pomelolock/internal/fleet"
	"github.com/pomelolock/pomelolock/internal/loadgen"
)

const (
	regionName  = "praha"
	balancerLag = 500 * time.Millisecond
	// Callers repeat an order when the response says that it is still in progress.
	retries    = 5
	retryPause = 100 * time.Millisecond
)

type cli struct {
	Bin      string        `help:"Directory with the programs; that of this one if omitted."`
	Entries  int           `default:"3" help:"Daemons to start."`
	Rate     float64       `default:"400" help:"Mean calls a second."`
	Duration time.Duration `default:"8s" help:"Time for which calls are sent."`
	Seed     uint64        `default:"1" help:"Seed of load and stand-ins."`
	Keep     bool          `help:"Keep the directory with settings, logs and executions."`
}

func main() {
	var cli cli
	kong.Parse(&cli, kong.Name("demo"), kong.Description("A fleet on loopback with lookups and orders."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	clean, err := cli.run(ctx)
	if err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
	}
	if err != nil || !clean {
		os.Exit(1)
	}
}

func (c *cli) run(ctx context.Context) (clean bool, err error) {
	spec, err := c.spec()
	if err != nil {
		return false, err
	}
	if c.Keep {
		fmt.Println("files are kept in", spec.Dir)
	} else {
		defer func() { _ = os.RemoveAll(spec.Dir) }()
	}
	start := time.Now()
	f, err := fleet.Start(ctx, spec)
	if err != nil {
		return false, err
	}
	fmt.Printf("started the platform, %d backend servers and %d daemons in %.1f s\n", len(f.Backends), len(f.Entries), time.Since(start).Seconds())
	clean, err = c.runLoad(ctx, f)
	start = time.Now()
	stopErr := f.Stop()
	fmt.Printf("stopped all processes in %.1f s\n", time.Since(start).Seconds())
	return clean, errors.Join(err, stopErr)
}

func (c *cli) spec() (fleet.Spec, error) {
	bin := c.Bin
	if bin == "" {
		program, err := os.Executable()
		if err != nil {
			return fleet.Spec{}, fmt.Errorf("find programs: %w", err)
		}
		bin = filepath.Dir(program)
	}
	dir, err := os.MkdirTemp("", "pomelolock-demo-")
	if err != nil {
		return fleet.Spec{}, fmt.Errorf("make directory: %w", err)
	}
	services, routes := fleet.Vltava()
	return fleet.Spec{
		Bin:         bin,
		Dir:         dir,
		Region:      regionName,
		DataCentres: []string{"praha-1", "praha-2", "praha-3"},
		Entries:     c.Entries,
		Services:    services,
		Routes:      routes,
		Seed:        c.Seed,
		BalancerLag: balancerLag,
	}, nil
}

// runLoad accepts the table, sends the load and prints the summary.
func (c *cli) runLoad(ctx context.Context, f *fleet.Fleet) (clean bool, err error) {
	output, err := f.AcceptByTool(ctx, "first table")
	if err != nil {
		return false, err
	}
	printProgress(output)
	if err := f.WaitReady(ctx); err != nil {
		return false, err
	}
	report, err := loadgen.Run(ctx, loadgen.Options{
		Targets: f.Targets(),
		Kinds: []loadgen.Kind{
			{Path: "/patterns/search", Weight: 70},
			{Path: "/stock/rolls", Weight: 15},
			{Path: "/orders", Keyed: true, Weight: 10},
			{Path: "/stock/reservations", Keyed: true, Weight: 5},
		},
		Rate:          c.Rate,
		Duration:      c.Duration,
		Seed:          c.Seed,
		ResendPercent: 5,
		ResendAfter:   5 * time.Millisecond,
		Retries:       retries,
		RetryPause:    retryPause,
	})
	if err != nil {
		return false, err
	}
	judgement, err := f.Judge(ctx, report)
	if err != nil {
		return false, err
	}
	return summarize(report, judgement), nil
}

// printProgress prints the tool's output without the list of changes, which is
// the complete first table.
func printProgress(output string) {
	for line := range strings.Lines(output) {
		if !strings.HasPrefix(line, "changes") && !strings.HasPrefix(line, " ") {
			fmt.Print(line)
		}
	}
}

// summarize prints the figures and reports whether every response was complete
// and the judgement is clean.
func summarize(r *loadgen.Report, j loadgen.Judgement) bool {
	complete := r.Verdicts[loadgen.Complete] + r.Duplicates[loadgen.Complete]
	fmt.Printf("sent %d (%d of them orders sent to a second instance at once, %d retries)\n", r.Sent, r.Resent, r.Retried)
	fmt.Printf("whole %d\n", complete)
	fmt.Printf("failed %d\n", r.Sent-complete)
	for _, verdict := range loadgen.Verdicts[1:] {
		if n := r.Verdicts[verdict] + r.Duplicates[verdict]; n > 0 {
			fmt.Printf("  %s %d\n", verdict, n)
		}
	}
	for _, code := range slices.Sorted(maps.Keys(r.Codes)) {
		fmt.Printf("  told %s %d times\n", code, r.Codes[code])
	}
	fmt.Printf("ran twice %d\n", j.RepeatedKeys)
	fmt.Printf("over the slot limit %d\n", j.OverLimit)
	fmt.Printf("p50 %.1f ms\n", r.Latency.P50)
	fmt.Printf("p99 %.1f ms\n", r.Latency.P99)
	return complete == r.Sent && j.Clean()
}
