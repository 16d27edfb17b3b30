package soak

import (
	"bufio"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

var (
	stopSeeds = flag.Int("stop-seeds", 1, "number of seeds of TestPlannedStops")
	stopFleet = flag.Int("stop-fleet", 6, "number of daemons of TestPlannedStops")
	stopTime  = flag.Duration("stop-time", 20*time.Second, "time for which TestPlannedStops stops daemons")
)

const (
	// The users allow a planned stop grace. A request that an instance has read whole gets an
	// answer, unless a server still worked on it in the last sixth of grace and it was sent no
	// later than excusedSend after the signal, or its deadline was reached. A request that no
	// server has got may be cut lossSlack after it was sent.
	grace       = 6 * time.Second
	excusedSend = 3 * time.Second
	lossSlack   = 200 * time.Millisecond
	// readyInterval and readyMisses are how the platform's balancer asks for readiness.
	readyInterval = time.Second
	readyMisses   = 2
)

// channelCall is a request on a connection that may carry several.
type channelCall struct {
	id         string
	idempotent bool
	daemon     *stoppable
	deadline   time.Duration
	// behind is set if another request on the connection had no answer yet.
	behind bool
	// openedAt is before the connection was opened, beganAt before the first byte was sent, sentAt
	// after the last one.
	openedAt, beganAt, sentAt, endedAt time.Time
	status                             int
	signed, complete                   bool
	// announced is set if an answer before had said that the connection closes.
	announced bool
	err       error
}

// callerConn is the connection of a caller.
type callerConn struct {
	net.Conn
	// openedAt is before the connection was opened.
	openedAt time.Time
}

// stoppable is a daemon that is stopped and started again.
type stoppable struct {
	*daemon
	misses  atomic.Int32
	mu      sync.Mutex
	stopped []time.Time
}

// stop sends SIGTERM, and SIGKILL after grace unless the process has ended.
func (s *stoppable) stop() {
	s.daemon.mu.Lock()
	process := s.cmd.Process
	s.daemon.mu.Unlock()
	s.mu.Lock()
	s.stopped = append(s.stopped, time.Now())
	s.mu.Unlock()
	_ = process.Signal(syscall.SIGTERM)
	time.AfterFunc(grace, func() { _ = process.Kill() })
}

// stopRestarted stops the process once more, a short time after it has ended and started again.
func (s *stoppable) stopRestarted(delay time.Duration) {
	for ends := s.ends.Load(); s.ends.Load() == ends; {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(restartDelay + delay)
	s.stop()
}

// lastStop returns the last signal before the given time.
func (s *stoppable) lastStop(before time.Time) (last time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, at := range s.stopped {
		if at.Before(before) {
			last = at
		}
	}
	return last
}

// plannedStops is a fleet under load whose daemons are stopped one after another.
type plannedStops struct {
	*soak
	fleet []*stoppable
	mu    sync.Mutex
	calls []*channelCall
	// orders is set if half of the requests that are pipelined are orders.
	orders bool
	// disturbed is set if processes are suspended and links disturbed beside the stops.
	disturbed bool
}

// TestPlannedStops guards against requests that a planned stop cuts off, answers in place of a
// server at work, or refuses although they run. Callers keep connections open, pipeline, upload
// and wait in queues; the daemons get SIGTERM in series, with repeated signals and reloads.
func TestPlannedStops(t *testing.T) {
	binary := buildDaemon(t)
	for n := range *stopSeeds {
		seed := *first + uint64(n)
		t.Run(fmt.Sprint(seed), func(t *testing.T) { runStops(t, binary, seed) })
	}
}

func runStops(t *testing.T, binary string, seed uint64) {
	s := &plannedStops{soak: newSoak(t, rand.New(rand.NewPCG(seed, 1)), "9000ms")}
	s.work = func() time.Duration { return time.Duration(60+rand.IntN(240)) * time.Millisecond }
	for n := range *stopFleet {
		s.addBackend(n)
	}
	s.startDaemons(binary, *stopFleet)
	for _, d := range s.daemons {
		s.fleet = append(s.fleet, &stoppable{daemon: d})
	}
	time.Sleep(2 * time.Second)
	ctx, cancel := context.WithTimeout(t.Context(), *stopTime)
	defer cancel()
	var wg sync.WaitGroup
	wg.Go(func() { s.balance(ctx) })
	for n := range 4 * len(s.fleet) {
		random := rand.New(rand.NewPCG(seed, uint64(100+n)))
		switch n % 4 {
		case 0:
			wg.Go(func() { s.pipeline(ctx, random) })
		case 1:
			wg.Go(func() { s.keep(ctx, random, true) })
		case 2:
			wg.Go(func() { s.keep(ctx, random, false) })
		case 3:
			wg.Go(func() { s.burst(ctx, random) })
		}
	}
	s.stopInSeries(ctx)
	wg.Wait()
	s.check()
}

// stopInSeries stops one or two daemons at a time, while others still stop, until ctx ends.
func (s *plannedStops) stopInSeries(ctx context.Context) {
	for ctx.Err() == nil {
		for range 1 + s.rng.IntN(2) {
			d := s.fleet[s.rng.IntN(len(s.fleet))]
			if time.Since(d.lastStop(time.Now())) < grace+3*time.Second {
				continue
			}
			d.stop()
			switch s.rng.IntN(4) {
			case 0:
				time.AfterFunc(time.Duration(s.rng.IntN(4000))*time.Millisecond, func() { d.signal(syscall.SIGHUP) })
			case 1:
				time.AfterFunc(time.Duration(s.rng.IntN(1000))*time.Millisecond, func() { d.signal(syscall.SIGTERM) })
			case 2:
				delay := time.Duration(s.rng.IntN(600)) * time.Millisecond
				go d.stopRestarted(delay)
			}
		}
		if s.rng.IntN(3) == 0 {
			s.accept(fmt.Sprintf("/extra%d/", s.rng.IntN(5)))
		}
		time.Sleep(time.Duration(400+s.rng.IntN(1200)) * time.Millisecond)
	}
}

// balance takes daemons out of rotation as the platform's balancer does.
func (s *plannedStops) balance(ctx context.Context) {
	client := &http.Client{Timeout: readyInterval, Transport: &http.Transport{DisableKeepAlives: true}}
	for ctx.Err() == nil {
		for _, d := range s.fleet {
			resp, err := client.Get("http://" + d.ready + "/-/readyz")
			if err == nil {
				resp.Body.Close()
			}
			if err != nil || resp.StatusCode != http.StatusOK {
				d.misses.Add(1)
			} else {
				d.misses.Store(0)
			}
		}
		time.Sleep(readyInterval)
	}
}

// connect opens a connection to a daemon.
func connect(d *stoppable) (*callerConn, error) {
	openedAt := time.Now()
	conn, err := net.Dial("tcp", d.caller)
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: conn, openedAt: openedAt}, nil
}

// dial opens a connection to a daemon in rotation.
func (s *plannedStops) dial(random *rand.Rand) (*stoppable, *callerConn) {
	for range 10 * len(s.fleet) {
		d := s.fleet[random.IntN(len(s.fleet))]
		if d.misses.Load() >= readyMisses {
			continue
		}
		if conn, err := connect(d); err == nil {
			return d, conn
		}
		time.Sleep(10 * time.Millisecond)
	}
	return nil, nil
}

// send writes a request. Half of the orders have a long body.
func (s *plannedStops) send(conn *callerConn, d *stoppable, idempotent, behind bool, deadline time.Duration) (*channelCall, error) {
	n := s.sequence.Add(1)
	c := &channelCall{id: fmt.Sprint("q", n), idempotent: idempotent, daemon: d, deadline: deadline, behind: behind, openedAt: conn.openedAt}
	method, path, body := http.MethodGet, "/look/"+c.id, ""
	if !idempotent {
		method, path, body = http.MethodPost, "/order/"+c.id, "x"
		if n%2 == 0 {
			body = string(make([]byte, 20_000))
		}
	}
	c.beganAt = time.Now()
	_, err := fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n%s",
		method, path, c.id, deadline.Milliseconds(), len(body), body)
	c.sentAt = time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, c)
	return c, err
}

