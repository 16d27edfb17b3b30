package loadgen

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pomelolock/pomelolock/internal/standin/backend"
	"github.com/pomelolock/pomelolock/internal/standin/execlog"
	"github.com/pomelolock/pomelolock/outcome"
)

// writeResponse writes a response to the call id. It truncates the body to length
// unless length is negative.
func writeResponse(w http.ResponseWriter, id string, length int) {
	data, _ := json.Marshal(backend.Response{Call: id, IdempotencyKey: "key-" + id})
	w.Header().Set(backend.HeaderChecksum, backend.Checksum(data))
	if length >= 0 {
		data = data[:length]
	}
	_, _ = w.Write(data)
}

func TestVerdicts(t *testing.T) {
	handlers := map[Verdict]http.HandlerFunc{
		Complete: func(w http.ResponseWriter, r *http.Request) {
			writeResponse(w, r.URL.Query().Get(backend.ParamCall), -1)
		},
		Foreign: func(w http.ResponseWriter, _ *http.Request) { writeResponse(w, "other", -1) },
		Corrupt: func(w http.ResponseWriter, r *http.Request) {
			writeResponse(w, r.URL.Query().Get(backend.ParamCall), 5)
		},
		Cut: func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Content-Length", "1000")
			writeResponse(w, r.URL.Query().Get(backend.ParamCall), 5)
		},
		Refused: func(w http.ResponseWriter, r *http.Request) {
			err := outcome.Error{Outcome: outcome.NotRun, Status: http.StatusServiceUnavailable, Code: outcome.CodeOverload}
			_ = err.Write(w, r.Header.Get(outcome.HeaderRequestID))
		},
		Unknown: func(w http.ResponseWriter, r *http.Request) {
			err := outcome.Error{Outcome: outcome.Unknown, Status: http.StatusBadGateway, Code: outcome.CodeServerFailed}
			_ = err.Write(w, r.Header.Get(outcome.HeaderRequestID))
		},
		Failed: func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) },
		TimedOut: func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		},
	}
	for want, handler := range handlers {
		t.Run(string(want), func(t *testing.T) {
			server := httptest.NewServer(handler)
			defer server.Close()
			client := newClient()
			defer client.CloseIdleConnections()
			opts := Options{Timeout: time.Minute}
			if want == TimedOut {
				opts.Timeout = 100 * time.Millisecond
			}
			c := call{id: "1-1", kind: Kind{Path: "/order", Keyed: true}, target: server.URL}
			if got := send(t.Context(), client, c, &opts); got.verdict != want {
				t.Errorf("verdict %+v, want %s", got, want)
			}
		})
	}
}

func TestTransportDoesNotRetryCalls(t *testing.T) {
	for _, keyed := range []bool{false, true} {
		t.Run(strconv.FormatBool(keyed), func(t *testing.T) {
			var arrivals atomic.Int32
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if arrivals.Add(1) > 1 {
					panic(http.ErrAbortHandler)
				}
				writeResponse(w, r.URL.Query().Get(backend.ParamCall), -1)
			}))
			defer server.Close()
			client := newClient()
			defer client.CloseIdleConnections()
			opts := Options{Timeout: time.Minute}
			c := call{id: "1-1", kind: Kind{Path: "/x", Keyed: keyed}, target: server.URL}
			send(t.Context(), client, c, &opts)
			if got := send(t.Context(), client, c, &opts); got.verdict != Cut || !got.reused {
				t.Errorf("result %+v", got)
			}
			if n := arrivals.Load(); n != 2 {
				t.Errorf("%d requests arrived, want 2", n)
			}
		})
	}
}

func TestLatencyIsMeasuredFromIntendedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		r := newRecorder(Options{Duration: time.Second}, start)
		time.Sleep(500 * time.Millisecond)
		r.record(call{id: "a"}, start, result{verdict: Complete})
		r.record(call{id: "b"}, time.Now(), result{verdict: Failed})
		time.Sleep(200 * time.Millisecond)
		r.record(call{id: "c"}, start, result{verdict: Complete})
		time.Sleep(time.Second)
		r.record(call{id: "d"}, time.Now(), result{verdict: Complete})
		report, err := r.report()
		if report.Goodput != 2 || report.Verdicts[Complete] != 3 {
			t.Errorf("goodput %v of %v", report.Goodput, report.Verdicts)
		}
		if err != nil || report.Latency.P50 < 499 || report.Latency.P50 > 501 || report.LongestGapMS != 1000 {
			t.Errorf("latency %+v, %v", report, err)
		}
	})
}

