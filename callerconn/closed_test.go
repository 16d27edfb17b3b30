package callerconn

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// A caller that closes its connection has to cancel its requests wherever the reading of the
// connection stands. Otherwise servers work on them until their deadlines.
func TestCloseOfTheCallerCancelsWhateverIsRead(t *testing.T) {
	for name, c := range map[string]struct {
		behind string
		// wait is the time between the last byte and the close.
		wait time.Duration
	}{
		"in a head":                   {"GET /behind HTTP/1.1\r\nHo", 0},
		"behind a head that is wrong": {"GET /behind HTTP/1.1\r\nHost\r\n\r\n", 100 * time.Millisecond},
		"behind a head that is late":  {"GET /behind HTTP/1.1\r\nHo", 700 * time.Millisecond},
		"in a body":                   {"POST /behind HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nbody", 100 * time.Millisecond},
		"in a chunk":                  {"POST /behind HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n64\r\nbody", 100 * time.Millisecond},
		"behind many requests":        {strings.Repeat(get("/first"), maxPipelined), 100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			begun, cancelled, release := make(chan struct{}, 2*maxPipelined), make(chan struct{}, 2*maxPipelined), make(chan struct{})
			t.Cleanup(func() { close(release) })
			_, conn, _ := start(t, func(_ http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/behind" {
					_, _ = io.Copy(io.Discard, r.Body)
					return
				}
				begun <- struct{}{}
				select {
				case <-r.Context().Done():
					cancelled <- struct{}{}
				case <-release:
				}
			})
			send(t, conn, get("/first")+c.behind)
			g.Eventually(begun).Should(gomega.Receive())
			time.Sleep(c.wait)
			conn.Close()
			g.Eventually(cancelled, 2*time.Second).Should(gomega.Receive())
		})
	}
}

// A caller that leaves in the middle of its body has to cancel the request itself, too: a server may
// work on it already, or keep its connection for the rest of the body.
func TestCloseInABodyCancelsItsRequest(t *testing.T) {
	g := gomega.NewWithT(t)
	cancelled := closeDuring(t, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nbody", func(r *http.Request) {
		go func() { _, _ = io.Copy(io.Discard, r.Body) }()
	})
	g.Eventually(cancelled, 2*time.Second).Should(gomega.BeClosed())
}

// In a planned stop, too, a caller that closes its connection has to cancel the request whose response
// has begun, although the connection takes no further ones: a stream that pauses would keep its server
// otherwise.
func TestCloseOfTheCallerCancelsABegunResponseWhileDraining(t *testing.T) {
	g := gomega.NewWithT(t)
	cancelled, release := make(chan struct{}), make(chan struct{})
	t.Cleanup(func() { close(release) })
	s, conn, reader := start(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write(make([]byte, 2*bufferSize))
		select {
		case <-r.Context().Done():
			close(cancelled)
		case <-release:
		}
	})
	send(t, conn, get("/"))
	_, err := reader.Peek(1)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	go func() { _ = s.Shutdown(t.Context()) }()
	time.Sleep(100 * time.Millisecond)
	conn.Close()
	g.Eventually(cancelled, 2*time.Second).Should(gomega.BeClosed())
}

// A begun response must not be cancelled, nor the request behind it be lost, because more than the head
// of a request may have arrives while the connection drains.
func TestPipelinedUploadBehindABegunResponseWhileDraining(t *testing.T) {
	for _, size := range []int{100, bufferSize, 4 * headerBytes} {
		g := gomega.NewWithT(t)
		release := make(chan struct{})
		s, conn, reader := start(t, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == "/behind" {
				body, _ := io.ReadAll(r.Body)
				_, _ = w.Write(body)
				return
			}
			_, _ = w.Write(make([]byte, 2*bufferSize))
			select {
			case <-release:
			case <-r.Context().Done():
				panic(http.ErrAbortHandler)
			}
		})
		send(t, conn, get("/"))
		_, err := reader.Peek(1)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		go func() { _ = s.Shutdown(t.Context()) }()
		time.Sleep(100 * time.Millisecond)
		text := strings.Repeat("x", size)
		send(t, conn, fmt.Sprintf("POST /behind HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", size, text))
		time.Sleep(50 * time.Millisecond)
		close(release)
		_, body, err := read(t, reader)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(body).To(gomega.HaveLen(2 * bufferSize))
		_, body, err = read(t, reader)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(body == text).To(gomega.BeTrue())
	}
}

// An error of reading a body that is not the caller's close must not cancel the requests in front: its
// deadline, a malformed chunk, and a handler that doesn't read it.
func TestErrorOfABodyCancelsNoRequestInFront(t *testing.T) {
	for name, body := range map[string]string{
		"deadline":          "Content-Length: 100\r\n\r\nbody",
		"deadline, chunked": "Transfer-Encoding: chunked\r\n\r\n64\r\nbody",
		"malformed chunk":   "Transfer-Encoding: chunked\r\n\r\nno length\r\n",
		"long chunk":        "Transfer-Encoding: chunked\r\n\r\n2\r\nbody\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			failed := make(chan struct{})
			_, conn, reader := start(t, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/behind" {
					_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(50 * time.Millisecond))
					_, err := io.Copy(io.Discard, r.Body)
					g.Expect(err).To(gomega.HaveOccurred())
					close(failed)
					w.WriteHeader(http.StatusBadRequest)
					return
				}
				<-failed
				select {
				case <-r.Context().Done():
					panic(http.ErrAbortHandler)
				case <-time.After(100 * time.Millisecond):
				}
				_, _ = io.WriteString(w, "whole")
			})
			send(t, conn, get("/first")+"POST /behind HTTP/1.1\r\nHost: x\r\n"+body)
			_, text, err := read(t, reader)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(text).To(gomega.Equal("whole"))
			resp, _, err := read(t, reader)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusBadRequest))
		})
	}
}
