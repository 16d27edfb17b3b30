// Command prove runs the tests listed in docs/PROOFS.md, with the mechanism that
// each covers in place or switched off.
//
// The exit code is 0 only if every row passed.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"github.com/pomelolock/pomelolock/internal/prove"
)

type cli struct {
	Check checkCommand `cmd:"" help:"Compare the rows with tests, source and page."`
	Run   runCommand   `cmd:"" help:"Run each row's test."`
	Off   offCommand   `cmd:"" help:"Run each row's test without its mechanism; it has to fail."`
}

type common struct {
	Timeout time.Duration `default:"2m" help:"Longest time of one test."`
	Verbose bool          `help:"Print the output of tests that fail a row."`
	Rows    []string      `arg:"" optional:"" help:"Beginnings of row IDs; all rows if omitted."`
}

type (
	checkCommand struct{}
	runCommand   struct{ common }
	offCommand   struct{ common }
)

// FailedError reports how many rows failed or, for the check command, how many
// faults were found.
type FailedError struct{ Failed int }

func (e *FailedError) Error() string { return fmt.Sprintf("%d rows failed", e.Failed) }

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	parsed := kong.Parse(&cli{}, kong.Name("prove"),
		kong.Description("Tests of the promises, with and without their mechanisms."),
		kong.BindTo(ctx, (*context.Context)(nil)))
	parsed.FatalIfErrorf(parsed.Run())
}

// Run compares the rows with the tests, the source and docs/PROOFS.md, prints the
// differences and fails if there are any.
func (checkCommand) Run() error {
	rows, err := prove.Rows()
	if err != nil {
		return err
	}
	faults := prove.Check(".", rows)
	for _, fault := range faults {
		fmt.Println(fault)
	}
	fmt.Printf("%d rows, %d faults\n", len(rows), len(faults))
	if len(faults) > 0 {
		return &FailedError{len(faults)}
	}
	return nil
}

// Run runs the rows' tests.
func (c runCommand) Run(ctx context.Context) error {
	return c.runRows(ctx, func(r *prove.Runner, rows []prove.Row) { r.Run(ctx, rows) })
}

// Run runs the rows' tests with their mechanisms switched off.
func (c offCommand) Run(ctx context.Context) error {
	return c.runRows(ctx, func(r *prove.Runner, rows []prove.Row) { r.Off(ctx, rows) })
}

// runRows calls run with the rows selected by the arguments and prints a summary.
// It returns a [FailedError] if a row failed.
func (c common) runRows(ctx context.Context, run func(*prove.Runner, []prove.Row)) error {
	rows, err := prove.Rows()
	if err != nil {
		return err
	}
	root, err := os.Getwd()
	if err != nil {
		return fmt.Errorf("prove: %w", err)
	}
	runner := prove.NewRunner(prove.Options{Root: root, Timeout: c.Timeout, Out: os.Stdout, Verbose: c.Verbose})
	run(runner, prove.Select(rows, c.Rows))
	fmt.Println(runner.Summary())
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("prove: stopped before the last row: %w", err)
	}
	if runner.Failed() > 0 {
		return &FailedError{runner.Failed()}
	}
	return nil
}
