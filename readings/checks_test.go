package readings

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/internal/rawserver"
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

// TestChecksDuringAStopAreLogged guards against a log that does not tell when a status check was
// sent that was under way while the process was stopped, and against one line for each server.
func TestChecksDuringAStopAreLogged(t *testing.T) {
	g := gomega.NewWithT(t)
	var log bytes.Buffer
	c := NewChecks(CheckOptions{Logger: slog.New(slog.NewTextHandler(&log, nil))})
	target := Target{Server: "s1", DataCentre: "a"}
	now := time.Now()
	c.logLong(target, now.Add(-checkTimeout), now, nil)
	g.Expect(log.String()).To(gomega.BeEmpty())
	for range 3 * maxLongChecks {
		c.logLong(target, now.Add(-5*time.Second), now, nil)
	}
	g.Expect(strings.Count(log.String(), "status check was under way during a stop")).To(gomega.Equal(maxLongChecks))
	g.Expect(log.String()).To(gomega.ContainSubstring("written=" + now.Format("2006-01-02T15:04:05.000")))
}

// TestRejectedResponseToACheckIsLogged guards against a server that is out of use for a reason that no log
// tells: its responses to status checks are malformed.
func TestRejectedResponseToACheckIsLogged(t *testing.T) {
	g := gomega.NewWithT(t)
	var log bytes.Buffer
	c := NewChecks(CheckOptions{
		Board: NewBoard(), Pool: serverconn.NewPool(), Checker: silentChecker{}, Logger: slog.New(slog.NewTextHandler(&log, nil)),
	})
	address := rawserver.Start(t, rawserver.Respond("HTTP/1.1 000 X\r\nContent-Length: 0\r\n\r\n"))
	conn, err := c.opts.Pool.Get(t.Context(), address, 0)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	reading := c.checkOn(t.Context(), conn, Target{Server: "s1", Address: address, Path: "/health"})
	g.Expect(reading.Health).To(gomega.Equal(HealthUnreachable))
	g.Expect(log.String()).To(gomega.MatchRegexp(`"status check failed" server=s1 error=".*malformed response head, line 1: `))
}

// TestServerExcludedBeforeTheWriteIsNotChecked guards against a status check that is written after
// the process was stopped, although nothing may be sent to the server any longer.
func TestServerExcludedBeforeTheWriteIsNotChecked(t *testing.T) {
	g := gomega.NewWithT(t)
	var looks, received atomic.Int64
	pool := serverconn.NewPool()
	pool.Dial = func(context.Context, string, string) (net.Conn, error) {
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
		// The looks before are those before and after connecting.
		Excluded: func(Target) bool { return looks.Add(1) == 3 }, Logger: slog.New(slog.DiscardHandler),
	})
	target := Target{Server: "s1", Address: "s1:1", Path: "/health"}
	c.Refresh(t.Context(), []Target{target}, time.Minute)
	g.Expect(looks.Load()).To(gomega.Equal(int64(3)))
	g.Expect(received.Load()).To(gomega.BeZero())
	g.Expect(board.LastReading("s1")).To(gomega.BeZero(), "no check was made")
	c.Refresh(t.Context(), []Target{target}, time.Minute)
	g.Expect(received.Load()).To(gomega.Equal(int64(1)), "the server is checked again")
}
