// Package cli implements pomelolock, the command-line tool for operators.
//
// Results go to standard output, as text or with --json as one JSON document.
// Errors and progress go to standard error. Exit codes are stable; see [Code].
package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
)

const description = `Operators' tool of pomelolock.

Exit codes: 0 done, 1 failed, 2 bad usage, settings or table, 3 another table was
accepted meanwhile, 4 refused without an operator's certificate or token,
5 platform or instances unreachable, 6 accepted but not in force everywhere,
7 outcome unknown, 8 declined, 9 the checked table is valid with warnings, 10 the
checked row of the users' platform is rejected.`

// globals are the flags of all commands.
type globals struct {
	JSON     bool          `name:"json" help:"Print JSON."`
	Platform string        `env:"POMELOLOCK_PLATFORM" placeholder:"URL" help:"Base URL of the platform; platform.url of --settings if omitted."`
	Settings string        `env:"POMELOLOCK_SETTINGS" placeholder:"FILE" help:"Settings file of an instance."`
	Operator []string      `env:"POMELOLOCK_OPERATOR" placeholder:"IP:PORT" help:"Operator listeners to ask; those in the instance list if omitted."`
	Token    string        `name:"token-file" env:"POMELOLOCK_TOKEN_FILE" placeholder:"FILE" help:"File with the operators' token."`
	CA       string        `name:"ca" env:"POMELOLOCK_CA" placeholder:"FILE" help:"Authorities of the operator listeners, in PEM; turns on TLS."`
	Cert     string        `env:"POMELOLOCK_CERT" placeholder:"FILE" help:"Operator's certificate, in PEM."`
	Key      string        `env:"POMELOLOCK_KEY" placeholder:"FILE" help:"Operator's private key, in PEM."`
	Timeout  time.Duration `default:"10s" help:"Longest time of one call."`
}

type root struct {
	globals
	SettingsCmd settingsCmd   `cmd:"" name:"settings" help:"Check and show settings files."`
	Table       tableCmd      `cmd:"" help:"Work with the table."`
	Instances   instancesCmd  `cmd:"" help:"List the instances and their state."`
	Backends    backendsCmd   `cmd:"" help:"Show backend servers as the instances that lease their slots see them."`
	Report      reportCmd     `cmd:"" help:"Reports."`
	Version     versionCmd    `cmd:"" help:"Print the release."`
	Completion  completionCmd `cmd:"" help:"Print a script that completes commands in the shell."`
}

// Streams are the tool's input and output.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// app holds the flags, streams and context of a running command.
type app struct {
	globals
	Streams
	ctx context.Context
}

// Main runs the tool with the process's arguments and returns the exit code.
func Main() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return Run(ctx, os.Args[1:], Streams{In: os.Stdin, Out: os.Stdout, Err: os.Stderr})
}

// parserExit is the panic value that carries kong's exit code out of the parser,
// which exits early after --help.
type parserExit int

// Run runs the command in args, without the program's name, and returns the exit
// code.
func Run(ctx context.Context, args []string, streams Streams) (code int) {
	defer func() {
		if r := recover(); r != nil {
			exit, ok := r.(parserExit)
			if !ok {
				panic(r)
			}
			code = int(exit)
		}
	}()
	var r root
	parser, err := newParser(&r, streams)
	if err != nil {
		fmt.Fprintln(streams.Err, "pomelolock:", err)
		return int(CodeFailed)
	}
	command, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(streams.Err, "pomelolock:", err)
		return int(CodeUsage)
	}
	a := &app{globals: r.globals, Streams: streams, ctx: ctx}
	return a.finish(command.Run(a, parser))
}

func newParser(r *root, streams Streams) (*kong.Kong, error) {
	return kong.New(r,
		kong.Name("pomelolock"),
		kong.Description(description),
		kong.Writers(streams.Out, streams.Err),
		kong.Exit(func(code int) { panic(parserExit(code)) }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	)
}

// print writes v as JSON with --json, and otherwise calls writeText.
func (a *app) print(v any, writeText func(io.Writer) error) error {
	if !a.JSON {
		return writeText(a.Out)
	}
	encoder := json.NewEncoder(a.Out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}