func TestSameSeedGivesSameSequence(t *testing.T) {
	sequence := func(seed uint64) []call {
		opts := Options{Seed: seed, Targets: []string{"a", "b"}, ResendPercent: 50, Kinds: []Kind{{Path: "/l", Weight: 1}, {Path: "/o", Keyed: true, Weight: 1}}}
		r := &runner{opts: opts, rng: newRand(seed), balancer: newBalancer(&opts)}
		var calls []call
		for i := range 50 {
			c, duplicate := r.draw(i)
			calls = append(calls, c)
			if duplicate != nil {
				calls = append(calls, *duplicate)
			}
		}
		return calls
	}
	if !reflect.DeepEqual(sequence(1), sequence(1)) || reflect.DeepEqual(sequence(1), sequence(2)) {
		t.Error("the sequence of calls is not determined by the seed")
	}
}

func TestJudge(t *testing.T) {
	start := func(id, key string) execlog.Entry {
		return execlog.Entry{Event: execlog.EventStart, IdempotencyKey: key, Path: "/x?call=" + id}
	}
	report := &Report{Calls: map[string]CallCounts{
		"a": {Sent: 1, Complete: 1},
		"b": {Sent: 2, Complete: 1, NotRun: 1},
		"c": {Sent: 1, NotRun: 1},
		"d": {Sent: 1, Complete: 1},
		"e": {Sent: 1, NotRun: 1},
	}}
	entries := []execlog.Entry{start("a", "k1"), start("a", "k1"), start("b", "k2"), start("c", ""), {Event: execlog.EventEnd, Path: "/x?call=e"}}
	got := Judge(report, entries, []backend.Counts{{OverLimit: 2, MaxConnections: 3}, {OverLimit: 1, MaxConnections: 2}})
	want := Judgement{Executions: 4, RepeatedKeys: 1, RanButToldNotRun: 1, WholeButNotRun: 1, OverLimit: 3, MaxConnections: 3}
	if got != want || got.Clean() {
		t.Errorf("judgement %+v, want %+v", got, want)
	}
}

func TestRunAppliesScript(t *testing.T) {
	server := backend.New(backend.Options{Name: "b", Slots: 6, Distribution: backend.DistributionFixed})
	work, admin := httptest.NewServer(server), httptest.NewServer(server.Admin())
	defer work.Close()
	defer admin.Close()
	path := filepath.Join(t.TempDir(), "script.json")
	text := `{"steps": [ // all fail from the start
		{"at_ms": 0, "rate": 400, "put": ["` + admin.URL + `/faults"], "body": {"fail_percent": 100}},
	]}`
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	script, err := ReadScript(path)
	if err != nil {
		t.Fatal(err)
	}
	report, err := Run(t.Context(), Options{
		Targets: []string{work.URL}, Kinds: []Kind{{Path: "/l", Weight: 1}}, Rate: 1, Duration: 300 * time.Millisecond, Seed: 1, Steps: script.Steps,
	})
	if err != nil {
		t.Fatal(err)
	}
	if report.Sent < 50 || report.Verdicts[Failed] == 0 {
		t.Errorf("sent %d, verdicts %v", report.Sent, report.Verdicts)
	}
	_, err = Run(t.Context(), Options{Targets: []string{work.URL}, Kinds: []Kind{{Weight: 1}}, Rate: MaxRate + 1, Duration: time.Second})
	if _, ok := errors.AsType[*OptionsError](err); !ok {
		t.Errorf("error %v", err)
	}
}

func TestCallersRetry(t *testing.T) {
	var arrivals atomic.Int32
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if arrivals.Add(1) <= 2 {
			w.WriteHeader(http.StatusInternalServerError)
			return
		}
		writeResponse(w, r.URL.Query().Get(backend.ParamCall), -1)
	})
	server := httptest.NewServer(handler)
	defer server.Close()
	opts := Options{Targets: []string{server.URL}, Timeout: time.Minute, Duration: time.Second, Retries: 2}
	r := &runner{opts: opts, client: newClient(), balancer: newBalancer(&opts), recorder: newRecorder(opts, time.Now())}
	defer r.client.CloseIdleConnections()
	r.perform(t.Context(), call{id: "1-1", kind: Kind{Keyed: true}, target: server.URL}, time.Now())
	report, err := r.recorder.report()
	if err != nil || report.Sent != 1 || report.Retried != 2 || report.Verdicts[Complete] != 1 || report.Calls["1-1"].Sent != 3 {
		t.Errorf("report %+v, %v", report, err)
	}
}

func TestBalancerSkipsTargetsThatAreNotReady(t *testing.T) {
	b := newBalancer(&Options{Targets: []string{"a", "b", "c"}})
	b.toggle(1)
	if got := []string{b.pick(0), b.pick(1), b.pick(2)}; !reflect.DeepEqual(got, []string{"a", "c", "c"}) {
		t.Errorf("picked %v", got)
	}
	b.toggle(0)
	b.toggle(2)
	if got := b.pick(1); got != "b" {
		t.Errorf("picked %s, want the requested target if none is ready", got)
	}
}