// read reads the answer to a request and reports whether the connection stays open.
func (c *channelCall) read(conn net.Conn, reader *bufio.Reader, t *testing.T) (open bool) {
	_ = conn.SetReadDeadline(c.sentAt.Add(c.deadline + time.Second))
	resp, err := http.ReadResponse(reader, &http.Request{Method: http.MethodGet})
	var body []byte
	if err == nil {
		body, err = io.ReadAll(resp.Body)
	}
	c.endedAt = time.Now()
	if err != nil {
		c.err = err
		return false
	}
	c.complete, c.status, c.signed = true, resp.StatusCode, resp.Header.Get("Upstream-Signature") != ""
	if got := resp.Header.Get("Request-Id"); got != c.id {
		t.Errorf("request %s got the answer to %q, status %d", c.id, got, resp.StatusCode)
	}
	if c.signed && string(body[:min(len(body), len(c.id))]) != c.id {
		t.Errorf("request %s got the body %q", c.id, body)
	}
	return !resp.Close
}

// pipeline keeps a connection open and sends requests at a steady pace, also while others have
// no answer yet, until an answer says that the connection closes.
func (s *plannedStops) pipeline(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		d, conn := s.dial(random)
		if conn == nil {
			continue
		}
		sent := make(chan *channelCall, 1000)
		closing := make(chan struct{})
		go func() {
			defer close(sent)
			for n := 0; ctx.Err() == nil; n++ {
				c, err := s.send(conn, d, !s.orders || n%2 == 0, n > 0, 1500*time.Millisecond)
				sent <- c
				if err != nil {
					return
				}
				select {
				case <-closing:
					return
				case <-time.After(time.Duration(20+random.IntN(80)) * time.Millisecond):
				}
			}
		}()
		reader := bufio.NewReader(conn)
		open, announced := true, false
		var err error
		for c := range sent {
			if !open {
				c.announced, c.err, c.endedAt = announced, err, time.Now()
				continue
			}
			if open = c.read(conn, reader, s.t); !open {
				// After its deadline, the caller closes the connection itself. Where no process is suspended
				// and no link disturbed, a caller without an answer by then is a fault.
				announced, err = c.complete || s.disturbed && errors.Is(c.err, os.ErrDeadlineExceeded), c.err
				close(closing)
			}
		}
		conn.Close()
	}
}

