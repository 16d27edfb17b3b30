package readings

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/serverconn"
)

type silentChecker struct{}

func (silentChecker) ServerID(http.Header) string  { return "s1" }
func (silentChecker) RequestID(http.Header) string { return "" }
func (silentChecker) Report(http.Header) *Report   { return nil }
func (silentChecker) Notice(*http.Response) Notice { return Notice{} }

// TestServerExcludedWhileConnectingIsNotChecked guards against a status check that reaches a
// server to which nothing may be sent any longer, because the check began before, and against
// a server that is never checked again after that.
func TestServerExcludedWhileConnectingIsNotChecked(t *testing.T) {
	g := gomega.NewWithT(t)
	var excluded atomic.Bool
	var received atomic.Int64
	pool := serverconn.NewPool()
	pool.Dial = func(context.Context, string, string) (net.Conn, error) {
		excluded.Store(true)
		client, server := net.Pipe()
		go func() {
			n, _ := server.Read(make([]byte, 1))
			received.Add(int64(n))
			server.Close()
		}()
		return client, nil
	}
	board := NewBoard()
	c := NewChecks(CheckOptions{
		Board: board, Pool: pool, Checker: silentChecker{}, OnNotice: func(Target, Notice) {},
		Excluded: func(Target) bool { return excluded.Load() }, Logger: slog.New(slog.DiscardHandler),
	})
	target := Target{Server: "s1", Address: "s1:1", Path: "/health"}
	c.Refresh(t.Context(), []Target{target}, time.Minute)
	g.Expect(received.Load()).To(gomega.BeZero())
	g.Expect(board.LastReading("s1")).To(gomega.BeZero(), "no check was made")
	excluded.Store(false)
	pool.Dial = func(context.Context, string, string) (net.Conn, error) {
		received.Add(1)
		return nil, net.ErrClosed
	}
	c.Refresh(t.Context(), []Target{target}, time.Minute)
	g.Expect(received.Load()).To(gomega.Equal(int64(1)))
}
