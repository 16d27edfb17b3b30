package main

import (
	"context"
	"crypto/sha256"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// upstream is a stand-in for one backend server.
type upstream struct {
	w       *world
	id      string
	service string
	address string
	slots   int
	born    int64
	server  *http.Server

	running atomic.Int64
	queued  atomic.Int64
	sem     chan struct{}
	// handle, if set, answers requests in place of the usual way.
	handle func(w http.ResponseWriter, r *http.Request, body []byte)
	work   time.Duration

	mu  sync.Mutex
	seq int64
	// beating is set while the server keeps its entry.
	beating bool
	stop    chan struct{}
}

// startUpstream starts a server and registers it.
func (w *world) startUpstream(id, service string, work time.Duration) (*upstream, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	u := &upstream{
		w: w, id: id, service: service, address: listener.Addr().String(), slots: 6, born: time.Now().UnixMilli(),
		sem: make(chan struct{}, 6), work: work, beating: true, stop: make(chan struct{}),
	}
	u.server = &http.Server{Handler: u, IdleTimeout: 10 * time.Second}
	go func() { _ = u.server.Serve(listener) }()
	u.beat()
	go func() {
		for {
			select {
			case <-u.stop:
				return
			case <-time.After(1500 * time.Millisecond):
				u.beat()
			}
		}
	}()
	return u, nil
}

// beat writes the server's entry.
func (u *upstream) beat() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if !u.beating {
		return
	}
	u.seq++
	u.w.store.put("servers", u.id, map[string]any{
		"addr": u.address, "born": u.born,
		"info":   map[string]any{"service": u.service, "zone": zone, "version": "v1", "slots": u.slots},
		"status": map[string]any{"state": "ready", "seq": u.seq, "warmup_left": "0ms"},
	})
}

// crash ends the server at once.
func (u *upstream) crash() {
	u.mu.Lock()
	u.beating = false
	u.mu.Unlock()
	close(u.stop)
	_ = u.server.Close()
}

func (u *upstream) load() string {
	return fmt.Sprintf("%d,%d,%d,100", u.running.Load(), u.queued.Load(), u.slots)
}

// ServeHTTP implements [http.Handler].
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("Upstream-Load", u.load())
	id := r.Header.Get("Request-Id")
	if id == "" && r.URL.Path == "/healthz" {
		h.Set("Instance-Id", u.id)
		return
	}
	h.Set("Request-Id", id)
	h.Set("Keep-Alive", "timeout=10")
	if want := r.Header.Get("Expect-Instance"); want != "" && want != u.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if u.queued.Add(1) > 12+int64(u.slots) {
		u.queued.Add(-1)
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	deadline, _ := strconv.Atoi(r.Header.Get("Deadline-Ms"))
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(max(deadline, 1))*time.Millisecond)
	defer cancel()
	select {
	case u.sem <- struct{}{}:
		u.queued.Add(-1)
	case <-ctx.Done():
		u.queued.Add(-1)
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	u.running.Add(1)
	defer func() { <-u.sem; u.running.Add(-1) }()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		u.w.logf("%s broken body of %s: %v", u.id, id, err)
		return
	}
	u.w.ran(u, id, r, body)
	if u.handle != nil {
		u.handle(w, r.WithContext(ctx), body)
		return
	}
	u.serve(w, r.WithContext(ctx), body)
}

// serve works on a request and answers it.
func (u *upstream) serve(w http.ResponseWriter, r *http.Request, body []byte) {
	id := r.Header.Get("Request-Id")
	w.Header().Set("Upstream-Signature", "t."+id)
	select {
	case <-time.After(u.work):
	case <-r.Context().Done():
		// Has no effect if the channel is closed.
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	sum := sha256.Sum256(body)
	_, _ = fmt.Fprintf(w, "%s %s %s %s %x", u.id, id, r.Method, r.RequestURI, sum[:4])
}
