package cli_test

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/burn"
	"github.com/pomelolock/pomelolock/internal/cli"
	"github.com/pomelolock/pomelolock/internal/fleet"
	"github.com/pomelolock/pomelolock/internal/standin/backend"
	"github.com/pomelolock/pomelolock/outcome"
	"github.com/pomelolock/pomelolock/storage/httpplatform"
	"github.com/pomelolock/pomelolock/storage/memory"
)

// tool runs commands, to which it appends args, and checks their exit codes.
type tool struct {
	t    *testing.T
	g    *WithT
	args []string
}

// run returns what the command printed to standard output and standard error.
func (c *tool) run(code cli.Code, args ...string) string {
	c.t.Helper()
	var out bytes.Buffer
	got := cli.Run(c.t.Context(), append(args, c.args...), cli.Streams{In: strings.NewReader(""), Out: &out, Err: &out})
	c.g.Expect(cli.Code(got)).To(Equal(code), "pomelolock %s: %s", strings.Join(args, " "), out.String())
	c.t.Logf("pomelolock %s\n%s", strings.Join(args, " "), out.String())
	return out.String()
}

func startFleet(t *testing.T) *fleet.Fleet {
	t.Helper()
	bin := t.TempDir()
	if err := fleet.Build(t.Context(), bin, "standin", "pomelolockd"); err != nil {
		t.Fatal(err)
	}
	services, routes := fleet.Vltava()
	for i := range services {
		services[i].Servers = 2
	}
	f, err := fleet.Start(t.Context(), fleet.Spec{
		Bin: bin, Dir: t.TempDir(), Region: "cz", DataCentres: []string{"praha-1", "praha-2"},
		Entries: 3, Services: services, Routes: routes,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := f.Stop(); err != nil {
			t.Error(err)
		}
	})
	return f
}

// TestOperatorsPageAgainstProcesses runs the commands of docs/OPERATORS.md
// against a platform, backend servers and daemons that run as separate
// processes.
func TestOperatorsPageAgainstProcesses(t *testing.T) {
	g := NewWithT(t)
	f := startFleet(t)
	dir := t.TempDir()
	path := func(name string) string { return filepath.Join(dir, name) }
	g.Expect(os.WriteFile(path("token"), []byte(fleet.OperatorToken+"\n"), 0o600)).To(Succeed())
	c := &tool{t: t, g: g, args: []string{"--platform", f.Platform.URL, "--token-file", path("token")}}

	// First install.
	c.run(cli.CodeDone, "settings", "check", f.Entries[0].SettingsFile)
	g.Expect(c.run(cli.CodeDone, "settings", "show", f.Entries[0].SettingsFile)).To(ContainSubstring(`"fleet": "loopback"`))
	g.Expect(readiness(t, f.Entries[0])).To(Equal(http.StatusServiceUnavailable))
	first, err := f.WriteTable()
	g.Expect(err).NotTo(HaveOccurred())
	c.run(cli.CodeDone, "table", "check", first)
	withoutToken := &tool{t: t, g: g, args: []string{"--platform", f.Platform.URL}}
	withoutToken.run(cli.CodeUnauthorized, "table", "accept", "--yes", first)
	g.Expect(c.run(cli.CodeDone, "table", "accept", "--yes", "-m", "first table", "--wait", "30s", first)).To(And(
		ContainSubstring("accepted version 1"), ContainSubstring("entry-03: in force after")))
	g.Expect(f.WaitReady(t.Context())).To(Succeed())
	g.Expect(strings.Count(c.run(cli.CodeDone, "instances"), " ready\n")).To(Equal(3))

	// Change the table, by file and by spreadsheet.
	c.run(cli.CodeDone, "table", "pull", "-o", path("table.json"))
	g.Expect(c.run(cli.CodeDone, "table", "diff", path("table.json"))).To(ContainSubstring("no changes"))
	c.run(cli.CodeDone, "table", "export", path("sheets"))
	sheet, err := os.ReadFile(path("sheets/servers.csv"))
	g.Expect(err).NotTo(HaveOccurred())
	edited := bytes.Replace(sheet, []byte("serving"), []byte("draining"), 1)
	g.Expect(os.WriteFile(path("sheets/servers.csv"), edited, 0o600)).To(Succeed())
	c.run(cli.CodeDone, "table", "import", path("sheets"), "-o", path("imported.json"))
	c.run(cli.CodeDone, "table", "accept", "--yes", "-m", "drain one", "--wait", "30s", path("sheets"))
	g.Expect(c.run(cli.CodeConflict, "table", "accept", "--yes", path("table.json"))).To(ContainSubstring("state: serving -> draining"))
	g.Expect(c.run(cli.CodeDone, "table", "history", "--changes")).To(ContainSubstring("drain one (1 changes)"))
	g.Expect(c.run(cli.CodeDone, "table", "status")).To(ContainSubstring("accepted version 2"))

	// Live view and report.
	c.run(cli.CodeDone, "backends", "--service", "order-intake")
	g.Expect(c.run(cli.CodeDone, "report", "burn", "--html", path("burn.html"))).To(ContainSubstring("not measured"))

	// Outage of the store: nothing is accepted, and the active table stays.
	c.run(cli.CodeDone, "table", "pull", "-o", path("table.json"))
	g.Expect(f.Platform.SetFaults(t.Context(), memory.Faults{Down: true})).To(Succeed())
	c.run(cli.CodeUnreachable, "table", "accept", "--yes", path("table.json"))
	g.Expect(readiness(t, f.Entries[0])).To(Equal(http.StatusOK))
	g.Expect(f.Platform.SetFaults(t.Context(), memory.Faults{})).To(Succeed())
	c.run(cli.CodeDone, "table", "accept", "--yes", "--wait", "30s", path("table.json"))
}

