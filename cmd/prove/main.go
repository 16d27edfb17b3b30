// Command prove runs the tests that docs/PROOFS.md names.
//
// Its exit code is 0 only if every row passed.
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

// FailedError reports rows that failed.
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

// Run compares the rows.
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

// Run runs the tests.
func (c runCommand) Run(ctx context.Context) error {
	return c.each(func(r *prove.Runner, rows []prove.Row) { r.Run(ctx, rows) })
}

// Run runs the tests with each switch-off.
func (c offCommand) Run(ctx context.Context) error {
	return c.each(func(r *prove.Runner, rows []prove.Row) { r.Off(ctx, rows) })
}

func (c common) each(run func(*prove.Runner, []prove.Row)) error {
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
	if runner.Failed() > 0 {
		return &FailedError{runner.Failed()}
	}
	return nil
}
