package soak

import (
	"bufio"
	"bytes"
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	// allowedMemory is what the users allow a process, memory_mb of its settings.
	allowedMemory = 284 << 20
	// endlessTime is how long callers ask for endless answers at least. They go on until each
	// process has passed on more than allowedMemory, for at most maxEndlessTime.
	endlessTime    = 8 * time.Second
	maxEndlessTime = 60 * time.Second
	// endlessDeadline is the deadline of their requests, answerSlack the time after it by which a
	// caller has an answer on a busy machine.
	endlessDeadline = 1500 * time.Millisecond
	answerSlack     = 3 * time.Second
	// soundDeadline is the deadline of the requests to sound servers.
	soundDeadline = 8 * time.Second
	// formCallers is the number of callers of each form at each daemon, soundCallers that of the
	// callers of sound servers. Of the answers that are passed on, one caller reads all it gets.
	formCallers  = 2
	soundCallers = 6
	// sampleInterval is the time between two looks at the memory of a process.
	sampleInterval = 10 * time.Millisecond
)

var endlessSlow = flag.Int("endless-slow", 16, "number of callers of TestEndlessAnswers at each daemon that hardly read, for each form that is passed on")

// endlessForm is one way in which a server sends bytes without end.
type endlessForm struct {
	name string
	// begin is written once and unit again and again. ID stands for the ID of the request.
	begin, unit string
	// pause is the time between them.
	pause time.Duration
	// checks is set if status checks are answered like that, too.
	checks bool
	// streamed is set if the answer is passed on and can't be whole, whole if it is whole before
	// the endless bytes.
	streamed, whole bool
}

func endlessForms() []endlessForm {
	const (
		okHead  = "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n"
		signed  = okHead + "Upstream-Signature: sig-ID\r\n"
		chunked = "Transfer-Encoding: chunked\r\n\r\n"
	)
	text := strings.Repeat("x", 16<<10)
	chunk := "4000\r\n" + text + "\r\n"
	whole := signed + "Content-Length: 2\r\n\r\nID"
	return []endlessForm{
		{name: "no-status-line", unit: text},
		{name: "status-line", begin: "HTTP/1.1 200 ", unit: text},
		{name: "header", begin: okHead + "Own: ", unit: text},
		{name: "headers", begin: okHead, unit: strings.Repeat("Own: 1\r\n", 1<<10)},
		{name: "interim", unit: "HTTP/1.1 100 Continue\r\n\r\n"},
		{name: "interim-head", begin: "HTTP/1.1 103 Early Hints\r\n", unit: strings.Repeat("Link: <x>\r\n", 1<<10)},
		{name: "unsigned", begin: okHead + "\r\n", unit: text},
		{name: "other-request", begin: "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nUpstream-Signature: sig\r\n" + chunked, unit: chunk},
		{name: "refusal", begin: "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nRequest-Id: ID\r\n\r\n", unit: text},
		{name: "refusal-unproved", begin: "HTTP/1.1 429 X\r\nRequest-Id: ID\r\n\r\n", unit: text},
		{name: "error", begin: "HTTP/1.1 500 X\r\nRequest-Id: ID\r\nUpstream-Signature: sig\r\n\r\n", unit: text, streamed: true},
		{name: "chunk-size", begin: signed + chunked, unit: text},
		{name: "chunk-extension", begin: signed + chunked + "1;own=", unit: text},
		{name: "chunk-extensions", begin: signed + chunked, unit: strings.Repeat("1;own="+text[:1<<10]+"\r\nx\r\n", 16)},
		{name: "trailer", begin: signed + chunked + "0\r\nOwn: ", unit: text},
		{name: "trailers", begin: signed + chunked + "0\r\n", unit: strings.Repeat("Own: 1\r\n", 1<<10)},
		{name: "after-answer", begin: whole, unit: text, whole: true},
		{name: "idle", begin: whole, unit: text, pause: 20 * time.Millisecond, whole: true},
		{name: "check-head", unit: text, checks: true},
		{name: "check-body", begin: "HTTP/1.1 200 OK\r\nInstance-Id: INSTANCE\r\n" + chunked, unit: chunk, checks: true},
		{name: "body-chunked", begin: signed + chunked, unit: chunk, streamed: true},
		{name: "body-length", begin: signed + "Content-Length: 9000000000000000000\r\n\r\n", unit: text, streamed: true},
		{name: "body-to-close", begin: signed + "\r\n", unit: text, streamed: true},
	}
}

