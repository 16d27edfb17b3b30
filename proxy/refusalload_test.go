package proxy_test

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/outcome"
	"github.com/pomelolock/pomelolock/proxy"
	"github.com/pomelolock/pomelolock/table"
)

// TestRefusalUnderLoadIsNoProofForTheNextRequest guards against "not run" for an order that ran, where
// the processors are busy: a connection is handed out again before the attempt that was refused on it
// has closed it, and the copy of its refusal reaches the next order. Such a server writes the copy
// when the next request arrives, and runs that. The race detector makes the order of events likely; 200
// rounds without it didn't show the fault.
func TestRefusalUnderLoadIsNoProofForTheNextRequest(t *testing.T) {
	const (
		rounds = 20
		orders = 300
	)
	g := gomega.NewWithT(t)
	var mu sync.Mutex
	refused := make(map[net.Conn]string)
	var copies atomic.Int64
	var logs lockedBuffer
	s, address := startRawServer(t, func(conn net.Conn, n int, id string) bool {
		mu.Lock()
		refusal, copied := refused[conn]
		if !copied && n == 1 {
			refused[conn] = notRun(id)
		}
		mu.Unlock()
		if !copied && n == 1 {
			_, _ = io.WriteString(conn, notRun(id))
			return false
		}
		if n == 2 {
			copies.Add(1)
			_, _ = io.WriteString(conn, refusal)
		}
		_, _ = io.WriteString(conn, whole(id))
		return true
	})
	bed := newTestbedWith(t, func(o *proxy.Options) {
		o.ConnLimit = func(table.Server) int { return 4 }
		o.Logger = slog.New(slog.NewTextHandler(&logs, nil))
	}, func(doc *table.Document) {
		doc.Services[0].ChecksMark = false
		doc.Servers[0].Address = address
	}, func() fault { return faultNone })
	var wrong atomic.Int64
	for round := range rounds {
		var wg sync.WaitGroup
		for n := range orders {
			wg.Go(func() {
				id := fmt.Sprintf("order-%d-%d", round, n)
				got := bed.send(g, http.MethodPost, "/order", id, "", "x")
				if got.outcome != string(outcome.NotRun) {
					return
				}
				time.Sleep(20 * time.Millisecond)
				if s.runsOf(id) > 0 {
					wrong.Add(1)
					t.Logf("%s: %+v\n%s", id, got, logs.linesWith(id))
				}
			})
		}
		wg.Wait()
		if wrong.Load() > 0 {
			break
		}
	}
	t.Log("copies:", copies.Load(), "wrong:", wrong.Load())
	g.Expect(wrong.Load()).To(gomega.BeZero(), "orders answered not-run that ran; %d copies", copies.Load())
}

// lockedBuffer collects log lines.
type lockedBuffer struct {
	mu    sync.Mutex
	lines []string
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lines = append(b.lines, string(p))
	return len(p), nil
}

func (b *lockedBuffer) linesWith(id string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var found strings.Builder
	for _, line := range b.lines {
		if strings.Contains(line, id+" ") {
			found.WriteString(line)
		}
	}
	return found.String()
}