// TestBurnMatchesWhatCallersSaw sends orders to daemons whose backend servers
// fail a third of them, stops the daemons and compares the counts of the burn
// report with the responses that the callers received.
func TestBurnMatchesWhatCallersSaw(t *testing.T) {
	const orders = 90
	g := NewWithT(t)
	f := startFleet(t)
	_, err := f.Accept(t.Context(), f.Document(), 0)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(f.WaitReady(t.Context())).To(Succeed())
	for _, server := range f.Backends {
		g.Expect(server.SetFaults(t.Context(), backend.Faults{FailPercent: 33})).To(Succeed())
	}
	var want burn.Counts
	for i := range orders {
		status := order(t, f.Entries[i%len(f.Entries)], i)
		want.Total++
		if status < http.StatusInternalServerError {
			want.Complete++
		}
	}
	g.Expect(want.Complete).To(And(BeNumerically(">", 0), BeNumerically("<", orders)))
	for _, entry := range f.Entries {
		entry.Terminate()
		<-entry.Done()
	}
	client, err := httpplatform.New(httpplatform.Options{BaseURL: f.Platform.URL})
	g.Expect(err).NotTo(HaveOccurred())
	defer client.Close()
	objectives := []burn.Objective{{Service: "order-intake", Percent: 99, Latency: time.Minute}}
	report, err := burn.BuildReport(t.Context(), client, objectives, time.Now().Add(4*time.Minute))
	g.Expect(err).NotTo(HaveOccurred())
	hour := report.Services[0].Windows[1]
	g.Expect(hour.Total).To(Equal(want.Total))
	g.Expect(hour.Complete).To(Equal(want.Complete))
}

// order sends one order and returns the status of the response.
func order(t *testing.T, entry *fleet.Entry, number int) int {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, entry.URL+"/orders", strings.NewReader("{}"))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set(outcome.HeaderIdempotencyKey, fmt.Sprint("order-", number))
	resp, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

func readiness(t *testing.T, entry *fleet.Entry) int {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, entry.OperatorURL+"/readyz", nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