// endlessServer answers each request with endless bytes.
type endlessServer struct {
	form     endlessForm
	id       string
	listener net.Listener
	written  *atomic.Int64
	// refuses is the ID of the process whose connections are refused, 0 for none.
	refuses atomic.Int64
}

func (s *endlessServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

// refuse refuses the connections of a process, and closes idle ones at the next status check.
func (s *endlessServer) refuse(pid int) { s.refuses.Store(int64(pid)) }

func (s *endlessServer) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		if pid := s.refuses.Load(); pid != 0 && ownsSocket(int(pid), conn) {
			_ = conn.(*net.TCPConn).SetLinger(0)
			return
		}
		if req.URL.Path == "/healthz" && !s.form.checks {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nUpstream-Load: 0,0,200,100\r\nContent-Length: 0\r\n\r\n", s.id)
			continue
		}
		id := req.Header.Get("Request-Id")
		begin := strings.NewReplacer("INSTANCE", s.id, "ID", id, "Content-Length: 2", fmt.Sprint("Content-Length: ", len(id))).Replace(s.form.begin)
		_, err = io.WriteString(conn, begin)
		time.Sleep(s.form.pause)
		for data := []byte(s.form.unit); err == nil; {
			var n int
			n, err = conn.Write(data)
			s.written.Add(int64(n))
		}
		return
	}
}

// endlessRun is a fleet with servers that send endless bytes.
type endlessRun struct {
	*soak
	forms   []endlessForm
	faulty  []*endlessServer
	written map[string]*atomic.Int64
	// passed counts the bytes that callers read of endless answers, by daemon.
	passed  map[*daemon]*atomic.Int64
	answers atomic.Int64
	// slowest is the longest time, in nanoseconds, of a request to a sound server.
	slowest atomic.Int64
}

// addServers starts two faulty servers of each form, in a service of their own, and writes a
// table with a route to each form.
func (s *endlessRun) addServers() {
	route := func(prefix, kind, service string) map[string]any {
		return map[string]any{
			"name": "r" + prefix, "hostname": "h", "prefix": prefix, "kind": kind, "timeout": s.timeout,
			"latency_target": "300ms", "attempts": 2, "priority": 1, "service": service,
		}
	}
	routes := []any{route("/look/", "idempotent", "main"), route("/order/", "non_idempotent", "main")}
	services := []any{map[string]any{"name": "main", "health_path": "/healthz", "max_conns": 260}}
	for _, form := range s.forms {
		s.written[form.name] = &atomic.Int64{}
		routes = append(routes, route("/"+form.name+"/", "idempotent", form.name))
		services = append(services, map[string]any{"name": form.name, "health_path": "/healthz", "max_conns": 260})
		for n := range 2 {
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				s.t.Fatal(err)
			}
			server := &endlessServer{form: form, id: fmt.Sprint("i-", form.name, "-", n), listener: listener, written: s.written[form.name]}
			go server.accept()
			s.t.Cleanup(func() { listener.Close() })
			s.faulty = append(s.faulty, server)
			s.store.put("servers", server.id, map[string]any{
				"addr": listener.Addr().String(), "born": time.Now().UnixMilli(),
				"info":   map[string]any{"service": form.name, "version": "v1", "zone": "a", "slots": 200},
				"status": map[string]any{"state": "ready", "seq": 1, "warmup_left": "0ms"},
			})
		}
	}
	s.store.put("op", "config", map[string]any{
		"version": fmt.Sprintf("r%d", s.table.Add(3)), "routes": routes, "services": services,
		"limits": map[string]any{"max_body_bytes": 1 << 20, "idle_timeout": "15000ms"},
	})
}

