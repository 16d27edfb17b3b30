package forward_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestRequestBehindABrokenResponseIsAnsweredOrNotPassedOn guards against pipelined requests that run
// at a sound server and get no answer, because the response in front of them breaks off while it is
// being passed on and the connection is closed.
func TestRequestBehindABrokenResponseIsAnsweredOrNotPassedOn(t *testing.T) {
	for name, behindFirst := range map[string]bool{
		"that is behind it when it begins": true,
		"that arrives behind it":           false,
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var ran atomic.Int64
			second := make(chan struct{}, 1)
			handle := func(conn net.Conn, req *http.Request) {
				if req.URL.Path == "/look/second" {
					ran.Add(1)
					second <- struct{}{}
					ok(conn, req)
					return
				}
				if behindFirst {
					<-second
				}
				respondLong(conn, req, http.StatusOK)
				if !behindFirst {
					// A request behind the response is either passed on by now or held back.
					select {
					case <-second:
					case <-time.After(200 * time.Millisecond):
					}
				}
				time.Sleep(20 * time.Millisecond)
				reset(conn, req)
			}
			f := newFixture(t, startServer(t, "s1", handle), startServer(t, "s2", handle))
			conn, reader := f.dialCaller(t)
			request := func(path string) string {
				return fmt.Sprintf("GET /look/%s HTTP/1.1\r\nHost: h\r\nRequest-Id: r%d\r\nDeadline-Ms: 1500\r\n\r\n", path, sequence.Add(1))
			}
			begin := request("first")
			if behindFirst {
				begin += request("second")
			}
			_, err := io.WriteString(conn, begin)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			first, err := http.ReadResponse(reader, nil)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			if !behindFirst {
				_, err = io.WriteString(conn, request("second"))
				g.Expect(err).NotTo(gomega.HaveOccurred())
			}
			answered := int64(0)
			if _, err = io.Copy(io.Discard, first.Body); err == nil {
				if resp, err := http.ReadResponse(reader, nil); err == nil && resp.StatusCode == http.StatusOK {
					answered++
				}
			}
			g.Expect(answered).To(gomega.BeNumerically(">=", ran.Load()), "answers to requests that ran")
		})
	}
}

// TestLongResponsesOnAPipelinedConnectionAreWhole guards against responses that are cut, mixed or
// stuck because they are buffered further or hold back the requests behind them. The time of a
// request that was held back counts from its arrival.
func TestLongResponsesOnAPipelinedConnectionAreWhole(t *testing.T) {
	const hold = 150 * time.Millisecond
	for name, length := range map[string]int{"buffered further": longBody, "at the bound": 1 << 20, "longer": 1<<20 + 1, "much longer": 3 << 20} {
		for _, chunked := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, in chunks: %v", name, chunked), func(t *testing.T) {
				g := gomega.NewWithT(t)
				behind, third := make(chan struct{}), make(chan struct{})
				lefts := make(chan string, 1)
				handle := func(conn net.Conn, req *http.Request) {
					switch req.URL.Path {
					case "/look/2":
						close(behind)
						ok(conn, req)
						return
					case "/look/3":
						lefts <- req.Header.Get("Deadline-Ms")
						ok(conn, req)
						return
					}
					<-behind
					half := strings.Repeat("x", length/2)
					rest := strings.Repeat("y", length-length/2)
					framing, end := fmt.Sprintf("Content-Length: %d", length), ""
					if chunked {
						framing, end = "Transfer-Encoding: chunked", "\r\n0\r\n\r\n"
						half = fmt.Sprintf("%x\r\n%s\r\n", len(half), half)
						rest = fmt.Sprintf("%x\r\n%s", len(rest), rest)
					}
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\n%s\r\n%s\r\n\r\n%s",
						req.Header.Get("Request-Id"), signed, framing, half)
					<-third
					time.Sleep(2 * hold)
					_, _ = io.WriteString(conn, rest+end)
				}
				f := newFixture(t, startServer(t, "s1", handle), startServer(t, "s2", handle))
				conn, reader := f.dialCaller(t)
				request := func(n int) string {
					return fmt.Sprintf("GET /look/%d HTTP/1.1\r\nHost: h\r\nRequest-Id: r%d\r\nDeadline-Ms: 1500\r\n\r\n", n, sequence.Add(1))
				}
				_, err := io.WriteString(conn, request(1)+request(2))
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Eventually(behind).Should(gomega.BeClosed())
				// The long response has begun by the time that the third request arrives. The caller sees that
				// only if the half that is sent already is not buffered.
				if streamed := length/2 > 1<<20 || !chunked && length > 1<<20; streamed {
					_, err = reader.Peek(1)
					g.Expect(err).NotTo(gomega.HaveOccurred())
				} else {
					time.Sleep(hold / 2)
				}
				_, err = io.WriteString(conn, request(3))
				g.Expect(err).NotTo(gomega.HaveOccurred())
				close(third)
				for _, want := range []string{strings.Repeat("x", length/2) + strings.Repeat("y", length-length/2), "whole", "whole"} {
					resp, err := http.ReadResponse(reader, nil)
					g.Expect(err).NotTo(gomega.HaveOccurred())
					g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK))
					body, err := io.ReadAll(resp.Body)
					g.Expect(err).NotTo(gomega.HaveOccurred())
					g.Expect(string(body) == want).To(gomega.BeTrue(), "a body of %d bytes, not of %d", len(body), len(want))
				}
				left, err := strconv.Atoi(<-lefts)
				g.Expect(err).NotTo(gomega.HaveOccurred())
				g.Expect(left).To(gomega.BeNumerically("<=", 1500-hold.Milliseconds()))
			})
		}
	}
}
