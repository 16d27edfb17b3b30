package forward_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// longBody is longer than the part of a response that is buffered.
const longBody = 600 << 10

// respondLong writes the head and the first half of a long response.
func respondLong(conn net.Conn, req *http.Request, status int) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d X\r\nRequest-Id: %s\r\n%s\r\nContent-Length: %d\r\n\r\n%s",
		status, req.Header.Get("Request-Id"), signed, longBody, strings.Repeat("x", longBody/2))
}

// countedConn counts itself as open until it is closed.
type countedConn struct {
	net.Conn
	once sync.Once
	open *atomic.Int64
}

// Close implements [net.Conn].
func (c *countedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

// countConns returns the number of open connections to servers. It must be called before the first
// request.
func (f *fixture) countConns() *atomic.Int64 {
	var open atomic.Int64
	dial := f.pool.Dial
	f.pool.Dial = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		open.Add(1)
		return &countedConn{Conn: conn, open: &open}, nil
	}
	return &open
}

// calmGoroutines returns the number of goroutines once it has not changed for 50 ms: those of the
// fixture have started then, and those of earlier tests have ended.
func calmGoroutines() int {
	http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	n := runtime.NumGoroutine()
	for same := 0; same < 10; same++ {
		time.Sleep(5 * time.Millisecond)
		if now := runtime.NumGoroutine(); now != n {
			n, same = now, -1
		}
	}
	return n
}

// expectCalm checks that no connection to a server is in use and that the number of goroutines has
// returned to what it was.
func (f *fixture) expectCalm(t *testing.T, open *atomic.Int64, goroutines int) {
	t.Helper()
	g := gomega.NewWithT(t)
	f.pool.InvalidateAll()
	http.DefaultTransport.(*http.Transport).CloseIdleConnections()
	g.Eventually(open.Load, 3*time.Second).Should(gomega.BeZero(), "connections in use")
	g.Eventually(runtime.NumGoroutine, 3*time.Second).Should(gomega.BeNumerically("<=", goroutines), "goroutines")
}

// TestSlowerResponseOfAHedgeIsClosed guards against connections that stay open because the slower
// of two long responses arrives when the faster one is being passed on.
func TestSlowerResponseOfAHedgeIsClosed(t *testing.T) {
	g := gomega.NewWithT(t)
	var mu sync.Mutex
	begun := make(map[string]chan struct{})
	handle := func(conn net.Conn, req *http.Request) {
		id := req.Header.Get("Request-Id")
		mu.Lock()
		hedged, second := begun[id]
		if !second {
			hedged = make(chan struct{})
			begun[id] = hedged
		}
		mu.Unlock()
		if !second {
			<-hedged
			time.Sleep(30 * time.Millisecond)
			respondLong(conn, req, http.StatusOK)
			return
		}
		respondLong(conn, req, http.StatusOK)
		close(hedged)
		time.Sleep(100 * time.Millisecond)
		_, _ = io.WriteString(conn, strings.Repeat("x", longBody/2))
	}
	f := newFixture(t, startServer(t, "s1", handle), startServer(t, "s2", handle))
	open := f.countConns()
	goroutines := calmGoroutines()
	const requests = 8
	for range 3 {
		f.budget.Earn("main")
	}
	for range requests {
		resp, body := f.call(t, http.MethodGet, "/hedged/", "")
		g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK))
		g.Expect(body).To(gomega.HaveLen(longBody))
	}
	g.Expect(f.forwarder.Stats().Hedges).To(gomega.Equal(uint64(requests)))
	f.expectCalm(t, open, goroutines)
}

// TestLongServerErrorIsClosedAfterARetry guards against connections that stay open because a long
// server error is replaced by the result of a second attempt.
func TestLongServerErrorIsClosedAfterARetry(t *testing.T) {
	for name, second := range map[string]func(conn net.Conn, req *http.Request){
		"by a response":        ok,
		"by a lost connection": reset,
		"by a refusal": func(conn net.Conn, req *http.Request) {
			respond(conn, req, http.StatusServiceUnavailable, "", "Not-Executed: 1")
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var mu sync.Mutex
			begun := make(map[string]bool)
			handle := func(conn net.Conn, req *http.Request) {
				id := req.Header.Get("Request-Id")
				mu.Lock()
				retried := begun[id]
				begun[id] = true
				mu.Unlock()
				if retried {
					second(conn, req)
					return
				}
				respondLong(conn, req, http.StatusInternalServerError)
			}
			f := newFixture(t, startServer(t, "s1", handle), startServer(t, "s2", handle))
			open := f.countConns()
			goroutines := calmGoroutines()
			const requests = 4
			f.budget.Earn("main")
			for range requests {
				f.call(t, http.MethodGet, "/look/", "")
			}
			g.Expect(f.forwarder.Stats().Retries).To(gomega.Equal(uint64(requests)))
			f.expectCalm(t, open, goroutines)
		})
	}
}
