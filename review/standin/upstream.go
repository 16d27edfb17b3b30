package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// upstream is a stand-in for a backend server, as PROTOCOL.md describes it. It serves one
// request at a time on a channel, works on slots requests at once and queues a few more.
type upstream struct {
	id, service, address string
	born                 int64
	slots, queue         int
	// load is set if the upstream tells its load; its health path answers at once then, and
	// otherwise waits for a slot or is rejected in the same way as any other request.
	load   bool
	work   func() time.Duration
	runs   *runs
	record *record
	store  *store
	// extra is the share of the answers that are followed by a second copy, late: at the
	// point where the next answer is expected on that channel.
	extra func() float64
	// size is the length of a body, breaks the share of the answers that break off.
	size   func() int
	breaks func() float64

	listener net.Listener
	tokens   chan struct{}
	stop     chan struct{}

	mu               sync.Mutex
	random           *rand.Rand
	running, waiting int
	state            string
	seq              int
	answers, copies  int
}

func (u *upstream) start() error {
	var err error
	if u.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return err
	}
	u.address, u.born, u.state = u.listener.Addr().String(), time.Now().UnixMilli(), "ready"
	u.tokens, u.stop = make(chan struct{}, u.slots), make(chan struct{})
	go func() {
		for {
			conn, err := u.listener.Accept()
			if err != nil {
				return
			}
			go u.serve(conn)
		}
	}()
	u.register()
	go func() {
		ticker := time.NewTicker(1500 * time.Millisecond)
		defer ticker.Stop()
		for {
			select {
			case <-u.stop:
				return
			case <-ticker.C:
				u.register()
			}
		}
	}()
	return nil
}

// register writes the upstream's entry to the store.
func (u *upstream) register() {
	u.mu.Lock()
	u.seq++
	value := map[string]any{
		"addr": u.address, "born": u.born,
		"info":   map[string]any{"service": u.service, "version": "v1", "zone": "zone-a", "slots": u.slots},
		"status": map[string]any{"state": u.state, "seq": u.seq, "warmup_left": "0ms"},
	}
	u.mu.Unlock()
	u.store.put("servers", u.id, value)
}

func (u *upstream) close() {
	close(u.stop)
	u.listener.Close()
}

// draw returns true with the given probability.
func (u *upstream) draw(p float64) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	return p > 0 && u.random.Float64() < p
}

// below returns a random number below n.
func (u *upstream) below(n int) int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.random.IntN(n)
}

// enter takes a slot, or waits for one in the queue. It reports false if the upstream is full
// or ctx ends first.
func (u *upstream) enter(ctx context.Context) (entered, full bool) {
	u.mu.Lock()
	if u.waiting >= u.queue && u.running >= u.slots {
		u.mu.Unlock()
		return false, true
	}
	u.waiting++
	u.mu.Unlock()
	defer func() {
		u.mu.Lock()
		u.waiting--
		u.mu.Unlock()
	}()
	select {
	case u.tokens <- struct{}{}:
		u.mu.Lock()
		u.running++
		u.mu.Unlock()
		return true, false
	case <-ctx.Done():
		return false, false
	}
}

func (u *upstream) leave() {
	u.mu.Lock()
	u.running--
	u.mu.Unlock()
	<-u.tokens
}

