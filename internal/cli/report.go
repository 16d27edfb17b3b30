package cli

import (
	"fmt"
	"io"
	"os"
	"runtime"
	"runtime/debug"
	"strings"
	"time"

	"github.com/alecthomas/kong"

	"github.com/pomelolock/pomelolock/burn"
)

type reportCmd struct {
	Burn reportBurnCmd `cmd:"" help:"Report how fast services use up their error budgets."`
}

type reportBurnCmd struct {
	HTML string `name:"html" placeholder:"FILE" help:"Also write a page with plots."`
}

func (c *reportBurnCmd) Run(a *app) error {
	p, err := a.platform()
	if err != nil {
		return err
	}
	doc, err := a.loadTable(0)
	if err != nil {
		return err
	}
	report, err := burn.BuildReport(a.ctx, p, burn.ObjectivesOf(doc), time.Now())
	if err != nil {
		return err
	}
	if c.HTML != "" {
		if err := writePage(report, c.HTML); err != nil {
			return err
		}
	}
	return a.print(report, report.WriteText)
}

func writePage(report burn.Report, path string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	if err := report.WriteHTML(f); err != nil {
		f.Close()
		return err
	}
	return f.Close()
}

type versionCmd struct{}

// versionOutput is the tool's release and the Go version that built it.
type versionOutput struct {
	Version string `json:"version"`
	Go      string `json:"go"`
}

func (c *versionCmd) Run(a *app) error {
	out := versionOutput{Version: "unknown", Go: runtime.Version()}
	if info, ok := debug.ReadBuildInfo(); ok {
		out.Version = info.Main.Version
	}
	return a.print(out, func(w io.Writer) error {
		_, err := fmt.Fprintf(w, "pomelolock %s %s\n", out.Version, out.Go)
		return err
	})
}

type completionCmd struct {
	Shell string `arg:"" enum:"bash,zsh" help:"bash or zsh."`
}

const bashHeader = `_pomelolock() {
  local word="${COMP_WORDS[COMP_CWORD]}" path="" w
  for w in "${COMP_WORDS[@]:1:COMP_CWORD-1}"; do
    case "$w" in -*) ;; *) path="$path $w" ;; esac
  done
  case "${path# }" in
`

const bashFooter = `  *) COMPREPLY=($(compgen -f -- "$word")) ;;
  esac
}
complete -o default -F _pomelolock pomelolock
`

// Run prints a completion script for the shell to evaluate, as in
// eval "$(pomelolock completion bash)". For zsh it uses bashcompinit.
func (c *completionCmd) Run(a *app, parser *kong.Kong) error {
	if c.Shell == "zsh" {
		fmt.Fprintln(a.Out, "autoload -U +X bashcompinit && bashcompinit")
	}
	fmt.Fprint(a.Out, bashHeader)
	writeCompletions(a.Out, parser.Model.Node, "")
	_, err := io.WriteString(a.Out, bashFooter)
	return err
}

// writeCompletions writes a case of the script for the command at path and for
// each command below it.
func writeCompletions(w io.Writer, node *kong.Node, path string) {
	var words []string
	for _, child := range node.Children {
		words = append(words, child.Name)
	}
	for _, flags := range node.AllFlags(true) {
		for _, flag := range flags {
			words = append(words, "--"+flag.Name)
		}
	}
	fmt.Fprintf(w, "  \"%s\") COMPREPLY=($(compgen -W \"%s\" -- \"$word\")) ;;\n", path, strings.Join(words, " "))
	for _, child := range node.Children {
		writeCompletions(w, child, strings.TrimSpace(path+" "+child.Name))
	}
}
