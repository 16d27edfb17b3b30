package callerconn

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/internal/hop"
)

// headerBytes is the header size limit in the tests, larger than the read buffer.
const headerBytes = 3 * bufferSize

// start serves the handler and returns the server and a connection to it.
func start(t *testing.T, handler http.HandlerFunc) (*Server, net.Conn, *bufio.Reader) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := NewServer(Options{
		Handler: handler, Limits: func() Limits {
			return Limits{IdleTimeout: 200 * time.Millisecond, HeaderTimeout: 400 * time.Millisecond, HeaderBytes: headerBytes}
		},
		Logger: slog.New(slog.DiscardHandler),
	})
	go func() { _ = s.Serve(listener) }()
	t.Cleanup(s.Close)
	conn, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	return s, conn, bufio.NewReader(conn)
}

func get(path string) string { return "GET " + path + " HTTP/1.1\r\nHost: x\r\n\r\n" }

func send(t *testing.T, conn net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(conn, text); err != nil {
		t.Fatal(err)
	}
}

func read(t *testing.T, reader *bufio.Reader) (*http.Response, string, error) {
	t.Helper()
	resp, err := http.ReadResponse(reader, nil)
	if err != nil {
		return nil, "", err
	}
	body, err := io.ReadAll(resp.Body)
	return resp, string(body), err
}

// TestPipelinedRequestsAreConcurrentAndOrdered blocks the first request until the
// second one runs.
func TestPipelinedRequestsAreConcurrentAndOrdered(t *testing.T) {
	g := gomega.NewWithT(t)
	second := make(chan struct{})
	_, conn, reader := start(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/1" {
			<-second
		} else {
			close(second)
		}
		_, _ = io.WriteString(w, r.URL.Path)
	})
	send(t, conn, get("/1")+get("/2"))
	for _, want := range []string{"/1", "/2"} {
		_, body, err := read(t, reader)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(body).To(gomega.Equal(want))
	}
}

func TestCallerDisconnectCancelsRequests(t *testing.T) {
	ended := make(chan struct{})
	_, conn, _ := start(t, func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(ended)
		panic(http.ErrAbortHandler)
	})
	send(t, conn, get("/"))
	time.Sleep(20 * time.Millisecond)
	conn.Close()
	gomega.NewWithT(t).Eventually(ended).Should(gomega.BeClosed())
}

func TestBodyIsReadBeforeTheNextRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	_, conn, reader := start(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = io.WriteString(w, r.URL.Path+string(body))
	})
	send(t, conn, "PUT /a HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody"+
		"PUT /b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"+get("/c"))
	for _, want := range []string{"/abody", "/babc", "/c"} {
		_, body, err := read(t, reader)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(body).To(gomega.Equal(want))
	}
}

func TestUnreadBodyClosesConnection(t *testing.T) {
	g := gomega.NewWithT(t)
	_, conn, reader := start(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusRequestEntityTooLarge) })
	send(t, conn, "PUT /a HTTP/1.1\r\nHost: x\r\nContent-Length: 400\r\n\r\nbody")
	resp, _, err := read(t, reader)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusRequestEntityTooLarge))
	g.Expect(resp.Close).To(gomega.BeTrue())
}

func TestExpectContinue(t *testing.T) {
	g := gomega.NewWithT(t)
	_, conn, reader := start(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		_, _ = w.Write(body)
	})
	send(t, conn, "PUT /a HTTP/1.1\r\nHost: x\r\nExpect: 100-continue\r\nContent-Length: 4\r\n\r\n")
	resp, _, err := read(t, reader)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusContinue))
	send(t, conn, "body")
	_, body, err := read(t, reader)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(body).To(gomega.Equal("body"))
}

func TestAbortedResponseIsNotComplete(t *testing.T) {
	g := gomega.NewWithT(t)
	for _, length := range []string{"", "10"} {
		_, conn, reader := start(t, func(w http.ResponseWriter, _ *http.Request) {
			if length != "" {
				w.Header().Set("Content-Length", length)
			}
			_, _ = io.WriteString(w, "part")
			panic(http.ErrAbortHandler)
		})
		send(t, conn, get("/"))
		_, _, err := read(t, reader)
		g.Expect(err).To(gomega.HaveOccurred())
	}
}

