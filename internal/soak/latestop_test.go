package soak

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

const (
	// longWork is the work of a request that a server can't finish before the end of the grace
	// period, unlike the usual ones.
	longWork = 5 * time.Second
	// longDeadline is its deadline.
	longDeadline = 9 * time.Second
)

// sendSlowly sends an order whose last byte is sent at the given time.
func (s *plannedStops) sendSlowly(conn net.Conn, d *stoppable, work time.Duration, last time.Time) *channelCall {
	c := &channelCall{id: fmt.Sprint("q", s.sequence.Add(1)), daemon: d, deadline: longDeadline, beganAt: time.Now()}
	_, c.err = fmt.Fprintf(conn, "POST /order/%s HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n%s: %d\r\nContent-Length: 2\r\n\r\nx",
		c.id, c.id, longDeadline.Milliseconds(), workHeader, work.Milliseconds())
	time.Sleep(time.Until(last))
	_, c.err = conn.Write([]byte("y"))
	c.sentAt = time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, c)
	return c
}

// TestLongRequestsLateInTheGrace guards against requests that are taken late in the grace period of a
// planned stop, passed on, and cut at its end: on connections kept open, with a body that ends late,
// and delegated by an instance that reaches no server.
func TestLongRequestsLateInTheGrace(t *testing.T) {
	binary := buildDaemon(t)
	s := &plannedStops{soak: newSoak(t, rand.New(rand.NewPCG(1, 1)), "9000ms")}
	s.work = func() time.Duration { return 100 * time.Millisecond }
	for n := range 6 {
		s.addBackend(n)
	}
	s.startDaemons(binary, 3)
	for _, d := range s.daemons {
		s.fleet = append(s.fleet, &stoppable{daemon: d})
	}
	time.Sleep(2 * time.Second)
	stopping, delegating := s.fleet[0], s.fleet[1]
	// The other one stops too, so that no instance but the stopping ones can serve for the one
	// that delegates.
	other := s.fleet[2]
	delegating.daemon.mu.Lock()
	pid := delegating.cmd.Process.Pid
	delegating.daemon.mu.Unlock()
	for _, b := range s.backends {
		b.link.refuse(func(conn net.Conn) bool { return ownsSocket(pid, conn) })
	}
	// The servers' usual time has to be known, and that one instance reaches none.
	for _, d := range s.fleet {
		s.usual(t, d, 40)
	}
	before := len(s.calls)

	var wg sync.WaitGroup
	began := time.Now().Add(500 * time.Millisecond)
	for _, after := range []time.Duration{-200 * time.Millisecond, 500 * time.Millisecond, 1500 * time.Millisecond, 2300 * time.Millisecond,
		2550 * time.Millisecond, 2650 * time.Millisecond, 3100 * time.Millisecond, 3500 * time.Millisecond, 4 * time.Second, 5 * time.Second} {
		for _, d := range s.fleet {
			for _, kept := range []bool{true, false} {
				conn, err := net.Dial("tcp", d.caller)
				if err != nil {
					t.Fatal(err)
				}
				wg.Go(func() {
					defer conn.Close()
					reader := bufio.NewReader(conn)
					if kept {
						time.Sleep(time.Until(began.Add(after)))
					}
					c := s.sendSlowly(conn, d, longWork, began.Add(after))
					c.read(conn, reader, t)
				})
			}
		}
	}
	time.Sleep(time.Until(began))
	stopping.stop()
	other.stop()
	wg.Wait()
	s.check()
	delegated := 0
	for _, c := range s.calls[before:] {
		if c.daemon == delegating && s.journal.count(c.id) > 0 {
			delegated++
		}
	}
	if delegated == 0 {
		t.Error("no long request was delegated")
	}
	t.Logf("%d of %d long requests were delegated and ran", delegated, (len(s.calls)-before)/len(s.fleet))
}

// usual sends requests of the usual duration, one after the other, until count of them in a row
// are served.
func (s *plannedStops) usual(t *testing.T, d *stoppable, count int) {
	t.Helper()
	conn, err := connect(d)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for served, end := 0, time.Now().Add(30*time.Second); served < count; served++ {
		c, err := s.send(conn, d, true, false, 2500*time.Millisecond)
		if open := c.read(conn, reader, t); !open || err != nil {
			t.Fatalf("connection closed: %v, %v", err, c.err)
		}
		if c.status != http.StatusOK {
			served = -1
		}
		if time.Now().After(end) {
			t.Fatalf("requests are not served: status %d", c.status)
		}
	}
}
