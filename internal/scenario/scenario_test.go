package scenario

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/pomelolock/pomelolock/internal/fleet"
	"github.com/pomelolock/pomelolock/internal/loadgen"
	"github.com/pomelolock/pomelolock/internal/standin/backend"
	"github.com/pomelolock/pomelolock/storage/memory"
)

// fleetSlot lets only one fleet run at a time.
var fleetSlot = make(chan struct{}, 1)

var bin string

func TestMain(m *testing.M) { os.Exit(runTests(m)) }

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "pomelolock-scenario-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if err := fleet.Build(context.Background(), dir, "standin", "pomelolockd"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	bin = dir
	return m.Run()
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata",
		Setup: func(env *testscript.Env) error {
			env.Values[stateKey{}] = &state{}
			return nil
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"fleet":    startFleet,
			"load":     startLoad,
			"after":    after,
			"entry":    entry,
			"backend":  backendCommand,
			"platform": platformCommand,
			"poison":   sendPoison,
			"judge":    judge,
			"check":    check,
		},
	})
}

type stateKey struct{}

type loadResult struct {
	report *loadgen.Report
	err    error
}

// state is the state of one script.
type state struct {
	fleet   *fleet.Fleet
	started time.Time
	load    chan loadResult
	figures map[string]float64
}

func stateOf(ts *testscript.TestScript) *state { return ts.Value(stateKey{}).(*state) }

// options overrides the defaults with arguments of the form name=value.
func options(ts *testscript.TestScript, args []string, defaults map[string]string) map[string]string {
	for _, arg := range args {
		name, value, _ := strings.Cut(arg, "=")
		if _, known := defaults[name]; !known {
			ts.Fatalf("unknown option %q", name)
		}
		defaults[name] = value
	}
	return defaults
}

func number(ts *testscript.TestScript, text string) int {
	n, err := strconv.Atoi(text)
	ts.Check(err)
	return n
}

func duration(ts *testscript.TestScript, text string) time.Duration {
	d, err := time.ParseDuration(text)
	ts.Check(err)
	return d
}

func startFleet(ts *testscript.TestScript, _ bool, args []string) {
	opts := options(ts, args, map[string]string{"entries": "3", "lag": "300ms", "seed": "1"})
	services, routes := fleet.Vltava()
	for i, servers := range []int{4, 3, 2} {
		services[i].Servers = servers
	}
	fleetSlot <- struct{}{}
	ts.Defer(func() { <-fleetSlot })
	f, err := fleet.StartReady(context.Background(), fleet.Spec{
		Bin: bin, Dir: ts.MkAbs("."), Region: "praha", DataCentres: []string{"praha-1"},
		Entries: number(ts, opts["entries"]), Services: services, Routes: routes,
		Seed: uint64(number(ts, opts["seed"])), BalancerLag: duration(ts, opts["lag"]),
	})
	ts.Check(err)
	stateOf(ts).fleet = f
	ts.Defer(func() { ts.Check(f.Stop()) })
}

func startLoad(ts *testscript.TestScript, _ bool, args []string) {
	opts := options(ts, args, map[string]string{
		"rate": "200", "for": "3s", "orders": "40", "resend": "20", "retries": "0", "seed": "1", "balancer": "0s",
	})
	s := stateOf(ts)
	orders := number(ts, opts["orders"])
	settings := loadgen.Options{
		Targets: s.fleet.Targets(),
		Kinds: []loadgen.Kind{
			{Path: "/patterns/search", Weight: 100 - orders},
			{Path: "/orders", Keyed: true, Weight: orders},
		},
		Rate:          float64(number(ts, opts["rate"])),
		Duration:      duration(ts, opts["for"]),
		Seed:          uint64(number(ts, opts["seed"])),
		ResendPercent: number(ts, opts["resend"]),
		ResendAfter:   time.Millisecond,
		Retries:       number(ts, opts["retries"]),
		RetryPause:    100 * time.Millisecond,
	}
	if opts["balancer"] != "none" {
		settings.ReadyURLs = s.fleet.ReadyURLs()
		settings.BalancerLag = duration(ts, opts["balancer"])
	}
	s.load, s.started = make(chan loadResult, 1), time.Now()
	go func() {
		report, err := loadgen.Run(context.Background(), settings)
		s.load <- loadResult{report, err}
	}()
}

