package cli_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/pomelolock/pomelolock/burn"
	"github.com/pomelolock/pomelolock/internal/cli"
	"github.com/pomelolock/pomelolock/internal/standin/platformd"
	"github.com/pomelolock/pomelolock/operator"
	"github.com/pomelolock/pomelolock/peer/peertest"
	"github.com/pomelolock/pomelolock/storage"
	"github.com/pomelolock/pomelolock/storage/memory"
	"github.com/pomelolock/pomelolock/table"
)

const token = "correct horse"

func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"pomelolock": func() { os.Exit(cli.Main()) },
	})
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 "testdata/script",
		RequireExplicitExec: true,
		Setup:               setup,
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"exits":  exits,
			"faults": setFaults,
			"freeze": freeze,
			"cutoff": dropResponse,
		},
	})
}

type fleetKey struct{}

// testFleet is a platform and three instances that serve HTTP on loopback.
type testFleet struct {
	mem       *memory.Store
	instances map[string]*testInstance
}

// testInstance has the parts of a daemon that the tool uses.
type testInstance struct {
	id       string
	sync     *table.Sync
	current  *table.Current
	recorder *burn.Recorder
	// freeze stops the instance from responding and from receiving messages.
	freeze func()
	// dropNext makes the instance drop its response to the next acceptance.
	dropNext atomic.Bool
}

func setup(env *testscript.Env) error {
	f := &testFleet{mem: memory.New(), instances: make(map[string]*testInstance)}
	env.Values[fleetKey{}] = f
	server := httptest.NewServer(platformd.NewHandler(f.mem))
	env.Defer(server.Close)
	network := peertest.NewNetwork(time.Millisecond)
	ids := []string{"entry-1", "entry-2", "entry-3"}
	for _, id := range ids {
		if err := f.start(env, network, id, ids); err != nil {
			return err
		}
	}
	file := filepath.Join(env.WorkDir, "token")
	env.Setenv("POMELOLOCK_PLATFORM", server.URL)
	env.Setenv("POMELOLOCK_TOKEN_FILE", file)
	return os.WriteFile(file, []byte(token+"\n"), 0o600)
}

func (f *testFleet) start(env *testscript.Env, network *peertest.Network, id string, ids []string) error {
	i := &testInstance{id: id, current: table.NewCurrent(), recorder: burn.NewRecorder()}
	view := idView{self: id, ids: ids}
	i.sync = table.NewSync(table.SyncOptions{
		Store:     table.NewStore(f.mem, f.mem),
		Messenger: network.Join(id),
		View:      view,
		Current:   i.current,
		PollEvery: time.Hour,
	})
	keeper := burn.NewKeeper(burn.Options{Recorder: i.recorder, Objects: f.mem, View: view, Current: i.current})
	server := httptest.NewServer(i.dropResponses(operator.NewHandler(operator.Options{
		Reporter:     i,
		Acceptor:     i.sync,
		BurnReporter: f,
		Metrics:      http.NotFoundHandler(),
		TokenSHA256:  operator.HashToken(token),
	})))
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { i.sync.Run(ctx) })
	wg.Go(func() { keeper.Run(ctx) })
	i.freeze = sync.OnceFunc(func() {
		network.Leave(id)
		server.Close()
	})
	env.Defer(func() {
		cancel()
		wg.Wait()
		server.Close()
	})
	f.instances[id] = i
	return f.mem.SetInstance(ctx, storage.Instance{
		ID: id, Role: storage.RoleEntry, DataCentre: "praha-1", State: storage.StateLive,
		OperatorAddress: strings.TrimPrefix(server.URL, "http://"),
	})
}

// dropResponses breaks the connection after an acceptance took effect if dropNext
// is set.
func (i *testInstance) dropResponses(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodPost && i.dropNext.Swap(false) {
			next.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

func (f *testFleet) Burn(ctx context.Context) (burn.Report, error) {
	return burn.BuildReport(ctx, f.mem, nil, time.Now())
}

func (i *testInstance) Status() operator.Status {
	status := operator.Status{Instance: storage.Instance{ID: i.id, DataCentre: "praha-1"}, Build: "test"}
	if snapshot := i.current.Load(); snapshot != nil {
		status.TableVersion = snapshot.Version()
	}
	if err := i.sync.Ready(); err != nil {
		status.NotReady = err.Error()
	}
	return status
}

func (i *testInstance) Backends() []operator.Backend {
	if i.id != "entry-2" {
		return nil
	}
	return []operator.Backend{{Service: "catalogue", Name: "cat-1", DataCentre: "praha-1", Slots: 6, Leased: 4, Window: 6, State: "serving", LatencyMS: 4}}
}

type idView struct {
	self string
	ids  []string
}

func (v idView) Self() storage.Instance { return storage.Instance{ID: v.self} }

func (v idView) Entries() []storage.Instance {
	var entries []storage.Instance
	for _, id := range v.ids {
		entries = append(entries, storage.Instance{ID: id})
	}
	return entries
}

func (v idView) LeavingServer(string) bool { return false }

func (v idView) Changed() <-chan struct{} { return nil }

func fleetOf(ts *testscript.TestScript) *testFleet {
	return ts.Value(fleetKey{}).(*testFleet)
}

// exits runs a command and compares its exit code.
func exits(ts *testscript.TestScript, neg bool, args []string) {
	want, err := strconv.Atoi(args[0])
	if err != nil || neg {
		ts.Fatalf("usage: exits CODE COMMAND...")
	}
	got := 0
	var exit *exec.ExitError
	if err := ts.Exec(args[1], args[2:]...); errors.As(err, &exit) {
		got = exit.ExitCode()
	} else if err != nil {
		ts.Fatalf("%v", err)
	}
	if got != want {
		ts.Fatalf("exit code %d, want %d", got, want)
	}
}

// setFaults sets the faults of the platform, as in "faults down" or
// "faults lose=1".
func setFaults(ts *testscript.TestScript, _ bool, args []string) {
	var faults memory.Faults
	for _, arg := range args {
		name, value, _ := strings.Cut(arg, "=")
		n, _ := strconv.Atoi(value)
		switch name {
		case "down":
			faults.Down = true
		case "lose":
			faults.LoseAnswers = n
		case "none":
		default:
			ts.Fatalf("unknown fault %s", name)
		}
	}
	fleetOf(ts).mem.SetFaults(faults)
}

// dropResponse makes an instance drop its response to the next acceptance.
func dropResponse(ts *testscript.TestScript, _ bool, args []string) {
	fleetOf(ts).instances[args[0]].dropNext.Store(true)
}

// freeze stops an instance from responding while it is still in the instance
// list.
func freeze(ts *testscript.TestScript, _ bool, args []string) {
	fleetOf(ts).instances[args[0]].freeze()
}