// serve serves one channel.
func (u *upstream) serve(conn net.Conn) {
	defer conn.Close()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	type message struct {
		req  *http.Request
		body []byte
	}
	messages := make(chan message)
	go func() {
		// The request in work is dropped when its channel closes.
		defer cancel()
		reader := bufio.NewReader(conn)
		for {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			body, err := io.ReadAll(req.Body)
			if err != nil {
				return
			}
			select {
			case messages <- message{req, body}:
			case <-ctx.Done():
				return
			}
		}
	}()
	late := ""
	for {
		select {
		case <-ctx.Done():
			return
		case m := <-messages:
			if late != "" {
				// The second copy of the answer before this request.
				u.record.add("%s sends a second copy of %q while the answer to %s %s is expected", u.id, firstLines(late), m.req.URL.Path, m.req.Header.Get("Request-Id"))
				if _, err := io.WriteString(conn, late); err != nil {
					return
				}
				late = ""
			}
			answer := u.answer(ctx, m.req, m.body)
			if answer == "" {
				return
			}
			if u.breaks != nil && m.req.URL.Path != "/healthz" && u.draw(u.breaks()) {
				n := u.below(len(answer))
				u.record.add("%s breaks off the answer to %s after %d of %d bytes", u.id, m.req.Header.Get("Request-Id"), n, len(answer))
				_, _ = io.WriteString(conn, answer[:n])
				return
			}
			if _, err := io.WriteString(conn, answer); err != nil {
				return
			}
			u.mu.Lock()
			u.answers++
			u.mu.Unlock()
			if u.extra != nil && u.draw(u.extra()) {
				late = answer
				u.mu.Lock()
				u.copies++
				u.mu.Unlock()
			}
		}
	}
}

func firstLines(answer string) string {
	head, _, _ := strings.Cut(answer, "\r\n\r\n")
	return strings.ReplaceAll(head, "\r\n", " | ")
}

// answer works on a request and returns its answer, or "" if the channel is to be closed.
func (u *upstream) answer(ctx context.Context, req *http.Request, body []byte) string {
	id := req.Header.Get("Request-Id")
	headers := ""
	if id != "" {
		headers += "Request-Id: " + id + "\r\n"
	}
	if req.URL.Path == "/healthz" {
		return u.health(ctx)
	}
	if expect := req.Header.Get("Expect-Instance"); expect != "" && expect != u.id {
		return "HTTP/1.1 421 Misdirected Request\r\n" + headers + "Instance-Id: " + u.id + "\r\nContent-Length: 0\r\n\r\n"
	}
	if ms, err := strconv.Atoi(req.Header.Get("Deadline-Ms")); err == nil {
		limited, cancel := context.WithTimeout(ctx, time.Duration(ms)*time.Millisecond)
		defer cancel()
		ctx = limited
	}
	entered, _ := u.enter(ctx)
	if !entered {
		u.record.add("%s rejects %s", u.id, id)
		return "HTTP/1.1 503 Service Unavailable\r\n" + headers + "Not-Executed: 1\r\n" + u.loadHeader() + "Content-Length: 0\r\n\r\n"
	}
	defer u.leave()
	u.runs.add(id, u.id)
	u.record.add("%s runs %s %s %s", u.id, req.Method, req.URL.Path, id)
	select {
	case <-time.After(u.work()):
	case <-ctx.Done():
		u.record.add("%s stops %s", u.id, id)
		return "HTTP/1.1 504 Gateway Timeout\r\n" + headers + "Upstream-Signature: " + u.id + "." + id + "\r\nContent-Length: 0\r\n\r\n"
	}
	text := fmt.Sprintf("%s %s %d\n", id, req.URL.Path, len(body))
	if u.size != nil {
		text += strings.Repeat("x", max(u.size()-len(text), 0))
	}
	return "HTTP/1.1 200 OK\r\n" + headers + u.loadHeader() + "Upstream-Signature: " + u.id + "." + id + "\r\nContent-Length: " + strconv.Itoa(len(text)) + "\r\n\r\n" + text
}

func (u *upstream) health(ctx context.Context) string {
	if !u.load {
		entered, _ := u.enter(ctx)
		if !entered {
			return "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
		}
		time.Sleep(time.Millisecond)
		u.leave()
	}
	return "HTTP/1.1 200 OK\r\nInstance-Id: " + u.id + "\r\n" + u.loadHeader() + "Content-Length: 0\r\n\r\n"
}

func (u *upstream) loadHeader() string {
	if !u.load {
		return ""
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return fmt.Sprintf("Upstream-Load: %d,%d,%d,100\r\n", u.running, max(u.waiting, 0), u.slots)
}