func TestResponseWithoutLengthIsChunked(t *testing.T) {
	g := gomega.NewWithT(t)
	_, conn, reader := start(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "text") })
	send(t, conn, get("/"))
	resp, body, err := read(t, reader)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(body).To(gomega.Equal("text"))
	g.Expect(resp.TransferEncoding).To(gomega.Equal([]string{"chunked"}))
}

func TestMalformedHeadersAreRejected(t *testing.T) {
	g := gomega.NewWithT(t)
	for text, status := range map[string]int{
		"nonsense\r\n\r\n": http.StatusBadRequest,
		"GET / HTTP/1.1\r\nHost: x\r\nLong: " + strings.Repeat("x", headerBytes) + "\r\n\r\n": http.StatusRequestHeaderFieldsTooLarge,
	} {
		_, conn, reader := start(t, func(http.ResponseWriter, *http.Request) {})
		go func() { _, _ = io.WriteString(conn, text) }()
		resp, _, err := read(t, reader)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(resp.StatusCode).To(gomega.Equal(status))
	}
}

// TestHeadersWithinLimitAreServed checks that requests with headers slightly below the
// size limit are served, also if they are pipelined.
func TestHeadersWithinLimitAreServed(t *testing.T) {
	g := gomega.NewWithT(t)
	_, conn, reader := start(t, func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Content-Length", "0") })
	long := "GET / HTTP/1.1\r\nHost: x\r\nLong: " + strings.Repeat("x", headerBytes-100) + "\r\n\r\n"
	for range 2 {
		_, err := io.WriteString(conn, get("/")+long+long)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		for range 3 {
			resp, err := http.ReadResponse(reader, nil)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK))
		}
	}
}

func TestSlowHeadersTimeOut(t *testing.T) {
	g := gomega.NewWithT(t)
	_, conn, reader := start(t, func(http.ResponseWriter, *http.Request) {})
	_, err := io.WriteString(conn, "GET / HTTP/1.1\r\n")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	began := time.Now()
	resp, err := http.ReadResponse(reader, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusRequestTimeout))
	g.Expect(time.Since(began)).To(gomega.BeNumerically("~", withSlack(400*time.Millisecond), 200*time.Millisecond))
}

func TestIdleConnectionIsClosed(t *testing.T) {
	_, _, reader := start(t, func(http.ResponseWriter, *http.Request) {})
	_, err := reader.ReadByte()
	gomega.NewWithT(t).Expect(err).To(gomega.Equal(io.EOF))
}

// TestShutdownCompletesInFlightRequests shuts the server down with requests in flight:
// each gets a response, and only the last response closes the connection.
func TestShutdownCompletesInFlightRequests(t *testing.T) {
	g := gomega.NewWithT(t)
	release := make(chan struct{})
	s, conn, reader := start(t, func(w http.ResponseWriter, r *http.Request) {
		<-release
		_, _ = io.WriteString(w, r.URL.Path)
	})
	send(t, conn, get("/1")+get("/2"))
	time.Sleep(30 * time.Millisecond)
	stopped := make(chan error, 1)
	go func() { stopped <- s.Shutdown(t.Context()) }()
	time.Sleep(30 * time.Millisecond)
	close(release)
	first, _, err := read(t, reader)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(first.Close).To(gomega.BeFalse())
	second, body, err := read(t, reader)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(body).To(gomega.Equal("/2"))
	g.Expect(second.Close).To(gomega.BeTrue())
	g.Eventually(stopped).Should(gomega.Receive(gomega.BeNil()))
}

