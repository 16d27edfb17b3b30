package proxy_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"

	"github.com/pomelolock/pomelolock/claim"
	"github.com/pomelolock/pomelolock/loadbalancer"
	"github.com/pomelolock/pomelolock/outcome"
	"github.com/pomelolock/pomelolock/proxy"
	"github.com/pomelolock/pomelolock/table"
)

// fault is the way in which a scripted server fails a request.
type fault int

const (
	faultNone fault = iota
	faultRefuseDial
	// faultCloseOnAccept acts like faultCloseAfterFirstByte: the server chooses
	// the fault when the first byte of a request has arrived.
	faultCloseOnAccept
	faultCloseAfterFirstByte
	faultRefuseNotRun
	// faultCopyRefusal refuses a request once. On the connection of a refusal, the server writes
	// that once more before it runs the next request.
	faultCopyRefusal
	faultCloseAfterRun
	faultCloseMidResponse
	faultCloseMidLongResponse
	faultUnframedResponse
	faultWrongRequestID
	faultServerError
	faultCount
)

const responseText = "whole answer of "

// scriptedServer serves each request with the next fault of its script and
// counts the runs of each request ID.
type scriptedServer struct {
	name     string
	listener net.Listener
	script   func() fault

	mu      sync.Mutex
	ran     map[string]int
	refused map[string]bool
	// copies holds the refusals on open connections.
	copies map[net.Conn]string
}

func startServer(t testing.TB, name string, script func() fault) *scriptedServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &scriptedServer{name: name, listener: listener, script: script, ran: make(map[string]int), refused: make(map[string]bool), copies: make(map[net.Conn]string)}
	go s.accept()
	t.Cleanup(func() { listener.Close() })
	return s
}

func (s *scriptedServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

func (s *scriptedServer) runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ran[id]
}

func (s *scriptedServer) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		if _, err := r.Peek(1); err != nil {
			return
		}
		if !s.exchange(conn, r, s.script()) {
			return
		}
	}
}

// exchange serves one request and reports whether the connection stays open.
func (s *scriptedServer) exchange(conn net.Conn, r *bufio.Reader, f fault) bool {
	if f == faultCloseAfterFirstByte || f == faultCloseOnAccept {
		return false
	}
	req, err := http.ReadRequest(r)
	if err != nil {
		return false
	}
	if _, err := io.Copy(io.Discard, req.Body); err != nil {
		return false
	}
	id := req.Header.Get(outcome.HeaderRequestID)
	refusal := fmt.Sprintf("HTTP/1.1 503 Busy\r\n%s: true\r\n%s: %s\r\nContent-Length: 0\r\n\r\n",
		outcome.HeaderNotRun, outcome.HeaderRequestID, id)
	if f == faultRefuseNotRun || f == faultCopyRefusal && s.refuseOnce(conn, id, refusal) {
		_, _ = io.WriteString(conn, refusal)
		return true
	}
	s.mu.Lock()
	s.ran[id]++
	_, _ = io.WriteString(conn, s.copies[conn])
	s.mu.Unlock()
	return respond(conn, id, f)
}

// refuseOnce reports whether the request has not been refused before, and records the refusal.
func (s *scriptedServer) refuseOnce(conn net.Conn, id, refusal string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.refused[id] {
		return false
	}
	s.refused[id] = true
	s.copies[conn] = refusal
	return true
}

func respond(conn net.Conn, id string, f fault) bool {
	text := responseText + id
	status := "200 OK"
	switch f {
	case faultCloseAfterRun:
		return false
	case faultWrongRequestID:
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: other\r\nContent-Length: 5\r\n\r\nother", outcome.HeaderRequestID)
		return true
	case faultUnframedResponse:
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nConnection: close\r\n\r\n%s", outcome.HeaderRequestID, id, text[:3])
		return false
	case faultCloseMidResponse:
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", outcome.HeaderRequestID, id, len(text), text[:3])
		return false
	case faultCloseMidLongResponse:
		const chunk = 200 << 10
		fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", outcome.HeaderRequestID, id, chunk)
		_, _ = conn.Write(make([]byte, chunk))
		_, _ = conn.Write([]byte("\r\n"))
		return false
	case faultServerError:
		status = "500 Failed"
	default:
	}
	fmt.Fprintf(conn, "HTTP/1.1 %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", status, outcome.HeaderRequestID, id, len(text), text)
	return true
}

