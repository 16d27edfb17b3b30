package serverconn

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// backend accepts connections, passes each to serve and returns the address.
func backend(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return listener.Addr().String()
}

// respond reads requests one after the other and writes the next text for each.
func respond(texts ...string) func(net.Conn) {
	return func(conn net.Conn) {
		defer conn.Close()
		reader := bufio.NewReader(conn)
		for _, text := range texts {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			_, _ = io.WriteString(conn, text)
		}
		_, _ = io.Copy(io.Discard, reader)
	}
}

func okResponse(id, body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func request(method, body string) *http.Request {
	req := &http.Request{
		Method: method, URL: &url.URL{Scheme: "http", Host: "x", Path: "/"}, Host: "x",
		Header: http.Header{}, ProtoMajor: 1, ProtoMinor: 1, Body: http.NoBody,
	}
	if body != "" {
		req.Body, req.ContentLength = io.NopCloser(strings.NewReader(body)), int64(len(body))
	}
	return req
}

func withID(id string) func(*http.Response) bool {
	return func(resp *http.Response) bool { return resp.Header.Get("Request-Id") == id }
}

// do makes one round trip and returns the body of the response.
func do(t *testing.T, pool *Pool, address, id string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	conn, err := pool.Get(ctx, address, 0)
	if err != nil {
		return "", err
	}
	resp, err := conn.RoundTrip(ctx, request(http.MethodGet, ""), withID(id))
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

func TestConnectionIsReused(t *testing.T) {
	g := gomega.NewWithT(t)
	address := backend(t, respond(okResponse("1", "one"), okResponse("2", "two")))
	pool := NewPool()
	for id, want := range map[string]string{"1": "one"} {
		g.Expect(do(t, pool, address, id)).To(gomega.Equal(want))
	}
	g.Expect(do(t, pool, address, "2")).To(gomega.Equal("two"))
	g.Expect(pool.Opened.Load()).To(gomega.Equal(uint64(1)))
	g.Expect(pool.Reused.Load()).To(gomega.Equal(uint64(1)))
}

func TestResponseToAnotherRequestIsSkipped(t *testing.T) {
	g := gomega.NewWithT(t)
	address := backend(t, respond(okResponse("old", "foreign")+okResponse("1", "own")))
	g.Expect(do(t, NewPool(), address, "1")).To(gomega.Equal("own"))
}

func TestConnectionWithUnreadDataIsNotReused(t *testing.T) {
	g := gomega.NewWithT(t)
	address := backend(t, respond(okResponse("1", "one")+okResponse("1", "again")))
	pool := NewPool()
	g.Expect(do(t, pool, address, "1")).To(gomega.Equal("one"))
	g.Expect(do(t, pool, address, "1")).To(gomega.Equal("one"))
	g.Expect(pool.Opened.Load()).To(gomega.Equal(uint64(2)))
}

func TestClosedConnectionIsNotReused(t *testing.T) {
	g := gomega.NewWithT(t)
	address := backend(t, func(conn net.Conn) {
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, okResponse("1", "one"))
		conn.Close()
	})
	pool := NewPool()
	for range 2 {
		g.Expect(do(t, pool, address, "1")).To(gomega.Equal("one"))
		time.Sleep(20 * time.Millisecond)
	}
	g.Expect(pool.Opened.Load()).To(gomega.Equal(uint64(2)))
}

func TestRequestIsNotResentAfterReset(t *testing.T) {
	g := gomega.NewWithT(t)
	arrived := make(chan struct{}, 8)
	address := backend(t, func(conn net.Conn) {
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		arrived <- struct{}{}
		_ = conn.(*net.TCPConn).SetLinger(0)
		conn.Close()
	})
	_, err := do(t, NewPool(), address, "1")
	var failed *SendError
	g.Expect(errors.As(err, &failed)).To(gomega.BeTrue())
	g.Expect(failed.Unsent).To(gomega.BeFalse())
	time.Sleep(50 * time.Millisecond)
	g.Expect(arrived).To(gomega.HaveLen(1))
}

func TestRefusedConnectionIsADialError(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	address := listener.Addr().String()
	listener.Close()
	_, err = do(t, NewPool(), address, "1")
	var dial *DialError
	g.Expect(errors.As(err, &dial)).To(gomega.BeTrue())
}

func TestConnectionLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	address := backend(t, respond())
	pool := NewPool()
	first, err := pool.Get(t.Context(), address, 1)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = pool.Get(t.Context(), address, 1)
	g.Expect(err).To(gomega.BeAssignableToTypeOf(&FullError{}))
	first.Close()
	_, err = pool.Get(t.Context(), address, 1)
	g.Expect(err).NotTo(gomega.HaveOccurred())
}