// ask sends one request for an endless answer and reads the answer until the deadline, in full or
// hardly at all, and closes the connection.
func (s *endlessRun) ask(d *daemon, form endlessForm, slow bool) {
	conn, err := net.Dial("tcp", d.caller)
	if err != nil {
		s.t.Errorf("%s: %v", form.name, err)
		return
	}
	defer conn.Close()
	id := fmt.Sprint("q", s.sequence.Add(1))
	began := time.Now()
	_, _ = fmt.Fprintf(conn, "GET /%s/%s HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", form.name, id, id, endlessDeadline.Milliseconds())
	_ = conn.SetReadDeadline(began.Add(endlessDeadline + answerSlack))
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: http.MethodGet})
	if err != nil {
		s.t.Errorf("%s: no answer %v after the request: %v", form.name, time.Since(began), err)
		return
	}
	s.answers.Add(1)
	if resp.StatusCode == http.StatusServiceUnavailable && promisesNotRun(resp.StatusCode) {
		return
	}
	if slow && form.streamed {
		for time.Since(began) < endlessDeadline {
			n, err := resp.Body.Read(make([]byte, 16))
			s.passed[d].Add(int64(n))
			if err != nil {
				break
			}
			time.Sleep(50 * time.Millisecond)
		}
		return
	}
	n, err := io.Copy(io.Discard, resp.Body)
	switch {
	case form.streamed && resp.StatusCode < http.StatusInternalServerError:
		s.passed[d].Add(n)
		if err == nil {
			s.t.Errorf("%s: an endless answer is whole after %d bytes", form.name, n)
		}
	case form.whole && resp.StatusCode == http.StatusOK && err != nil:
		s.t.Errorf("%s: the whole answer before the endless bytes broke off: %v", form.name, err)
	case !form.whole && resp.StatusCode == http.StatusOK:
		s.t.Errorf("%s: bytes that are no answer got status 200", form.name)
	}
}

