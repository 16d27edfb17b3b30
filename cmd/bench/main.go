// Command bench compares the policies of the load balancer on real processes on
// loopback, one after the other and with the same seeds, and prints a line for
// each figure: "figure NAME VALUE".
//
// Each policy has its own backend servers with the same seeds: the same requests
// have the same service times, and the servers slow down at the same times.
//
// No figure is checked against a limit; the exit code is 0 if every run could be
// measured.
package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/pomelolock/pomelolock/internal/fleet"
	"github.com/pomelolock/pomelolock/internal/loadgen"
	"github.com/pomelolock/pomelolock/table"
)

type cli struct {
	Bin         string        `help:"Directory with the programs; that of this one if omitted."`
	Out         string        `default:"out" help:"Directory for bench.json and bench.png."`
	Entries     int           `default:"6" help:"Daemons."`
	Servers     int           `default:"10" help:"Backend servers of each policy."`
	ServiceTime time.Duration `default:"20ms" help:"Mean service time."`
	Seconds     int           `default:"4" help:"Seconds of each run at half load; the others take a second less."`
	SlowFactor  float64       `default:"8" help:"How many times slower a server is in an episode."`
	SlowMS      int64         `default:"200" help:"Length of an episode in milliseconds."`
	SlowGapMS   int64         `default:"4000" help:"Mean time between the episodes of a server in milliseconds."`
	SiteNoise   bool          `help:"Slow episodes as on the users' sites, in place of the three settings above."`
	Seed        uint64        `default:"1" help:"Seed of load and stand-ins."`
	Verbose     bool          `help:"Print the verdicts of each run to standard error."`
}

func main() {
	var cli cli
	kong.Parse(&cli, kong.Name("bench"), kong.Description("Compares the policies through real processes."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := cli.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		os.Exit(1)
	}
}

func (c *cli) run(ctx context.Context) error {
	dir, err := os.MkdirTemp("", "pomelolock-bench-")
	if err != nil {
		return fmt.Errorf("make directory: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if c.Bin == "" {
		program, err := os.Executable()
		if err != nil {
			return fmt.Errorf("find programs: %w", err)
		}
		c.Bin = filepath.Dir(program)
	}
	f, err := fleet.StartReady(ctx, c.spec(dir))
	if err != nil {
		return err
	}
	err = c.measure(ctx, f)
	return errors.Join(err, f.Stop())
}

func (c *cli) measure(ctx context.Context, f *fleet.Fleet) error {
	b := &bench{cli: c, fleet: f, started: time.Now()}
	for _, step := range []func(context.Context) error{b.addedLatency, b.halfLoad, b.control, b.overload, b.probes, b.takeover} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	return b.write()
}

// figure is one measured value.
type figure struct {
	Name  string  `json:"name"`
	Value float64 `json:"value"`
}

// bench holds the measurements so far.
type bench struct {
	cli     *cli
	fleet   *fleet.Fleet
	started time.Time
	figures []figure
	series  []loadgen.Series
	// overLimit is the number of requests over the servers' limits in all runs of
	// the leases policy.
	overLimit uint64
	probed    uint64
}

// add records and prints a figure.
func (b *bench) add(name string, value float64) {
	b.figures = append(b.figures, figure{Name: name, Value: value})
	fmt.Printf("figure %s %.4g\n", name, value)
}

// write writes the figures and the plot of the runs at half load.
func (b *bench) write() error {
	if err := os.MkdirAll(b.cli.Out, 0o755); err != nil {
		return fmt.Errorf("make directory: %w", err)
	}
	data, err := json.MarshalIndent(b.figures, "", "  ")
	if err != nil {
		return fmt.Errorf("encode figures: %w", err)
	}
	if err := os.WriteFile(filepath.Join(b.cli.Out, "bench.json"), append(data, '\n'), 0o644); err != nil {
		return fmt.Errorf("write figures: %w", err)
	}
	return loadgen.WritePlot(filepath.Join(b.cli.Out, "bench.png"), "policies at half load", b.series...)
}

// variant is one of the compared ways of choosing servers. Each has its own service.
type variant struct {
	// name is the name of the service and the suffix of the figures.
	name   string
	policy table.Policy
	// hedge is the service's hedge percentile; 0 in variants without hedging.
	hedge float64
}

const hedgePercentile = 95

var (
	random    = variant{name: "random", policy: table.PolicyRandom}
	bestOfTwo = variant{name: "best_of_two", policy: table.PolicyBestOfTwo}
	leases    = variant{name: "leases", policy: table.PolicyLeases}
	hedged    = variant{name: "leases_hedged", policy: table.PolicyLeases, hedge: hedgePercentile}

	// policies are compared under overload, and variants, which adds hedging, at
	// half load.
	policies = []variant{random, bestOfTwo, leases}
	variants = []variant{random, bestOfTwo, leases, hedged}
)

func (b *bench) serversOf(service string) []*fleet.Backend {
	servers := slices.Clone(b.fleet.Backends)
	return slices.DeleteFunc(servers, func(s *fleet.Backend) bool { return s.Service != service })
}
