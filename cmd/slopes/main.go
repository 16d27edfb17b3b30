// Command slopes measures how costs grow with size, and writes the measurements
// and the figures derived from them to a file. Run it in the module's root
// directory.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/pomelolock/pomelolock/internal/slopes"
)

type cli struct {
	Bin string `default:"bin" help:"Directory with the programs."`
	Out string `default:"docs/slopes.json" help:"File for the slopes."`
	// Figures recomputes the derived figures in the file of an earlier run.
	Figures bool `help:"Measure nothing; work the figures of the file out again."`
}

func main() {
	var cli cli
	kong.Parse(&cli, kong.Name("slopes"), kong.Description("Measures how costs grow with size."))
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := cli.run(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "slopes:", err)
		os.Exit(1)
	}
}

func (c *cli) run(ctx context.Context) error {
	if c.Figures {
		return c.recompute()
	}
	report := slopes.NewReport(ctx)
	var samples slopes.Samples
	if err := slopes.MeasureDaemons(ctx, c.Bin, &samples); err != nil {
		return err
	}
	if err := slopes.MeasureInstanceList(ctx, &samples); err != nil {
		return err
	}
	if err := slopes.RunBenchmarks(ctx, &samples); err != nil {
		return err
	}
	report.Complete(samples)
	if err := report.Print(os.Stdout); err != nil {
		return err
	}
	return report.Write(c.Out)
}

// recompute derives the figures again from the measurements in the file.
func (c *cli) recompute() error {
	report, err := slopes.ReadReport(c.Out)
	if err != nil {
		return err
	}
	report.ComputeFigures()
	if err := report.Print(os.Stdout); err != nil {
		return err
	}
	return report.Write(c.Out)
}
