// Command pomelolock is the command-line tool for operators. See
// docs/OPERATORS.md.
package main

import (
	"os"

	"github.com/pomelolock/pomelolock/internal/cli"
)

func main() { os.Exit(cli.Main()) }
