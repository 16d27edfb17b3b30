package respcheck_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/internal/rawserver"
	"github.com/pomelolock/pomelolock/internal/respcheck"
)

// put sends an upload of the given size to a server and reads the body of the response.
func put(t *testing.T, address string, size int, wrap func(net.Conn) net.Conn) ([]byte, error) {
	t.Helper()
	transport := respcheck.NewTransport(&http.Transport{
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := new(net.Dialer).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			return wrap(conn), nil
		},
	})
	t.Cleanup(transport.CloseIdleConnections)
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+address+"/", strings.NewReader(strings.Repeat("x", size)))
	if err != nil {
		t.Fatal(err)
	}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	return io.ReadAll(resp.Body)
}

// TestTransportRejectsPartsOfResponses guards against a part of a response without a length that is
// taken for the whole because the connection is reset while the request is being written.
func TestTransportRejectsPartsOfResponses(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nOwn: 1\r\n\r\n"
	for _, writeFirst := range []bool{true, false} {
		for _, part := range []int{0, 5000, 300 << 10} {
			for play := range 10 {
				t.Run(fmt.Sprintf("write meets it first %v, body of %d, %d", writeFirst, part, play), func(t *testing.T) {
					t.Parallel()
					g := gomega.NewWithT(t)
					address := rawserver.Start(t, func(conn net.Conn) {
						if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
							return
						}
						_, _ = io.WriteString(conn, head+strings.Repeat("x", part))
						time.Sleep(50 * time.Millisecond)
						_ = conn.(*net.TCPConn).SetLinger(0)
					})
					expected := len(head) + part
					if !writeFirst {
						expected = 96 << 10
					}
					body, err := put(t, address, 32<<20, func(conn net.Conn) net.Conn {
						return rawserver.NewOrderedConn(conn, writeFirst, expected)
					})
					g.Expect(err).To(gomega.HaveOccurred(), "with %d bytes", len(body))
				})
			}
		}
	}
}

// TestTransportKeepsWholeResponses guards against sound responses without a length that are rejected.
func TestTransportKeepsWholeResponses(t *testing.T) {
	for name, early := range map[string]bool{"early, upload read on": true, "after the upload": false} {
		for _, upload := range []int{0, 1000, 8 << 20} {
			for play := range 10 {
				t.Run(fmt.Sprintf("%s, upload of %d, %d", name, upload, play), func(t *testing.T) {
					t.Parallel()
					g := gomega.NewWithT(t)
					address := rawserver.Start(t, func(conn net.Conn) {
						req, err := http.ReadRequest(bufio.NewReader(conn))
						if err != nil {
							return
						}
						if !early {
							_, _ = io.Copy(io.Discard, req.Body)
						}
						_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", 5000))
						_, _ = io.Copy(io.Discard, req.Body)
					})
					body, err := put(t, address, upload, func(conn net.Conn) net.Conn { return conn })
					g.Expect(err).NotTo(gomega.HaveOccurred())
					g.Expect(len(body)).To(gomega.Equal(5000))
				})
			}
		}
	}
}

// TestTransportDoesNotRepeatRequestsWithMalformedResponses guards against a request that is sent again
// without its sender's knowledge: net/http takes a used connection that returns no byte for one that the
// server closed before it had the request.
func TestTransportDoesNotRepeatRequestsWithMalformedResponses(t *testing.T) {
	for _, response := range []string{"HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n", "\x00", "x"} {
		t.Run(fmt.Sprintf("%q", response), func(t *testing.T) {
			g := gomega.NewWithT(t)
			var requests atomic.Int64
			address := rawserver.Start(t, func(conn net.Conn) {
				reader := bufio.NewReader(conn)
				for text := "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"; ; text = response {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					requests.Add(1)
					_, _ = io.WriteString(conn, text)
				}
			})
			client := &http.Client{Transport: respcheck.NewTransport(&http.Transport{}), Timeout: 2 * time.Second}
			defer client.CloseIdleConnections()
			resp, err := client.Get("http://" + address)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			resp.Body.Close()
			resp, err = client.Get("http://" + address)
			if err == nil {
				resp.Body.Close()
			}
			var malformed *respcheck.HeadError
			g.Expect(errors.As(err, &malformed)).To(gomega.BeTrue(), "%v", err)
			g.Expect(requests.Load()).To(gomega.BeEquivalentTo(2))
		})
	}
}