// TestEarlyResponseToLongBody checks that a connection is not reused if the server
// responded before it had read the request body: the next request would be taken for a
// part of that body.
func TestEarlyResponseToLongBody(t *testing.T) {
	g := gomega.NewWithT(t)
	const size = 8 << 20
	address := backend(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		_, _ = http.ReadRequest(reader)
		_, _ = io.WriteString(conn, okResponse("1", "no"))
		time.Sleep(300 * time.Millisecond)
		conn.Close()
	})
	pool := NewPool()
	conn, err := pool.Get(t.Context(), address, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	resp, err := conn.RoundTrip(t.Context(), request(http.MethodPost, strings.Repeat("x", size)), withID("1"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	Discard(resp)
	_, open := pool.takeIdle(address, 1, func(*Conn) bool { return true })
	g.Expect(open).To(gomega.BeTrue(), "the connection was closed, not reused")
}

// TestRequestBodyOfUnknownLengthIsWrittenWhileTheResponseIsRead guards against a response that is
// not seen because the server reads no further while the body is still being written.
func TestRequestBodyOfUnknownLengthIsWrittenWhileTheResponseIsRead(t *testing.T) {
	g := gomega.NewWithT(t)
	done := make(chan struct{})
	defer close(done)
	address := backend(t, func(conn net.Conn) {
		defer conn.Close()
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		_, _ = io.WriteString(conn, okResponse("1", "no"))
		<-done
	})
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	conn, err := NewPool().Get(ctx, address, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	req := request(http.MethodPost, strings.Repeat("x", 8<<20))
	req.ContentLength = -1
	resp, err := conn.RoundTrip(ctx, req, withID("1"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(conn.Early).To(gomega.BeTrue())
	Discard(resp)
}

func TestContextEndClosesConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	closed := make(chan struct{})
	address := backend(t, func(conn net.Conn) {
		_, _ = io.Copy(io.Discard, conn)
		close(closed)
	})
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Millisecond)
	defer cancel()
	conn, err := NewPool().Get(ctx, address, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = conn.RoundTrip(ctx, request(http.MethodGet, ""), withID("1"))
	g.Expect(err).To(gomega.MatchError(context.DeadlineExceeded))
	g.Eventually(closed).Should(gomega.BeClosed())
}

func TestIdleTimeout(t *testing.T) {
	g := gomega.NewWithT(t)
	g.Expect(idleTimeout("")).To(gomega.Equal(defaultIdleTimeout))
	g.Expect(idleTimeout("timeout=10, max=5")).To(gomega.Equal(10*time.Second - idleMargin))
	g.Expect(idleTimeout("timeout=x")).To(gomega.Equal(defaultIdleTimeout))
}

func TestSweepClosesUnwantedConnections(t *testing.T) {
	g := gomega.NewWithT(t)
	address := backend(t, respond(okResponse("1", "one")))
	pool := NewPool()
	g.Expect(do(t, pool, address, "1")).To(gomega.Equal("one"))
	pool.Sweep(time.Now(), func(string) bool { return false })
	c, _ := pool.takeIdle(address, 1, func(*Conn) bool { return true })
	g.Expect(c).To(gomega.BeNil())
}

// carry sends a request with the given ID and returns the connection that it used.
func carry(t *testing.T, pool *Pool, address string, limit int, id string) *Conn {
	t.Helper()
	conn, err := pool.GetFor(t.Context(), address, limit, id)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := conn.RoundTrip(t.Context(), request(http.MethodGet, ""), withID(""))
	if err != nil {
		t.Fatal(err)
	}
	Discard(resp)
	return conn
}

// echo responds to any number of requests.
func echo(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
	}
}

// TestConnectionCarriesARequestIDOnce guards against a response to an earlier attempt that can't
// be told from that to the present one, and against connections that are opened without need.
func TestConnectionCarriesARequestIDOnce(t *testing.T) {
	g := gomega.NewWithT(t)
	address, pool := backend(t, echo), NewPool()
	first := carry(t, pool, address, 0, "a")
	g.Expect(carry(t, pool, address, 0, "b")).To(gomega.BeIdenticalTo(first))
	second := carry(t, pool, address, 0, "a")
	g.Expect(second).NotTo(gomega.BeIdenticalTo(first))
	g.Expect(carry(t, pool, address, 0, "b")).To(gomega.BeIdenticalTo(second))
	g.Expect(pool.Opened.Load()).To(gomega.Equal(uint64(2)))
	for range 2 {
		g.Expect(carry(t, pool, address, 0, "").Uses).To(gomega.Equal(1), "a response without an ID can't be told from others")
	}
}

// TestStatusCheckIsNoAttempt guards against a request that finds no connection because a status
// check went before it on the one that it was given.
func TestStatusCheckIsNoAttempt(t *testing.T) {
	g := gomega.NewWithT(t)
	address, pool := backend(t, echo), NewPool()
	conn, err := pool.GetFor(t.Context(), address, 0, "a")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_, err = conn.Check(t.Context(), "/health", withID(""))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(carry(t, pool, address, 0, "a")).To(gomega.BeIdenticalTo(conn))
}

// TestRepeatedRequestFindsAConnectionAtTheLimit guards against a request that is refused because
// all connections to a server have carried its ID.
func TestRepeatedRequestFindsAConnectionAtTheLimit(t *testing.T) {
	g := gomega.NewWithT(t)
	address, pool := backend(t, echo), NewPool()
	first := carry(t, pool, address, 1, "a")
	second := carry(t, pool, address, 1, "a")
	g.Expect(second).NotTo(gomega.BeIdenticalTo(first))
	busy, err := pool.GetFor(t.Context(), address, 1, "b")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(busy).To(gomega.BeIdenticalTo(second))
	_, err = pool.GetFor(t.Context(), address, 1, "a")
	g.Expect(err).To(gomega.BeAssignableToTypeOf(&FullError{}))
	busy.Close()
	g.Expect(carry(t, pool, address, 1, "a").Uses).To(gomega.Equal(1))
}

// TestConnectionEndsAfterMaxRequests guards against memory that grows with the age of a
// connection.
func TestConnectionEndsAfterMaxRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	address, pool := backend(t, echo), NewPool()
	for n := range maxRequests {
		g.Expect(carry(t, pool, address, 0, fmt.Sprint(n)).Uses).To(gomega.Equal(n + 1))
	}
	g.Expect(carry(t, pool, address, 0, "next").Uses).To(gomega.Equal(1))
}