func TestShutdownReturnsWhenContextEnds(t *testing.T) {
	g := gomega.NewWithT(t)
	s, conn, _ := start(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	send(t, conn, get("/"))
	time.Sleep(30 * time.Millisecond)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	g.Expect(s.Shutdown(ctx)).To(gomega.MatchError(context.DeadlineExceeded))
}

// TestFaultsOfHeadersAreLoggedWithoutTheirText guards against keys in the log: the errors of
// the HTTP parser quote the line that they can't read.
func TestFaultsOfHeadersAreLoggedWithoutTheirText(t *testing.T) {
	for _, text := range []string{
		"GET / HTTP/1.1\r\nHost: x\r\nX-Api-Key k-secret\r\n\r\n",
		"X-Api-Key: k-secret\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: x\r\nContent-Length: k-secret\r\n\r\n",
		"GET / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: k-secret\r\n\r\n",
		"GET / k-secret\r\n\r\n",
		"GET http://[k-secret HTTP/1.1\r\n\r\n",
	} {
		g := gomega.NewWithT(t)
		_, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
		g.Expect(err).To(gomega.HaveOccurred(), text)
		g.Expect(headFault(err)).NotTo(gomega.ContainSubstring("k-secret"), text)
		g.Expect(headFault(err)).NotTo(gomega.BeEmpty())
	}
	long := &hop.HeadSizeError{}
	gomega.NewWithT(t).Expect(headFault(long)).To(gomega.Equal(long.Error()))
}

// TestLeavingEndsConnectionsThatAlwaysHaveARequestInFlight guards against requests that are cut
// off when the process exits: a caller that sends each request before the response to the one
// before has arrived kept its connection open.
func TestLeavingEndsConnectionsThatAlwaysHaveARequestInFlight(t *testing.T) {
	g := gomega.NewWithT(t)
	release := map[string]chan struct{}{"/1": make(chan struct{}), "/2": make(chan struct{}), "/3": make(chan struct{})}
	begun := make(chan string, len(release))
	s, conn, reader := start(t, func(w http.ResponseWriter, r *http.Request) {
		begun <- r.URL.Path
		<-release[r.URL.Path]
		_, _ = io.WriteString(w, r.URL.Path)
	})
	defer close(release["/3"])
	send(t, conn, get("/1")+get("/2"))
	g.Eventually(begun).Should(gomega.Receive())
	g.Eventually(begun).Should(gomega.Receive())
	s.Leave()
	close(release["/1"])
	first, _, err := read(t, reader)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(first.Close).To(gomega.BeFalse())
	send(t, conn, get("/3"))
	g.Consistently(begun).ShouldNot(gomega.Receive(), "a request behind the last accepted one")
	close(release["/2"])
	second, body, err := read(t, reader)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(body).To(gomega.Equal("/2"))
	g.Expect(second.Close).To(gomega.BeTrue())
	g.Expect(s.Shutdown(t.Context())).To(gomega.Succeed())
}

// TestShutdownServesARequestThatHasArrived guards against a request that is cut off because it
// waits unread in the socket when the idle connections are closed.
func TestShutdownServesARequestThatHasArrived(t *testing.T) {
	g := gomega.NewWithT(t)
	for range 20 {
		s, conn, reader := start(t, func(w http.ResponseWriter, r *http.Request) { _, _ = io.WriteString(w, r.URL.Path) })
		send(t, conn, get("/1"))
		_, _, err := read(t, reader)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		send(t, conn, get("/2"))
		stopped := make(chan error, 1)
		go func() { stopped <- s.Shutdown(t.Context()) }()
		_, body, err := read(t, reader)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(body).To(gomega.Equal("/2"))
		conn.Close()
		g.Eventually(stopped).Should(gomega.Receive(gomega.BeNil()))
	}
}

// TestShutdownDeliversTheLastResponse guards against a response that is destroyed because the
// connection is closed while bytes of further requests lie unread in the socket.
func TestShutdownDeliversTheLastResponse(t *testing.T) {
	g := gomega.NewWithT(t)
	body := strings.Repeat("x", 8<<20)
	release := make(chan struct{})
	s, conn, reader := start(t, func(w http.ResponseWriter, _ *http.Request) {
		<-release
		_, _ = io.WriteString(w, body)
	})
	send(t, conn, get("/1"))
	time.Sleep(30 * time.Millisecond)
	stopped := make(chan error, 1)
	go func() {
		err := s.Shutdown(t.Context())
		s.Close()
		stopped <- err
	}()
	time.Sleep(30 * time.Millisecond)
	send(t, conn, strings.Repeat(get("/behind"), 10))
	close(release)
	// The caller reads slowly, so that most of the response waits in the socket.
	time.Sleep(100 * time.Millisecond)
	resp, got, err := read(t, reader)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(len(got)).To(gomega.Equal(len(body)))
	g.Expect(resp.Close).To(gomega.BeTrue())
	g.Eventually(stopped).Should(gomega.Receive(gomega.BeNil()))
}

// TestAbortedResponseWithoutFramingIsNotComplete guards against a short body that looks whole to
// a caller of HTTP/1.0, for whom the end of the connection ends the body.
func TestAbortedResponseWithoutFramingIsNotComplete(t *testing.T) {
	g := gomega.NewWithT(t)
	_, conn, reader := start(t, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", 2*bufferSize))
		panic(http.ErrAbortHandler)
	})
	send(t, conn, "GET / HTTP/1.0\r\nHost: x\r\n\r\n")
	_, _, err := read(t, reader)
	g.Expect(err).To(gomega.HaveOccurred())
}

