package serverconn

import (
	"bufio"
	"context"
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

// endless answers a request with begin, waits, and writes unit until the connection is closed. open
// counts the connections on which it does.
func endless(begin, unit string, pause time.Duration, open *atomic.Int64) func(net.Conn) {
	return func(conn net.Conn) {
		defer conn.Close()
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
			return
		}
		open.Add(1)
		defer open.Add(-1)
		_, err := io.WriteString(conn, begin)
		time.Sleep(pause)
		for data := []byte(unit); err == nil; {
			_, err = conn.Write(data)
		}
	}
}

// TestEndlessAnswersToChecksAreBounded guards against a server that fills the memory through status
// checks with bytes that don't end, while many checks are made at once.
func TestEndlessAnswersToChecksAreBounded(t *testing.T) {
	const (
		checks = 50
		// rounds is the number of checks on each connection that can be used again.
		rounds = 2
		// maxPerCheck bounds what is allocated for one check.
		maxPerCheck  = 2 << 20
		checkTimeout = 400 * time.Millisecond
		slack        = 2 * time.Second
	)
	text := strings.Repeat("x", 16<<10)
	head := "HTTP/1.1 200 OK\r\n"
	chunked := "Transfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct {
		begin, unit string
		answered    bool
	}{
		"before a status line":  {"", text, false},
		"in a status line":      {"HTTP/1.1 200 ", text, false},
		"in a header":           {head + "Own: ", text, false},
		"in many headers":       {head, strings.Repeat("Own: 1\r\n", 1<<10), false},
		"in interim answers":    {"", "HTTP/1.1 100 Continue\r\n\r\n", false},
		"in an interim answer":  {"HTTP/1.1 103 Early Hints\r\n", strings.Repeat("Own: 1\r\n", 1<<10), false},
		"in a late answer":      {head + "Request-Id: late\r\n" + chunked, "4000\r\n" + text + "\r\n", false},
		"in whole late answers": {"", head + "Request-Id: late\r\nContent-Length: 1\r\n\r\nx", false},
		"in a body":             {head + "\r\n", text, true},
		"in a chunked body":     {head + chunked, "4000\r\n" + text + "\r\n", true},
		"in a chunk extension":  {head + chunked + "1;own=", text, true},
		"in a trailer":          {head + chunked + "0\r\nOwn: ", text, true},
		"after the answer":      {head + "Content-Length: 0\r\n\r\n", text, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var open atomic.Int64
			address := backend(t, endless(c.begin, c.unit, 0, &open))
			pool := NewPool()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			for range rounds {
				// The connections are open before the first check: opening them beside so many endless
				// answers takes longer than the pool allows on a busy machine.
				conns := make([]*Conn, checks)
				for n := range conns {
					var err error
					conns[n], err = pool.Get(t.Context(), address, checks)
					g.Expect(err).NotTo(gomega.HaveOccurred())
				}
				var wg sync.WaitGroup
				for _, conn := range conns {
					wg.Go(func() {
						ctx, cancel := context.WithTimeout(t.Context(), checkTimeout)
						defer cancel()
						began, reused := time.Now(), conn.Reused()
						_, err := conn.Check(ctx, "/health", withID(""))
						// Bytes after an answer may arrive when the next check is under way, and are
						// no answer to it.
						disturbed := name == "after the answer" && reused
						if (err == nil) != c.answered && !disturbed {
							t.Errorf("check: %v", err)
						}
						if took := time.Since(began); took > checkTimeout+slack {
							t.Errorf("a check took %v", took)
						}
					})
				}
				wg.Wait()
			}
			runtime.ReadMemStats(&after)
			g.Expect((after.TotalAlloc - before.TotalAlloc) / (rounds * checks)).To(gomega.BeNumerically("<", maxPerCheck))
			pool.InvalidateAll()
			g.Eventually(open.Load).WithTimeout(slack).Should(gomega.BeZero(), "open connections")
		})
	}
}

// TestEndlessBytesOnAnIdleConnectionAreNotRead guards against a connection that is used again, or
// whose bytes are kept, after a server has begun to send on it without a request.
func TestEndlessBytesOnAnIdleConnectionAreNotRead(t *testing.T) {
	g := gomega.NewWithT(t)
	var open atomic.Int64
	address := backend(t, endless(okResponse("1", "one"), strings.Repeat("x", 16<<10), 20*time.Millisecond, &open))
	pool := NewPool()
	for range 3 {
		g.Expect(do(t, pool, address, "1")).To(gomega.Equal("one"))
		g.Expect(pool.Idle(address)).To(gomega.BeTrue())
		time.Sleep(100 * time.Millisecond)
		g.Eventually(open.Load).Should(gomega.Equal(int64(1)), "the connection before is closed")
	}
	g.Expect(pool.Opened.Load()).To(gomega.Equal(uint64(3)))
	pool.Sweep(time.Now().Add(time.Minute), func(string) bool { return true })
	g.Eventually(open.Load).WithTimeout(2 * time.Second).Should(gomega.BeZero())
}

// TestUnusedBodyIsNotAwaited guards against a user that waits for the end of a body that it doesn't
// need, which comes slowly and without end, and against a connection that is lost after a short one.
func TestUnusedBodyIsNotAwaited(t *testing.T) {
	const timeout = 10 * time.Second
	g := gomega.NewWithT(t)
	address := backend(t, func(conn net.Conn) {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for _, body := range []string{"", "short", "endless"} {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			if body != "endless" {
				_, _ = io.WriteString(conn, okResponse("1", body))
				continue
			}
			_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n")
			for err == nil {
				_, err = conn.Write([]byte("x"))
				time.Sleep(10 * time.Millisecond)
			}
		}
	})
	pool := NewPool()
	ctx, cancel := context.WithTimeout(t.Context(), timeout)
	defer cancel()
	began := time.Now()
	for range 3 {
		conn, err := pool.Get(ctx, address, 1)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = conn.Check(ctx, "/health", func(*http.Response) bool { return true })
		g.Expect(err).NotTo(gomega.HaveOccurred())
	}
	g.Expect(time.Since(began)).To(gomega.BeNumerically("<", timeout/2))
	g.Expect(pool.Opened.Load()).To(gomega.Equal(uint64(1)))
	g.Expect(pool.Idle(address)).To(gomega.BeFalse())
	// The context has ended before the body is read.
	conn, err := pool.Get(ctx, address, 1)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	resp, err := conn.RoundTrip(ctx, request(http.MethodGet, ""), withID("1"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	cancel()
	Discard(resp)
	g.Expect(pool.Idle(address)).To(gomega.BeFalse())
}
