package soak

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// behindWork is the work of a request behind which its caller sends behindBytes from behindDelay on,
	// in behindPieces, before it has an answer.
	behindWork   = time.Second
	behindDelay  = 500 * time.Millisecond
	behindBytes  = 200_000
	behindPieces = 10
)

// TestUploadBehindTheLastRequestOfAStop guards against requests that a planned stop cancels, or whose
// answers it destroys, because of what their callers send behind them.
func TestUploadBehindTheLastRequestOfAStop(t *testing.T) {
	s := &plannedStops{soak: newSoak(t, rand.New(rand.NewPCG(1, 1)), "9000ms")}
	s.work = func() time.Duration { return behindWork }
	for n := range 12 {
		s.addBackend(n)
	}
	s.startDaemons(buildDaemon(t), 2)
	for _, d := range s.daemons {
		s.fleet = append(s.fleet, &stoppable{daemon: d})
	}
	time.Sleep(2 * time.Second)
	stopping := s.fleet[0]
	var wg sync.WaitGroup
	began := time.Now().Add(500 * time.Millisecond)
	for after := -time.Second; after < 3500*time.Millisecond; after += 50 * time.Millisecond {
		wg.Go(func() {
			time.Sleep(time.Until(began.Add(after)))
			// The listener closes in the course of the stop.
			conn, err := connect(stopping)
			if err != nil {
				return
			}
			defer conn.Close()
			c := s.sendSlowly(conn, stopping, behindWork, time.Now())
			wg.Go(func() { uploadBehind(conn, c.id) })
			c.read(conn, bufio.NewReader(conn), t)
		})
	}
	time.Sleep(time.Until(began))
	stopping.stop()
	wg.Wait()
	s.check()
	ran := 0
	for _, c := range s.calls {
		if c.complete && c.signed && c.sentAt.After(began.Add(2*time.Second)) {
			ran++
		}
	}
	if ran == 0 {
		t.Error("no request was sent late in the stop and ran")
	}
	t.Logf("%d requests were sent late in the stop and ran", ran)
}

// uploadBehind sends an upload behind the request with the given ID until the connection closes.
func uploadBehind(conn *callerConn, id string) {
	time.Sleep(behindDelay)
	_, err := fmt.Fprintf(conn, "PUT /order/%[1]s-behind HTTP/1.1\r\nHost: h\r\nRequest-Id: %[1]s-behind\r\nContent-Length: %[2]d\r\n\r\n", id, behindBytes)
	for n := 0; n < behindPieces && err == nil; n++ {
		_, err = conn.Write([]byte(strings.Repeat("x", behindBytes/behindPieces)))
		time.Sleep(20 * time.Millisecond)
	}
}