// TestRequestBodyIsNotReadAfterItsHandler guards against a goroutine of a handler that reads from
// the connection beside the one that closes it: it would take bytes out of the middle of the rest.
// What the caller sends after the response must not be taken for a request either.
func TestRequestBodyIsNotReadAfterItsHandler(t *testing.T) {
	const part = 64 << 10
	for name, head := range map[string]string{
		"with a length": "Content-Length: 1048576\r\n\r\n",
		"in chunks":     "Transfer-Encoding: chunked\r\n\r\n100000\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var handled atomic.Int64
			reading := make(chan struct{})
			type outcome struct {
				read []byte
				err  error
			}
			ended := make(chan outcome, 1)
			_, conn, reader := start(t, func(w http.ResponseWriter, r *http.Request) {
				handled.Add(1)
				go func() {
					data := make([]byte, part)
					n, err := io.ReadFull(r.Body, data)
					close(reading)
					if err == nil {
						var rest []byte
						rest, err = io.ReadAll(r.Body)
						data = append(data[:n], rest...)
					}
					ended <- outcome{data, err}
				}()
				<-reading
				// The goroutine is blocked in a read most of the time by now.
				time.Sleep(20 * time.Millisecond)
				w.WriteHeader(http.StatusServiceUnavailable)
			})
			send(t, conn, "PUT / HTTP/1.1\r\nHost: x\r\n"+head+strings.Repeat("x", part))
			resp, _, err := read(t, reader)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(resp.Close).To(gomega.BeTrue())
			for range 20 {
				if _, err := io.WriteString(conn, get("/rest")); err != nil {
					break
				}
				time.Sleep(time.Millisecond)
			}
			var got outcome
			g.Eventually(ended).Should(gomega.Receive(&got))
			g.Expect(got.err).To(gomega.HaveOccurred())
			g.Expect(len(got.read)).To(gomega.Equal(part), "bytes sent after the response")
			g.Expect(handled.Load()).To(gomega.Equal(int64(1)))
		})
	}
}

// TestRequestBodyThatWasReadLeavesTheNextRequestWhole guards against a deadline that ends the
// reading of a body and meets the next request, whose head arrives while the handler returns.
func TestRequestBodyThatWasReadLeavesTheNextRequestWhole(t *testing.T) {
	g := gomega.NewWithT(t)
	_, conn, reader := start(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if len(body) > 0 {
			// The head of the next request is being read by now.
			time.Sleep(30 * time.Millisecond)
		}
		_, _ = io.WriteString(w, r.URL.Path+string(body))
	})
	for range 3 {
		begin, end, _ := strings.Cut(get("/b"), "Host")
		send(t, conn, "PUT /a HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"+begin)
		_, body, err := read(t, reader)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(body).To(gomega.Equal("/aabc"))
		time.Sleep(10 * time.Millisecond)
		send(t, conn, "Host"+end)
		resp, body, err := read(t, reader)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK))
		g.Expect(body).To(gomega.Equal("/b"))
	}
}

