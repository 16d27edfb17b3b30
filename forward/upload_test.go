package forward_test

import (
	"bufio"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/callerconn"
)

// TestRefusedUploadIsNotReadAnyLonger guards against two goroutines that read from the connection of a
// caller at once, which can end the process: a server refuses a long upload early, and its body is
// still read for the server while the connection is closed. It needs the race detector.
func TestRefusedUploadIsNotReadAnyLonger(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		reader := bufio.NewReader(conn)
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		go func() { _, _ = io.Copy(io.Discard, reader) }()
		time.Sleep(200 * time.Millisecond)
		fmt.Fprintf(conn, "HTTP/1.1 503 X\r\nRequest-Id: %s\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", req.Header.Get("Request-Id"))
		time.Sleep(time.Second)
	}()
	f := newFixture(t, &server{id: "s1", address: listener.Addr().String()})
	callers, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	s := callerconn.NewServer(callerconn.Options{
		Handler: f.forwarder, Logger: slog.New(slog.DiscardHandler),
		Limits: func() callerconn.Limits {
			return callerconn.Limits{IdleTimeout: time.Second, HeaderTimeout: time.Second, HeaderBytes: 16 << 10}
		},
	})
	go func() { _ = s.Serve(callers) }()
	t.Cleanup(s.Close)
	conn, err := net.Dial("tcp", callers.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer conn.Close()
	const sent, length = 3 << 19, 4 << 20
	fmt.Fprintf(conn, "PUT /order/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: upload\r\nDeadline-Ms: 1900\r\nContent-Length: %d\r\n\r\n", length)
	_, _ = io.WriteString(conn, strings.Repeat("x", sent))
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
	for range 100 {
		if _, err := io.WriteString(conn, strings.Repeat("y", 10<<10)); err != nil {
			break
		}
		time.Sleep(time.Millisecond)
	}
}
