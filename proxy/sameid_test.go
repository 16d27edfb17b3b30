package proxy_test

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

	"github.com/pomelolock/pomelolock/outcome"
	"github.com/pomelolock/pomelolock/table"
)

// TestCopyOfAResponseToTheSameRequestIsNotItsOwn guards against "not run" for an order that runs: the
// copy of a response that is no refusal is taken for the response to the second sending of the order on
// the connection, and the refusal of that sending for the refusal of the third one.
func TestCopyOfAResponseToTheSameRequestIsNotItsOwn(t *testing.T) {
	for name, body := range map[string]string{"buffered": "x", "streamed": strings.Repeat("x", 512<<10)} {
		t.Run(name, func(t *testing.T) { testCopyOfAResponseToTheSameRequest(t, body) })
	}
}

func testCopyOfAResponseToTheSameRequest(t *testing.T, body string) {
	t.Helper()
	g := gomega.NewWithT(t)
	thirdRan := make(chan struct{})
	_, address := startRawServer(t, func(conn net.Conn, n int, id string) bool {
		switch n {
		case 2:
			_, _ = io.WriteString(conn, whole(id))
			time.Sleep(100 * time.Millisecond)
			_, _ = io.WriteString(conn, notRun(id))
			return false
		case 3:
			close(thirdRan)
		}
		_, _ = io.WriteString(conn, whole(id))
		return true
	})
	bed := newTestbed(t, func(doc *table.Document) { doc.Servers[0].Address = address }, func() fault { return faultNone })
	bed.send(g, http.MethodPost, "/order", "same", "", body)
	bed.send(g, http.MethodPost, "/order", "same", "", body)
	if bed.send(g, http.MethodPost, "/order", "same", "", body).outcome == string(outcome.NotRun) {
		g.Consistently(thirdRan, "300ms").ShouldNot(gomega.BeClosed(), "the order was answered not-run")
	}
}

// TestConnectionCarriesAnIDOnce guards against an order that is answered with the response to another
// one: two callers use the same ID, and the server writes its response to the first once more when the
// second is due on the same connection.
func TestConnectionCarriesAnIDOnce(t *testing.T) {
	for name, c := range map[string]struct{ method, body string }{
		"without a body": {http.MethodPost, ""},
		"with a body":    {http.MethodPost, "x"},
		"PUT":            {http.MethodPut, "x"},
		"PUT, no body":   {http.MethodPut, ""},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			var order atomic.Int64
			answer := func(id string, n int64) string {
				return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 1\r\n\r\n%d", outcome.HeaderRequestID, id, n)
			}
			_, address := startRawServer(t, func(conn net.Conn, n int, id string) bool {
				own := order.Add(1)
				if n > 1 {
					_, _ = io.WriteString(conn, answer(id, own-1))
					time.Sleep(20 * time.Millisecond)
				}
				_, _ = io.WriteString(conn, answer(id, own))
				return true
			})
			bed := newTestbed(t, func(doc *table.Document) { doc.Servers[0].Address = address }, func() fault { return faultNone })
			for want := range 4 {
				g.Expect(bed.send(g, c.method, "/order", "same", "", c.body).body).To(gomega.Equal(strconv.Itoa(want + 1)))
			}
			g.Expect(order.Load()).To(gomega.Equal(int64(4)), "each order runs once")
		})
	}
}
