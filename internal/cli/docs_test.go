package cli_test

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/internal/cli"
	"github.com/pomelolock/pomelolock/table"
)

// TestOperatorsPageIsComplete checks that docs/OPERATORS.md names each command,
// table column and log event.
func TestOperatorsPageIsComplete(t *testing.T) {
	g := NewWithT(t)
	data, err := os.ReadFile("../../docs/OPERATORS.md")
	g.Expect(err).NotTo(HaveOccurred())
	page := string(data)
	for _, command := range commands(t) {
		g.Expect(page).To(ContainSubstring("pomelolock "+command), "command %s", command)
	}
	for _, row := range []any{table.Fleet{}, table.Service{}, table.Route{}, table.Server{}} {
		for i := range reflect.TypeOf(row).NumField() {
			column, _, _ := strings.Cut(reflect.TypeOf(row).Field(i).Tag.Get("json"), ",")
			g.Expect(page).To(ContainSubstring("`"+column+"`"), "column %s", column)
		}
	}
	for _, event := range logEvents(t) {
		g.Expect(page).To(ContainSubstring("`"+event+"`"), "event %s", event)
	}
}

// commands returns the commands without subcommands, taken from the completion
// script.
func commands(t *testing.T) []string {
	t.Helper()
	var out bytes.Buffer
	if code := cli.Run(t.Context(), []string{"completion", "bash"}, cli.Streams{Out: &out, Err: &out}); code != 0 {
		t.Fatalf("exit code %d: %s", code, out.String())
	}
	var leaves []string
	for _, match := range regexp.MustCompile(`(?m)^  "(.+)"\) .*-W "(\S+)`).FindAllStringSubmatch(out.String(), -1) {
		if strings.HasPrefix(match[2], "--") {
			leaves = append(leaves, match[1])
		}
	}
	if len(leaves) < 10 {
		t.Fatalf("found only %q", leaves)
	}
	return leaves
}

// logEvents returns the log events of the packages that the page covers.
func logEvents(t *testing.T) []string {
	t.Helper()
	pattern := regexp.MustCompile(`log\.(?:Info|Warn|Error)\("([a-z_]+)"`)
	var names []string
	for _, dir := range []string{"table", "burn", "operator"} {
		files, err := filepath.Glob("../../" + dir + "/*.go")
		if err != nil {
			t.Fatal(err)
		}
		for _, file := range files {
			data, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			for _, match := range pattern.FindAllStringSubmatch(string(data), -1) {
				names = append(names, match[1])
			}
		}
	}
	if len(names) < 5 {
		t.Fatalf("found only %q", names)
	}
	return names
}
