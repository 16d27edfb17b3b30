package fleet

import (
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/pomelolock/pomelolock/internal/loadgen"
	"github.com/pomelolock/pomelolock/internal/standin/backend"
	"github.com/pomelolock/pomelolock/settings"
	"github.com/pomelolock/pomelolock/storage"
	"github.com/pomelolock/pomelolock/storage/httpplatform"
	"github.com/pomelolock/pomelolock/table"
)

// buildStandin builds the stand-ins and returns the directory of the program.
func buildStandin(t *testing.T) string {
	t.Helper()
	bin := t.TempDir()
	if err := Build(t.Context(), bin, "standin"); err != nil {
		t.Fatal(err)
	}
	return bin
}

func smallSpec(t *testing.T, bin string) Spec {
	services, routes := Vltava()
	services = services[:2]
	services[0].Servers, services[1].Servers = 2, 1
	return Spec{
		Bin: bin, Dir: t.TempDir(), Region: "region-1", DataCentres: []string{"dc-1", "dc-2"},
		Services: services, Routes: routes[:1],
	}
}

func TestStandinsRunCrashAndRestart(t *testing.T) {
	ctx := t.Context()
	f, err := StartStandins(ctx, smallSpec(t, buildStandin(t)))
	if err != nil {
		t.Fatal(err)
	}
	defer func() {
		if err := f.Stop(); err != nil {
			t.Error(err)
		}
	}()
	client, err := httpplatform.New(httpplatform.Options{BaseURL: f.Platform.URL})
	if err != nil {
		t.Fatal(err)
	}
	rows, err := client.ListInstances(ctx)
	if err != nil || len(rows) != 3 || rows[2].DataCentre != "dc-2" || rows[2].Role != storage.RoleBackend {
		t.Errorf("instances %+v, %v", rows, err)
	}
	server := f.Backends[0]
	crash, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+server.Address+"/patterns?call=c1&crash=1", nil)
	if resp, err := http.DefaultClient.Do(crash); err == nil {
		_ = resp.Body.Close()
		t.Error("the crashing request got a response")
	}
	if code := server.ExitCode(); code != backend.CrashExitCode {
		t.Errorf("exit code %d", code)
	}
	if err := f.Restart(ctx, server); err != nil {
		t.Fatal(err)
	}
	if err := server.SetFaults(ctx, backend.Faults{Draining: true}); err != nil {
		t.Fatal(err)
	}
	rows, err = client.ListInstances(ctx)
	if err != nil || rows[1].Address != server.Address || rows[1].State != storage.StateLeaving {
		t.Errorf("instances %+v, %v", rows, err)
	}
	judgement, err := f.Judge(ctx, &loadgen.Report{Calls: map[string]loadgen.CallCounts{"c1": {Sent: 1, NotRun: 1}}})
	if err != nil || judgement.Executions != 1 || judgement.RanButToldNotRun != 1 {
		t.Errorf("judgement %+v, %v", judgement, err)
	}
}

func TestTableAndSettingsAreValid(t *testing.T) {
	services, routes := Vltava()
	f := &Fleet{
		Platform: &Platform{URL: "http://127.0.0.1:1"}, addresses: newAddresses(),
		spec: Spec{Region: "praha", DataCentres: []string{"praha-1"}, Services: services, Routes: routes},
	}
	for _, service := range services {
		address, err := f.addresses.next()
		if err != nil {
			t.Fatal(err)
		}
		f.Backends = append(f.Backends, &Backend{Process: &Process{Name: serverName(service.Row.Name, 0)}, Service: service.Row.Name, Address: address, DataCentre: "praha-1"})
	}
	if err := table.Validate(f.Document()); err != nil {
		t.Error(err)
	}
	set, err := f.settings("entry-01", "praha-1")
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := writeJSON(path, set); err != nil {
		t.Fatal(err)
	}
	if _, err := settings.Load(path); err != nil {
		t.Error(err)
	}
}

func TestProcessThatEndsIsNotReady(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, "program")
	if err := os.WriteFile(program, []byte("#!/bin/sh\necho cannot start\nexit 3\n"), 0o700); err != nil {
		t.Fatal(err)
	}
	process, err := startProcess(dir, "p", program)
	if err != nil {
		t.Fatal(err)
	}
	silent := httptest.NewServer(http.NotFoundHandler())
	defer silent.Close()
	failure, ok := errors.AsType[*StartError](process.waitReady(t.Context(), silent.URL))
	if !ok || process.ExitCode() != 3 || !strings.Contains(failure.Output, "cannot start") {
		t.Errorf("got %v, exit code %d", failure, process.ExitCode())
	}
}

func TestStopEndsAFrozenProcess(t *testing.T) {
	process, err := startProcess(t.TempDir(), "p", "sleep", "600")
	if err != nil {
		t.Fatal(err)
	}
	process.Freeze()
	if !process.stop(time.Minute) {
		t.Error("the process had to be killed")
	}
}
