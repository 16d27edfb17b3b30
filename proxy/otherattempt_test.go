package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/internal/rawserver"
	"github.com/pomelolock/pomelolock/outcome"
	"github.com/pomelolock/pomelolock/table"
)

// rawServer serves each request on a connection with handle, which gets the number of the request
// on the connection and returns whether it ran.
type rawServer struct {
	mu   sync.Mutex
	runs map[string]int
}

func startRawServer(t *testing.T, handle func(conn net.Conn, n int, id string) (ran bool)) (*rawServer, string) {
	t.Helper()
	s := &rawServer{runs: make(map[string]int)}
	return s, rawserver.Start(t, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		for n := 1; ; n++ {
			req, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			id := req.Header.Get(outcome.HeaderRequestID)
			if handle(conn, n, id) {
				s.mu.Lock()
				s.runs[id]++
				s.mu.Unlock()
			}
		}
	})
}

func (s *rawServer) runsOf(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[id]
}

func whole(id string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 5\r\n\r\nwhole", outcome.HeaderRequestID, id)
}

func notRun(id string) string {
	return fmt.Sprintf("HTTP/1.1 503 Busy\r\n%s: true\r\n%s: %s\r\nContent-Length: 0\r\n\r\n",
		outcome.HeaderNotRun, outcome.HeaderRequestID, id)
}

// shiftedServer runs the first request of a connection. At the second one it writes that response
// once more and refuses the request 100 ms later; it runs all others. With echoesID, its responses bear
// the IDs of the requests.
func shiftedServer(t *testing.T, echoesID bool) (*rawServer, string) {
	t.Helper()
	first := ""
	idOf := func(id string) string {
		if echoesID {
			return id
		}
		return ""
	}
	var mu sync.Mutex
	return startRawServer(t, func(conn net.Conn, n int, id string) bool {
		mu.Lock()
		if n == 1 && first == "" {
			first = id
		}
		mu.Unlock()
		if n == 2 {
			_, _ = io.WriteString(conn, whole(idOf(first)))
			time.Sleep(100 * time.Millisecond)
			_, _ = io.WriteString(conn, notRun(idOf(id)))
			return false
		}
		_, _ = io.WriteString(conn, whole(idOf(id)))
		return true
	})
}

// TestConnectionWithAForeignResponseIsNotUsedAgain guards against "not run" for a request that runs:
// an attempt ended with the response to another request, the connection stayed in use, and the
// refusal of that attempt reached the next one, of the same request.
func TestConnectionWithAForeignResponseIsNotUsedAgain(t *testing.T) {
	g := gomega.NewWithT(t)
	s, address := shiftedServer(t, true)
	bed := newTestbed(t, func(doc *table.Document) { doc.Servers[0].Address = address }, func() fault { return faultNone })
	g.Expect(bed.send(g, http.MethodPost, "/lookup", "earlier", "", "x").outcome).To(gomega.Equal(string(outcome.Ran)))
	g.Expect(bed.send(g, http.MethodPost, "/lookup", "same", "", "x").outcome).To(gomega.Equal(string(outcome.Unknown)))
	got := bed.send(g, http.MethodPost, "/lookup", "same", "", "x")
	time.Sleep(200 * time.Millisecond)
	if got.outcome == string(outcome.NotRun) {
		g.Expect(s.runsOf("same")).To(gomega.BeZero(), "answered not-run")
	}
}

// TestRefusalOfAnotherRequestIsNoProof guards against an order that runs twice: for a service without
// checks_mark, the refusal of an earlier request counts for the order that the connection carries, even
// if it bears the ID of the earlier one, and the order is sent to a second server.
func TestRefusalOfAnotherRequestIsNoProof(t *testing.T) {
	for _, echoesID := range []bool{true, false} {
		t.Run(fmt.Sprintf("echoes ID %v", echoesID), func(t *testing.T) { testRefusalOfAnotherRequest(t, echoesID) })
	}
}

func testRefusalOfAnotherRequest(t *testing.T, echoesID bool) {
	t.Helper()
	g := gomega.NewWithT(t)
	s, address := shiftedServer(t, echoesID)
	second, secondAddress := startRawServer(t, func(conn net.Conn, _ int, id string) bool {
		_, _ = io.WriteString(conn, whole(id))
		return true
	})
	none := func() fault { return faultNone }
	bed := newTestbed(t, func(doc *table.Document) {
		doc.Services[0].ChecksMark = false
		doc.Servers[0].Address, doc.Servers[1].Address = address, secondAddress
	}, none, none)
	bed.send(g, http.MethodPost, "/order", "a", "", "x")
	bed.send(g, http.MethodPost, "/order", "b", "", "x")
	bed.send(g, http.MethodPost, "/order", "c", "", "x")
	time.Sleep(200 * time.Millisecond)
	g.Expect(s.runsOf("c")+second.runsOf("c")).To(gomega.BeNumerically("<=", 1), "runs of the order c")
}