// TestIdleConnectionIsClosedAfterARequestBody guards against idle connections that are kept for
// good because the handler clears the deadline of the body when the wait for the next request has
// begun.
func TestIdleConnectionIsClosedAfterARequestBody(t *testing.T) {
	for name, request := range map[string]string{
		"with a length": "PUT / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody",
		"in chunks":     "PUT / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			_, conn, reader := start(t, func(w http.ResponseWriter, r *http.Request) {
				rc := http.NewResponseController(w)
				_ = rc.SetReadDeadline(time.Now().Add(time.Hour))
				_, _ = io.ReadAll(r.Body)
				// The connection waits for the next request by now.
				time.Sleep(20 * time.Millisecond)
				_ = rc.SetReadDeadline(time.Time{})
			})
			send(t, conn, request)
			_, _, err := read(t, reader)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			_, err = reader.ReadByte()
			g.Expect(err).To(gomega.Equal(io.EOF))
		})
	}
}

// TestRequestBehindAStreamIsHeldBack guards against requests that are handled although the response
// in front of them can still break off, and against a time limit that begins only when they are
// handled.
func TestRequestBehindAStreamIsHeldBack(t *testing.T) {
	g := gomega.NewWithT(t)
	release := make(chan struct{})
	handled := make(chan time.Duration, 1)
	_, conn, reader := start(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/1" {
			g.Expect(w.(*response).BeginStream()).To(gomega.BeFalse())
			_, _ = io.WriteString(w, strings.Repeat("x", 2*bufferSize))
			<-release
			return
		}
		handled <- time.Since(w.(*response).ArrivedAt())
		body, _ := io.ReadAll(r.Body)
		_, _ = io.WriteString(w, r.URL.Path+string(body))
	})
	send(t, conn, get("/1"))
	first, err := http.ReadResponse(reader, nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	send(t, conn, "PUT /2 HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\nbody"+get("/3"))
	g.Consistently(handled, 100*time.Millisecond).ShouldNot(gomega.Receive())
	close(release)
	_, err = io.ReadAll(first.Body)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var waited time.Duration
	g.Eventually(handled).Should(gomega.Receive(&waited))
	g.Expect(waited).To(gomega.BeNumerically(">=", 90*time.Millisecond))
	for _, want := range []string{"/2body", "/3"} {
		_, body, err := read(t, reader)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(body).To(gomega.Equal(want))
	}
}

// TestDisconnectIsNoticedWhileARequestIsHeldBack guards against requests that run on for a caller
// that has closed the connection.
func TestDisconnectIsNoticedWhileARequestIsHeldBack(t *testing.T) {
	g := gomega.NewWithT(t)
	ended := make(chan struct{})
	begun := make(chan struct{})
	_, conn, _ := start(t, func(w http.ResponseWriter, r *http.Request) {
		w.(*response).BeginStream()
		close(begun)
		<-r.Context().Done()
		close(ended)
		panic(http.ErrAbortHandler)
	})
	send(t, conn, get("/1"))
	g.Eventually(begun).Should(gomega.BeClosed())
	send(t, conn, get("/2")+get("/3"))
	time.Sleep(20 * time.Millisecond)
	conn.Close()
	g.Eventually(ended).Should(gomega.BeClosed())
}

// TestRefusalReachesACallerThatStillSends guards against a refusal that is lost because the
// connection is reset while the caller sends the rest of its body.
func TestRefusalReachesACallerThatStillSends(t *testing.T) {
	g := gomega.NewWithT(t)
	_, conn, reader := start(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) })
	const parts, part = 40, 10_000
	send(t, conn, fmt.Sprintf("PUT /a HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", parts*part))
	for range parts {
		time.Sleep(2 * lingerTimeout / parts)
		send(t, conn, strings.Repeat("x", part))
	}
	resp, _, err := read(t, reader)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
}
