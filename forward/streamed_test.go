package forward_test

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/callerconn"
	"github.com/pomelolock/pomelolock/internal/rawserver"
)

// startRawServer starts a server that passes each connection to serve.
func startRawServer(t *testing.T, id string, serve func(conn net.Conn)) *server {
	t.Helper()
	return &server{id: id, address: rawserver.Start(t, serve)}
}

// dialCaller serves the forwarder with callerconn, as the daemon does, and connects to it.
func (f *fixture) dialCaller(t *testing.T) (net.Conn, *bufio.Reader) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	front := callerconn.NewServer(callerconn.Options{
		Handler: f.forwarder, Logger: slog.New(slog.DiscardHandler),
		Limits: func() callerconn.Limits {
			return callerconn.Limits{IdleTimeout: 5 * time.Second, HeaderTimeout: 5 * time.Second, HeaderBytes: 16 << 10}
		},
	})
	go func() { _ = front.Serve(listener) }()
	t.Cleanup(front.Close)
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	return conn, bufio.NewReader(conn)
}

// sendHead writes the head of an upload whose caller waits for the given time. A negative
// length announces a body in chunks.
func sendHead(t *testing.T, conn net.Conn, length int, timeout time.Duration) {
	t.Helper()
	framing := "Transfer-Encoding: chunked"
	if length >= 0 {
		framing = "Content-Length: " + strconv.Itoa(length)
	}
	_, err := fmt.Fprintf(conn, "PUT /look/ HTTP/1.1\r\nHost: h\r\nRequest-Id: r%d\r\nDeadline-Ms: %d\r\n%s\r\n\r\n",
		sequence.Add(1), timeout.Milliseconds(), framing)
	if err != nil {
		t.Fatal(err)
	}
}

// TestEarlyRefusalOfALongRequestBodyIsPassedOn guards against callers who wait for their whole
// deadline and get 504 because a server refused their request without reading its body.
func TestEarlyRefusalOfALongRequestBodyIsPassedOn(t *testing.T) {
	const length = 6 << 20
	for name, announced := range map[string]int{"with a length": length, "in chunks": -1} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			done := make(chan struct{})
			defer close(done)
			f := newFixture(t, startRawServer(t, "s1", func(conn net.Conn) {
				req, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				respond(conn, req, http.StatusServiceUnavailable, "", "Not-Executed: 1", "Upstream-Load: 6,2,6,100")
				<-done
			}))
			conn, reader := f.dialCaller(t)
			began := time.Now()
			sendHead(t, conn, announced, 1500*time.Millisecond)
			go func() {
				part := strings.Repeat("x", 64<<10)
				for range length / len(part) {
					if announced < 0 {
						_, _ = fmt.Fprintf(conn, "%x\r\n", len(part))
					}
					if _, err := io.WriteString(conn, part); err != nil {
						return
					}
					if announced < 0 {
						_, _ = io.WriteString(conn, "\r\n")
					}
				}
			}()
			resp, err := http.ReadResponse(reader, nil)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable), "after %v", time.Since(began))
			g.Expect(resp.Header.Get("Retry-After")).NotTo(gomega.BeEmpty())
			g.Expect(resp.Close).To(gomega.BeTrue())
		})
	}
}

// TestRequestBodyEndsWithItsExchange guards against a request body that is read from the caller's
// connection after its exchange has ended: under the race detector, and by what the server gets.
func TestRequestBodyEndsWithItsExchange(t *testing.T) {
	const length = 4 << 20
	line := func(i int) string { return fmt.Sprintf("%015d\n", i) }
	for name, announced := range map[string]int{"with a length": length, "in chunks": -1} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			received := make(chan string, 1)
			f := newFixture(t, startRawServer(t, "s1", func(conn net.Conn) {
				reader := bufio.NewReader(conn)
				req, err := http.ReadRequest(reader)
				if err != nil {
					return
				}
				// The instance is about to read the streamed part when it gets the refusal.
				begin := make([]byte, 1<<20+16<<10)
				n, _ := io.ReadFull(req.Body, begin)
				respond(conn, req, http.StatusServiceUnavailable, "", "Not-Executed: 1")
				rest, _ := io.ReadAll(req.Body)
				received <- string(begin[:n]) + string(rest)
			}))
			conn, reader := f.dialCaller(t)
			sendHead(t, conn, announced, 1500*time.Millisecond)
			go func() {
				for i := range length / len(line(0)) {
					text := line(i)
					if announced < 0 {
						text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
					}
					if _, err := io.WriteString(conn, text); err != nil {
						return
					}
				}
			}()
			resp, err := http.ReadResponse(reader, nil)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
			g.Expect(resp.Close).To(gomega.BeTrue())
			var got string
			g.Eventually(received, 3*time.Second).Should(gomega.Receive(&got))
			g.Expect(len(got)).To(gomega.BeNumerically("<", length))
			for i := range len(got) / len(line(0)) {
				if want := line(i); got[i*len(want):(i+1)*len(want)] != want {
					t.Fatalf("line %d of the body is %q", i, got[i*len(want):(i+1)*len(want)])
				}
			}
		})
	}
}
