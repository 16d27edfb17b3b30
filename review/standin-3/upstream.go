package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeat is the time between two writes of an upstream's entry. An entry is removed after
	// missedHeartbeats of silence.
	heartbeat        = 1500 * time.Millisecond
	missedHeartbeats = 3
	// usualWork is the time that a request takes unless its header workHeader names another.
	usualWork  = 5 * time.Millisecond
	workHeader = "Work-Ms"
	slots      = 6
	// crashBegun is the begin of the path of requests that crash an upstream before it answers,
	// crashAnswering that of those that crash it while it answers, and crashSilent that of those that
	// take its machine along, so that its channels fall silent. backAfter is the time after which it
	// starts again.
	crashBegun     = "/reports/crash-begun/"
	crashAnswering = "/reports/crash-answering/"
	crashSilent    = "/reports/crash-silent/"
	backAfter      = 3 * time.Second
	// reportBytes is the length of an answer that breaks off, firstBytes what is sent of it.
	reportBytes = 100_000
	firstBytes  = 20_000
)

// run is one run of a request at an upstream.
type run struct {
	at       time.Time
	upstream string
	// tenant and key are the headers Tenant and X-Api-Key that came with the request.
	tenant, key string
	// lost is set if the upstream crashed meanwhile because of another request.
	lost bool
}

// journal records the runs by the id of the request.
type journal struct {
	mu   sync.Mutex
	runs map[string][]*run
}

func newJournal() *journal { return &journal{runs: make(map[string][]*run)} }

func (j *journal) add(request string, r run) *run {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.runs[request] = append(j.runs[request], &r)
	return &r
}

func (j *journal) setLost(r *run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	r.lost = true
}

func (j *journal) of(request string) (runs []run) {
	j.mu.Lock()
	defer j.mu.Unlock()
	for _, r := range j.runs[request] {
		runs = append(runs, *r)
	}
	return runs
}

// upstream is one lifetime of a stand-in for a sound upstream.
type upstream struct {
	id, service string
	store       *store
	journal     *journal
	record      *record
	busy        chan struct{}
	server      *http.Server

	mu    sync.Mutex
	conns map[net.Conn]bool
	// crashed is closed when the upstream crashes, reset when its channels are reset.
	crashed, reset chan struct{}
	once           sync.Once
}

// startUpstream starts an upstream that registers itself in the store until it crashes.
func startUpstream(id, service string, s *store, j *journal, r *record) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	u := &upstream{
		id: id, service: service, store: s, journal: j, record: r, busy: make(chan struct{}, slots),
		conns: make(map[net.Conn]bool), crashed: make(chan struct{}), reset: make(chan struct{}),
	}
	u.server = &http.Server{Handler: u, ConnState: u.track}
	go func() { _ = u.server.Serve(listener) }()
	go u.register(listener.Addr().String())
	return nil
}

// track keeps the open channels, which a crash resets.
func (u *upstream) track(conn net.Conn, state http.ConnState) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if state == http.StateClosed {
		delete(u.conns, conn)
	} else {
		u.conns[conn] = true
	}
}

// register writes the entry of the upstream. After a crash the store removes it, as it does after
// silence.
func (u *upstream) register(address string) {
	born := time.Now().UnixMilli()
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for seq := 1; ; seq++ {
		u.store.put("servers", u.id, map[string]any{
			"addr": address, "born": born,
			"info":   map[string]any{"service": u.service, "version": "v1", "zone": zone, "slots": slots},
			"status": map[string]any{"state": "ready", "seq": seq, "warmup_left": "0ms"},
		})
		select {
		case <-ticker.C:
		case <-u.crashed:
			time.Sleep(missedHeartbeats * heartbeat)
			u.store.remove("servers", u.id)
			return
		}
	}
}

// crash resets all channels, at once or when the next lifetime starts after backAfter.
func (u *upstream) crash(request string, silent bool) {
	u.once.Do(func() {
		close(u.crashed)
		u.record.line(time.Now(), "%s crashes while it runs %s", u.id, request)
		if !silent {
			u.resetAll()
		}
		time.AfterFunc(backAfter, func() {
			if silent {
				u.resetAll()
			}
			if err := startUpstream(u.id+"+", u.service, u.store, u.journal, u.record); err != nil {
				panic(err)
			}
		})
	})
	<-u.reset
	panic(http.ErrAbortHandler)
}

func (u *upstream) resetAll() {
	u.mu.Lock()
	for conn := range u.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	u.mu.Unlock()
	_ = u.server.Close()
	close(u.reset)
}

// ServeHTTP implements [http.Handler].
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if ended(u.crashed) {
		<-u.reset
		panic(http.ErrAbortHandler)
	}
	header := w.Header()
	header.Set("Instance-Id", u.id)
	header.Set("Upstream-Load", fmt.Sprintf("%d,0,%d", len(u.busy), slots))
	if r.URL.Path == "/healthz" {
		return
	}
	request := r.Header.Get("Request-Id")
	header.Set("Request-Id", request)
	_, err := io.Copy(io.Discard, r.Body)
	switch {
	case err != nil:
		panic(http.ErrAbortHandler)
	case request == "":
		header.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	case r.Header.Get("Expect-Instance") != "" && r.Header.Get("Expect-Instance") != u.id:
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case u.busy <- struct{}{}:
		defer func() { <-u.busy }()
	default:
		header.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	begun := u.journal.add(request, run{at: time.Now(), upstream: u.id, tenant: r.Header.Get("Tenant"), key: r.Header.Get("X-Api-Key")})
	u.work(r, request, begun, w)
	header.Set("Upstream-Signature", "signed-"+request)
	_, _ = io.WriteString(w, "result of "+request)
}

// work works on a request for its time, and crashes if it is one of those that crash upstreams.
func (u *upstream) work(r *http.Request, request string, begun *run, w http.ResponseWriter) {
	time.Sleep(usualWork)
	switch {
	case strings.HasPrefix(r.URL.Path, crashBegun):
		u.crash(request, false)
	case strings.HasPrefix(r.URL.Path, crashSilent):
		u.crash(request, true)
	case strings.HasPrefix(r.URL.Path, crashAnswering):
		w.Header().Set("Upstream-Signature", "signed-"+request)
		w.Header().Set("Content-Length", strconv.Itoa(reportBytes))
		_, _ = w.Write(make([]byte, firstBytes))
		_ = http.NewResponseController(w).Flush()
		time.Sleep(usualWork)
		u.crash(request, false)
	}
	ms, _ := strconv.Atoi(r.Header.Get(workHeader))
	select {
	case <-time.After(time.Duration(ms) * time.Millisecond):
	case <-u.crashed:
		u.journal.setLost(begun)
		<-u.reset
		panic(http.ErrAbortHandler)
	}
}