// firstServerBalancer hands out the first server that is not excluded.
type firstServerBalancer struct{ servers []table.Server }

func (b *firstServerBalancer) Acquire(ctx context.Context, req loadbalancer.Request) (*loadbalancer.Permit, error) {
	for _, server := range b.servers {
		if !slices.Contains(req.Exclude, server.Name) {
			return loadbalancer.NewPermit(server, func(loadbalancer.Result) {}), ctx.Err()
		}
	}
	return nil, &loadbalancer.NoServerError{Service: req.Service}
}

// memoryClaims is a [claim.Claimer] that keeps its claims in memory.
type memoryClaims struct {
	mu   sync.Mutex
	keys map[string]claim.Decision
}

func (m *memoryClaims) Claim(_ context.Context, req claim.Request) (claim.Decision, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if decision, ok := m.keys[req.Key]; ok {
		return decision, nil
	}
	m.keys[req.Key] = claim.Decision{Verdict: claim.InProgress}
	return claim.Decision{Verdict: claim.Run}, nil
}

func (m *memoryClaims) Finish(req claim.Request, state claim.EndState, response *claim.Response) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case state == claim.EndNotRun:
		delete(m.keys, req.Key)
	case state == claim.EndUnknown:
		m.keys[req.Key] = claim.Decision{Verdict: claim.Unknown}
	case response == nil:
		m.keys[req.Key] = claim.Decision{Verdict: claim.Finished}
	default:
		m.keys[req.Key] = claim.Decision{Verdict: claim.Replay, Response: response}
	}
}

// testbed is a proxy in front of scripted servers.
type testbed struct {
	proxy   *proxy.Proxy
	front   *httptest.Server
	servers []*scriptedServer
}

func newTestbed(t testing.TB, change func(*table.Document), scripts ...func() fault) *testbed {
	return newTestbedWith(t, nil, change, scripts...)
}

func newTestbedWith(t testing.TB, options func(*proxy.Options), change func(*table.Document), scripts ...func() fault) *testbed {
	bed := &testbed{}
	doc := table.Document{
		Version: 1,
		Services: []table.Service{{
			Name: "stock", DeadlineMS: 5000, MaxBodyBytes: 1 << 20, RetryPercent: 100, ChecksMark: true,
		}},
		Routes: []table.Route{
			{PathPrefix: "/lookup", Service: "stock", Repeatable: true},
			{PathPrefix: "/order", Service: "stock"},
		},
	}
	for i, script := range scripts {
		s := startServer(t, fmt.Sprintf("server-%d", i), script)
		bed.servers = append(bed.servers, s)
		doc.Servers = append(doc.Servers, table.Server{
			Service: "stock", Name: s.name, Address: s.listener.Addr().String(), Weight: 1, Slots: 6,
		})
	}
	if change != nil {
		change(&doc)
	}
	current := table.NewCurrent()
	current.Swap(table.Compile(doc))
	opts := proxy.Options{
		Current: current, Balancer: &firstServerBalancer{doc.Servers}, Instance: "entry-1",
		Claimer: &memoryClaims{keys: make(map[string]claim.Decision)},
		Logger:  slog.New(slog.DiscardHandler),
	}
	if options != nil {
		options(&opts)
	}
	bed.proxy = proxy.New(opts)
	bed.front = httptest.NewUnstartedServer(bed.proxy)
	bed.front.Config.ErrorLog = slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)
	bed.front.Start()
	t.Cleanup(bed.front.Close)
	return bed
}

func (b *testbed) runs(id string) int {
	total := 0
	for _, s := range b.servers {
		total += s.runs(id)
	}
	return total
}