// useSound sends one request after another to sound servers, on a connection that is kept.
func (s *endlessRun) useSound(ctx context.Context, d *daemon, served *atomic.Int64) {
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	for ctx.Err() == nil {
		id := fmt.Sprint("q", s.sequence.Add(1))
		method, path := http.MethodGet, "/look/"+id
		if s.sequence.Load()%2 == 0 {
			method, path = http.MethodPost, "/order/"+id
		}
		began := time.Now()
		status, body := s.sendWithin(transport, d, method, path, id, soundDeadline, "")
		for took, slowest := int64(time.Since(began)), s.slowest.Load(); took > slowest && !s.slowest.CompareAndSwap(slowest, took); {
			slowest = s.slowest.Load()
		}
		if status != http.StatusOK || body != id+" "+path {
			s.t.Errorf("%s to a sound server got status %d and %q after %v at %s", method, status, body, time.Since(began), d.caller)
		} else {
			served.Add(1)
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// awaitBytes waits for endlessTime, and until all processes have passed on more bytes than they may
// keep.
func (s *endlessRun) awaitBytes(began time.Time) {
	for time.Since(began) < maxEndlessTime {
		enough := time.Since(began) >= endlessTime
		for _, passed := range s.passed {
			enough = enough && passed.Load() >= allowedMemory
		}
		if enough {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// memory returns a figure of /proc/PID/status in bytes, 0 if the process has ended.
func memory(pid int, name string) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range bytes.Lines(text) {
		if value, ok := bytes.CutPrefix(line, []byte(name+":")); ok {
			kb, _ := strconv.ParseInt(strings.Fields(string(value))[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// TestEndlessAnswers guards against processes that keep what a faulty server sends without end, run
// out of memory and end with the requests of other callers. Callers ask for endless answers of all
// forms at once, some of them reading hardly anything, while others use sound servers on kept
// connections. One process reaches no server and delegates its requests to the others.
func TestEndlessAnswers(t *testing.T) {
	s := &endlessRun{
		soak: newSoak(t, rand.New(rand.NewPCG(*first, 3)), "9000ms"), forms: endlessForms(),
		written: make(map[string]*atomic.Int64), passed: make(map[*daemon]*atomic.Int64),
	}
	for n := range 3 {
		s.addBackend(n)
	}
	s.addServers()
	binary := buildDaemon(t)
	for n := range 3 {
		d := newDaemon(t, binary, n, s.store, memoryMB)
		// The settings name one core.
		d.env = []string{"GOMAXPROCS=1"}
		d.start(s.log)
		s.daemons = append(s.daemons, d)
	}
	pids, peaks := make([]int, len(s.daemons)), make([]int64, len(s.daemons))
	for n, d := range s.daemons {
		s.passed[d] = &atomic.Int64{}
		d.mu.Lock()
		pids[n] = d.cmd.Process.Pid
		d.mu.Unlock()
	}
	time.Sleep(2 * time.Second)
	for _, b := range s.backends {
		b.link.refuse(func(conn net.Conn) bool { return ownsSocket(pids[0], conn) })
	}
	for _, server := range s.faulty {
		server.refuse(pids[0])
	}
	stops := &plannedStops{soak: s.soak}
	for _, d := range s.daemons {
		stops.usual(t, &stoppable{daemon: d}, 40)
	}

	sampled, stopSampling := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(sampled)
		for {
			for n, pid := range pids {
				peaks[n] = max(peaks[n], memory(pid, "RssAnon"))
			}
			select {
			case <-stopSampling:
				return
			case <-time.After(sampleInterval):
			}
		}
	}()
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		defer cancel()
		s.awaitBytes(time.Now())
	}()
	var wg sync.WaitGroup
	served := make([]atomic.Int64, len(s.daemons))
	for n, d := range s.daemons {
		for range soundCallers {
			wg.Go(func() { s.useSound(ctx, d, &served[n]) })
		}
		for _, form := range s.forms {
			callers := formCallers
			if form.streamed {
				callers = 1 + *endlessSlow
			}
			for n := range callers {
				wg.Go(func() {
					for ctx.Err() == nil {
						s.ask(d, form, n > 0)
						time.Sleep(50 * time.Millisecond)
					}
				})
			}
		}
	}
	wg.Wait()
	close(stopSampling)
	<-sampled
	for n, d := range s.daemons {
		t.Logf("daemon %d: peak of anonymous memory %d MB, VmHWM %d MB, %d requests to sound servers served, %d MB of endless answers read",
			n, peaks[n]>>20, memory(pids[n], "VmHWM")>>20, served[n].Load(), s.passed[d].Load()>>20)
		if ends := d.ends.Load(); ends > 0 {
			t.Errorf("daemon %d ended %d times", n, ends)
		}
		if peaks[n] >= allowedMemory {
			t.Errorf("daemon %d: %d MB of anonymous memory", n, peaks[n]>>20)
		}
		if passed := s.passed[d].Load(); passed < allowedMemory {
			t.Errorf("daemon %d passed on only %d MB of endless answers", n, passed>>20)
		}
		if served[n].Load() == 0 {
			t.Errorf("daemon %d served no request to a sound server", n)
		}
	}
	for _, form := range s.forms {
		t.Logf("%s: %d KB written", form.name, s.written[form.name].Load()>>10)
		if s.written[form.name].Load() == 0 {
			t.Errorf("no endless bytes in the form %s", form.name)
		}
	}
	t.Logf("%d answers; the slowest request to a sound server took %v", s.answers.Load(), time.Duration(s.slowest.Load()))
}
