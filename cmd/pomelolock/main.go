// Command pomelolock is the operators' tool. See docs/OPERATORS.md.
package main

import (
	"os"

	"github.com/pomelolock/pomelolock/internal/cli"
)

func main() { os.Exit(cli.Main()) }
