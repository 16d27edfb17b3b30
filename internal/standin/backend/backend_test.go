package backend

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	_ "github.com/pomelolock/pomelolock/internal/fixedseed"
	"github.com/pomelolock/pomelolock/internal/standin/execlog"
	"github.com/pomelolock/pomelolock/outcome"
)

const serviceTime = 10 * time.Millisecond

func newServer(faults Faults) *Server {
	return New(Options{
		Name: "b1", Slots: 2, Connections: 3, ServiceTime: serviceTime, Distribution: DistributionFixed,
		CrashMarked: true, Faults: faults,
	})
}

// call serves one request and reports whether the handler aborted the
// connection.
func call(ctx context.Context, s *Server, target string, header http.Header) (recorder *httptest.ResponseRecorder, cut bool) {
	req := httptest.NewRequestWithContext(ctx, http.MethodPost, target, nil)
	for name, values := range header {
		req.Header[name] = values
	}
	recorder = httptest.NewRecorder()
	defer func() {
		if err, ok := recover().(error); ok {
			cut = errors.Is(err, http.ErrAbortHandler)
		}
	}()
	s.ServeHTTP(recorder, req)
	return recorder, false
}

func TestResponseIdentifiesRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(Faults{})
		header := http.Header{outcome.HeaderRequestID: {"r1"}, outcome.HeaderIdempotencyKey: {"k1"}}
		recorder, _ := call(t.Context(), s, "/work?call=c1&size=100", header)
		var response Response
		if err := json.Unmarshal(recorder.Body.Bytes(), &response); err != nil {
			t.Fatal(err)
		}
		if response.RequestID != "r1" || response.IdempotencyKey != "k1" || response.Call != "c1" || len(response.Padding) != 100 {
			t.Errorf("response %+v", response)
		}
		if got := recorder.Header().Get(HeaderChecksum); got != Checksum(recorder.Body.Bytes()) {
			t.Errorf("checksum %q", got)
		}
		if got := recorder.Header().Get(outcome.HeaderLoad); got != "0/2" {
			t.Errorf("load %q", got)
		}
		if got := recorder.Header().Get(outcome.HeaderRequestID); got != "r1" {
			t.Errorf("request ID %q", got)
		}
	})
}

func TestSlotsAreGrantedInArrivalOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(Faults{})
		var (
			mu    sync.Mutex
			order []int
			group sync.WaitGroup
		)
		for i := range 5 {
			group.Go(func() {
				call(t.Context(), s, "/work", nil)
				mu.Lock()
				defer mu.Unlock()
				order = append(order, i)
			})
			synctest.Wait()
			time.Sleep(time.Microsecond)
		}
		counts := s.Counts()
		if counts.Running != 2 || counts.Queued != 3 || counts.OverLimit != 3 {
			t.Errorf("counts %+v", counts)
		}
		group.Wait()
		if !slices.IsSorted(order) {
			t.Errorf("finished in order %v", order)
		}
		if counts := s.Counts(); counts.Running != 0 || counts.Finished != 5 || counts.MaxQueued != 3 {
			t.Errorf("counts %+v", counts)
		}
	})
}

func TestDeadlineAndCancellation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(Faults{SlowFactor: 100})
		short := http.Header{outcome.HeaderDeadline: {"5"}}
		if recorder, _ := call(t.Context(), s, "/work", short); recorder.Code != http.StatusGatewayTimeout || recorder.Header().Get(outcome.HeaderNotRun) != "" {
			t.Errorf("expired while running: %d %v", recorder.Code, recorder.Header())
		}
		ctx, cancel := context.WithCancel(t.Context())
		var group sync.WaitGroup
		for range 2 {
			group.Go(func() {
				if _, cut := call(ctx, s, "/work", nil); !cut {
					t.Error("a cancelled request received a response")
				}
			})
		}
		synctest.Wait()
		if recorder, _ := call(t.Context(), s, "/work", short); recorder.Code != http.StatusServiceUnavailable || recorder.Header().Get(outcome.HeaderNotRun) != "true" {
			t.Errorf("expired in the queue: %d %v", recorder.Code, recorder.Header())
		}
		cancel()
		group.Wait()
		want := Counts{Server: "b1", Slots: 2, Arrivals: 4, Executions: 3, OverLimit: 1, Cancelled: 2, Expired: 1, LeftQueue: 1, MaxQueued: 1}
		if counts := s.Counts(); counts != want {
			t.Errorf("counts %+v", counts)
		}
	})
}

func TestFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults Faults
		status int
		notRun bool
		cut    bool
		took   time.Duration
	}{
		{name: "none", status: 200, took: serviceTime},
		{name: "slow", faults: Faults{SlowFactor: 8}, status: 200, took: 8 * serviceTime},
		{name: "cold", faults: Faults{ColdFactor: 5, ColdMS: 100}, status: 200, took: 5 * serviceTime},
		{name: "fail fast", faults: Faults{FailPercent: 100}, status: 500},
		{name: "drained", faults: Faults{Draining: true}, status: 503, notRun: true},
		{name: "draining", faults: Faults{Draining: true, DrainRefuseMS: 100}, status: 200, took: serviceTime},
		{name: "truncated", faults: Faults{TruncatePercent: 100}, status: 200, cut: true, took: serviceTime},
		{name: "cut", faults: Faults{CutPercent: 100}, status: 200, cut: true, took: serviceTime},
		{name: "late", faults: Faults{LatePercent: 100, LateMS: 50}, status: 200, took: serviceTime + 50*time.Millisecond},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newServer(tc.faults)
				start := time.Now()
				recorder, cut := call(t.Context(), s, "/work", nil)
				if took := time.Since(start); took != tc.took {
					t.Errorf("took %v, want %v", took, tc.took)
				}
				if notRun := recorder.Header().Get(outcome.HeaderNotRun) == "true"; cut != tc.cut || notRun != tc.notRun || recorder.Code != tc.status {
					t.Errorf("cut %v, not run %v, status %d", cut, notRun, recorder.Code)
				}
				if draining := recorder.Header().Get(outcome.HeaderDraining) == "true"; draining != tc.faults.Draining {
					t.Errorf("draining header %v", draining)
				}
			})
		})
	}
}

func TestShedAndMisleadingLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newServer(Faults{Shed: true, MisleadingLoad: true})
		var group sync.WaitGroup
		for range 2 {
			group.Go(func() { call(t.Context(), s, "/work", nil) })
		}
		synctest.Wait()
		recorder, _ := call(t.Context(), s, "/work", nil)
		if recorder.Code != http.StatusServiceUnavailable || recorder.Header().Get(outcome.HeaderNotRun) != "true" {
			t.Errorf("got %d %v", recorder.Code, recorder.Header())
		}
		if load := recorder.Header().Get(outcome.HeaderLoad); load != "0/2" {
			t.Errorf("load %q, want the misleading 0/2", load)
		}
		group.Wait()
	})
}

func TestCrashedExecutionIsLogged(t *testing.T) {
	path := filepath.Join(t.TempDir(), "executions")
	log, err := execlog.Open(path)
	if err != nil {
		t.Fatal(err)
	}
	s := New(Options{
		Name: "b1", Slots: 1, CrashMarked: true, Log: log,
		Exit: func(code int) {
			if code != CrashExitCode {
				t.Errorf("exit code %d", code)
			}
			panic(http.ErrAbortHandler)
		},
	})
	call(t.Context(), s, "/work?crash=1", http.Header{outcome.HeaderIdempotencyKey: {"k1"}})
	entries, err := execlog.Read(path)
	if err != nil || len(entries) != 1 || entries[0].Event != execlog.EventStart || entries[0].IdempotencyKey != "k1" {
		t.Fatalf("entries %+v, %v", entries, err)
	}
}

func TestConnectionLimit(t *testing.T) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := newServer(Faults{})
	server := httptest.NewUnstartedServer(s)
	server.Listener = s.Listen(inner)
	server.Start()
	defer server.Close()
	for i := range 4 {
		conn, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, "GET /health HTTP/1.1\r\nHost: b\r\n\r\n")
		n, _ := conn.Read(make([]byte, 1))
		if open := n == 1; open != (i < 3) {
			t.Errorf("connection %d is open: %v", i, open)
		}
	}
	if counts := s.Counts(); counts.MaxConnections != 3 || counts.ConnectionsRefused != 1 || counts.Probes != 3 {
		t.Errorf("counts %+v", counts)
	}
}

func TestSlowEpisodesConserveWork(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		settings := Episodes{
			Factor:     rapid.Float64Range(1.5, 20).Draw(t, "factor"),
			DurationMS: rapid.Int64Range(1, 500).Draw(t, "duration"),
			MeanGapMS:  rapid.Int64Range(1, 2000).Draw(t, "gap"),
			Seed:       rapid.Uint64().Draw(t, "seed"),
		}
		s := newSchedule(settings, 7)
		start := time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "start"))
		first := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "first"))
		second := time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "second"))
		undivided := s.finishTime(start, first+second)
		if undivided < start+first+second || undivided > start+time.Duration(float64(first+second)*settings.Factor) {
			t.Fatalf("work %v from %v ends at %v", first+second, start, undivided)
		}
		parts := s.finishTime(s.finishTime(start, first), second)
		if difference := (undivided - parts).Abs(); difference > time.Microsecond {
			t.Fatalf("undivided work ends at %v, in two parts at %v", undivided, parts)
		}
	})
}

// TestColdServerCrashesAboveItsRate guards against a stand-in that would not show that
// instances overwhelm a cold server.
func TestColdServerCrashesAboveItsRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		exits := 0
		s := New(Options{
			Name: "b1", Slots: 9, ServiceTime: 10 * time.Millisecond, Distribution: DistributionFixed,
			Faults: Faults{ColdMS: 3000, ColdMost: 2}, Exit: func(code int) {
				if code == ColdExitCode {
					exits++
				}
			},
		})
		left := func() string {
			recorder, _ := call(t.Context(), s, PathHealth, nil)
			return recorder.Header().Get(HeaderColdMS)
		}
		if got := left(); got != "3000" {
			t.Errorf("cold for %s", got)
		}
		call(t.Context(), s, "/work", nil)
		time.Sleep(600 * time.Millisecond)
		call(t.Context(), s, "/work", nil)
		time.Sleep(600 * time.Millisecond)
		call(t.Context(), s, "/work", nil)
		if exits != 0 {
			t.Errorf("crashed at two requests a second")
		}
		call(t.Context(), s, "/work", nil)
		if exits != 1 {
			t.Errorf("%d crashes at three requests a second", exits)
		}
		time.Sleep(3 * time.Second)
		for range 5 {
			call(t.Context(), s, "/work", nil)
		}
		if got := left(); exits != 1 || got != "0" {
			t.Errorf("%d crashes when warm, cold for %s", exits, got)
		}
	})
}