// keep sends one request after another on a connection, with pauses, until an answer closes it.
func (s *plannedStops) keep(ctx context.Context, random *rand.Rand, idempotent bool) {
	for ctx.Err() == nil {
		d, conn := s.dial(random)
		if conn == nil {
			continue
		}
		reader := bufio.NewReader(conn)
		for open := true; open && ctx.Err() == nil; {
			c, err := s.send(conn, d, idempotent, false, 2500*time.Millisecond)
			open = c.read(conn, reader, s.t) && err == nil
			time.Sleep(time.Duration(random.IntN(150)) * time.Millisecond)
		}
		conn.Close()
	}
}

// burst sends many requests at once, each on a connection of its own, so that they wait in
// queues.
func (s *plannedStops) burst(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		var wg sync.WaitGroup
		for range 1 + random.IntN(16) {
			d, conn := s.dial(random)
			if conn == nil {
				continue
			}
			wg.Go(func() {
				defer conn.Close()
				c, _ := s.send(conn, d, false, false, 8*time.Second)
				c.read(conn, bufio.NewReader(conn), s.t)
			})
		}
		wg.Wait()
	}
}

// check compares what callers got with what servers ran.
func (s *plannedStops) check() {
	count := make(map[int]int)
	for _, c := range s.calls {
		count[c.status]++
		inTime := c.endedAt.Sub(c.beganAt) < c.deadline
		runs := s.journal.count(c.id)
		if !c.idempotent && runs > 1 {
			s.t.Errorf("order %s ran %d times", c.id, runs)
		}
		if (c.status == http.StatusServiceUnavailable || c.status == http.StatusTooManyRequests) && runs > 0 && !c.idempotent {
			s.t.Errorf("order %s got %d and ran", c.id, c.status)
		}
		stop := c.daemon.lastStop(c.endedAt)
		after := c.endedAt.Sub(stop)
		if stop.IsZero() || after > grace+time.Second || c.announced || !inTime {
			if !c.complete && !c.announced && inTime {
				s.t.Errorf("no answer to %s without a stop: %v", c.id, c.err)
			}
			continue
		}
		working := s.journal.atWork(c.id, c.endedAt)
		if working && after > grace*5/6 && c.sentAt.Sub(stop) <= excusedSend {
			continue
		}
		switch {
		case !c.complete && runs > 0:
			s.t.Errorf("no answer to %s (behind=%t), sent %v after the stop, which ran and was cut %v after the stop, at work=%t: %v",
				c.id, c.behind, c.sentAt.Sub(stop), after, working, c.err)
		case !c.complete && !c.behind && c.endedAt.Sub(c.sentAt) > lossSlack:
			s.t.Errorf("no answer to %s, sent %v after the stop, which no server got, cut %v after the stop: %v", c.id, c.sentAt.Sub(stop), after, c.err)
		case c.complete && !c.signed && c.status >= http.StatusInternalServerError && c.status != http.StatusServiceUnavailable && working:
			s.t.Errorf("%s got %d %v after the stop while a server worked on it", c.id, c.status, after)
		}
	}
	s.t.Logf("%d requests, answers by status (0 is none) %v", len(s.calls), count)
}
