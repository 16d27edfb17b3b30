package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

const (
	// repeatedOrders is the number of orders at each instance.
	repeatedOrders = 120
	// orderTries is how often an order is sent with the same ID.
	orderTries = 6
)

// TestRefusalsAreCopiedWhileTheRequestIsUnderWayAgain guards against orders that are answered "not
// run" although they run, or that run twice, where servers write a refusal once more when its request
// comes again on that connection: from the caller, through another entry of the server, or
// through a peer.
func TestRefusalsAreCopiedWhileTheRequestIsUnderWayAgain(t *testing.T) {
	s := newSoak(t, rand.New(rand.NewPCG(1, 1)), "2000ms")
	for n := range 2 {
		s.addBackend(n)
	}
	twice := s.backends[0]
	twice.alias = "i-alias"
	s.store.put("servers", twice.alias, map[string]any{
		"addr": twice.link.address(), "born": twice.startedMillis,
		"info":   map[string]any{"service": twice.service, "version": "v1", "zone": twice.zone, "slots": backendSlots},
		"status": map[string]any{"state": "ready", "seq": 1, "warmup_left": "0ms"},
	})
	s.startDaemons(buildDaemon(t), 3)
	time.Sleep(2 * time.Second)
	cutOff := s.daemons[0]
	cutOff.mu.Lock()
	pid := cutOff.cmd.Process.Pid
	cutOff.mu.Unlock()
	for _, b := range s.backends {
		b.link.refuse(func(conn net.Conn) bool { return ownsSocket(pid, conn) })
		b.behaviour.Store(behaveRefuse)
	}
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	refused, last := 0, make(map[int]int)
	for n := range repeatedOrders {
		for _, d := range s.daemons {
			// The servers refuse IDs that end in a byte divisible by 3.
			id := fmt.Sprintf("q%d-%c", s.sequence.Add(1), []byte("0369")[n%4])
			var status int
			for range orderTries {
				status = s.sendOrder(transport, d, id, n%2 == 0)
				if !promisesNotRun(status) {
					break
				}
				refused++
				if runs := s.journal.count(id); runs > 0 {
					t.Errorf("order %s got status %d but ran", id, status)
				}
			}
			last[status]++
			if runs := s.journal.count(id); runs > 1 || promisesNotRun(status) && runs > 0 {
				t.Errorf("order %s, whose last status is %d, ran %d times: %v", id, status, runs, s.journal.runs[id])
			}
		}
	}
	// An order that is refused at all servers comes again and is served.
	if last[http.StatusOK] < repeatedOrders*len(s.daemons)*9/10 || refused == 0 {
		t.Error("too few orders were served, or none was refused")
	}
	t.Logf("orders by their last status: %v, after %d refusals", last, refused)
}

// sendOrder sends an order, with its body in chunks or with a length, and returns the status of a
// complete response, or 0.
func (s *soak) sendOrder(transport *http.Transport, d *daemon, id string, inChunks bool) int {
	ctx, cancel := context.WithTimeout(s.t.Context(), 3*time.Second)
	defer cancel()
	// The transport doesn't retry a request whose body can't be read again.
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+d.caller+"/order/"+id, io.NopCloser(strings.NewReader("payload")))
	if err != nil {
		s.t.Error(err)
		return 0
	}
	if !inChunks {
		req.ContentLength = int64(len("payload"))
	}
	req.Host = "h"
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", "2000")
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0
	}
	return resp.StatusCode
}