func after(ts *testscript.TestScript, _ bool, args []string) {
	time.Sleep(time.Until(stateOf(ts).started.Add(duration(ts, args[0]))))
}

func entry(ts *testscript.TestScript, _ bool, args []string) {
	s := stateOf(ts)
	if args[0] == "start" {
		_, err := s.fleet.StartEntry(context.Background())
		ts.Check(err)
		return
	}
	for _, name := range args[1:] {
		e := s.fleet.Entry(name)
		if e == nil {
			ts.Fatalf("no daemon %q", name)
		}
		switch args[0] {
		case "stop":
			e.Terminate()
		case "stopped":
			if code := e.ExitCode(); code != 0 {
				ts.Fatalf("%s ended with exit code %d", name, code)
			}
		case "kill":
			e.Kill()
		case "freeze":
			e.Freeze()
		case "wake":
			e.Wake()
		default:
			ts.Fatalf("unknown action %q", args[0])
		}
	}
}

func backendCommand(ts *testscript.TestScript, _ bool, args []string) {
	ctx := context.Background()
	f := stateOf(ts).fleet
	server := f.Backend(args[1])
	if server == nil {
		ts.Fatalf("no backend server %q", args[1])
	}
	switch args[0] {
	case "faults":
		var faults backend.Faults
		ts.Check(json.Unmarshal([]byte(args[2]), &faults))
		ts.Check(server.SetFaults(ctx, faults))
	case "kill":
		server.Kill()
	case "restart":
		ts.Check(f.Restart(ctx, server))
	default:
		ts.Fatalf("unknown action %q", args[0])
	}
}

func platformCommand(ts *testscript.TestScript, _ bool, args []string) {
	var faults memory.Faults
	ts.Check(json.Unmarshal([]byte(args[1]), &faults))
	ts.Check(stateOf(ts).fleet.Platform.SetFaults(context.Background(), faults))
}

// sendPoison sends a request that crashes backend servers to the daemons in turn.
func sendPoison(ts *testscript.TestScript, _ bool, args []string) {
	s := stateOf(ts)
	targets := s.fleet.Targets()
	s.figures = make(map[string]float64)
	for i := range number(ts, args[0]) {
		url := targets[i%len(targets)] + "/patterns/search?call=poison&crash=1"
		resp, err := http.Get(url)
		ts.Check(err)
		var body struct {
			Code string `json:"code"`
		}
		ts.Check(json.NewDecoder(resp.Body).Decode(&body))
		_ = resp.Body.Close()
		s.figures[body.Code]++
	}
	for _, server := range s.fleet.Backends {
		select {
		case <-server.Done():
			s.figures["servers_lost"]++
		default:
		}
	}
	ts.Logf("figures %v", s.figures)
}

func judge(ts *testscript.TestScript, _ bool, _ []string) {
	s := stateOf(ts)
	result := <-s.load
	ts.Check(result.err)
	judgement, err := s.fleet.Judge(context.Background(), result.report)
	ts.Check(err)
	s.figures = figures(result.report, judgement)
	ts.Logf("verdicts %v, duplicates %v, codes %v, judgement %+v", result.report.Verdicts, result.report.Duplicates, result.report.Codes, judgement)
}

func figures(r *loadgen.Report, j loadgen.Judgement) map[string]float64 {
	all := map[string]float64{
		"sent":                 float64(r.Sent),
		"retried":              float64(r.Retried),
		"executions":           float64(j.Executions),
		"repeated_keys":        float64(j.RepeatedKeys),
		"ran_but_told_not_run": float64(j.RanButToldNotRun),
		"whole_but_not_run":    float64(j.WholeButNotRun),
		"over_limit":           float64(j.OverLimit),
		"refused_draining":     float64(j.RefusedDraining),
	}
	for _, verdict := range loadgen.Verdicts {
		all[string(verdict)] = float64(r.Verdicts[verdict] + r.Duplicates[verdict])
	}
	for code, n := range r.Codes {
		all[code] = float64(n)
	}
	return all
}

func check(ts *testscript.TestScript, _ bool, args []string) {
	got := stateOf(ts).figures[args[0]]
	want := float64(number(ts, args[2]))
	holds := map[string]bool{
		"==": got == want, "!=": got != want, "<": got < want, "<=": got <= want, ">": got > want, ">=": got >= want,
	}
	if !holds[args[1]] {
		ts.Fatalf("%s is %v, want %s %v", args[0], got, args[1], want)
	}
}
