package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"
)

// pipeliner is a requester that keeps a channel open and sends idempotent requests on it at a
// steady pace, also before the ones before have been answered, until an answer says that the
// channel closes.
type pipeliner struct {
	t      *trial
	n      int
	daemon *daemon
	host   string
	path   string
	// interval is the mean time between two requests.
	interval time.Duration

	mu   sync.Mutex
	sent []*call
	// ended is when the channel ended, announced whether an answer had said so.
	ended     time.Time
	announced bool
}

func (p *pipeliner) run(ctx context.Context, deadline time.Duration) error {
	conn, err := net.Dial("tcp", p.daemon.front)
	if err != nil {
		return err
	}
	defer conn.Close()
	send := func() error {
		p.mu.Lock()
		one := &call{id: fmt.Sprintf("look-%d-%d", p.n, len(p.sent)), method: http.MethodGet, path: p.path, deadline: deadline, daemon: p.daemon, sentAt: time.Now()}
		p.sent = append(p.sent, one)
		p.mu.Unlock()
		p.t.record.add("sent GET %s %s to daemon %d on channel %d", p.path, one.id, p.daemon.n, p.n)
		_, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n\r\n", p.path, p.host, one.id, deadline.Milliseconds())
		return err
	}
	closing, stopSending := context.WithCancel(ctx)
	defer stopSending()
	if err := send(); err != nil {
		return err
	}
	var sender sync.WaitGroup
	defer sender.Wait()
	defer stopSending()
	sender.Go(func() {
		random := rand.New(rand.NewPCG(p.t.seed, uint64(p.n)))
		for {
			select {
			case <-closing.Done():
				return
			case <-time.After(p.interval/2 + time.Duration(random.Int64N(int64(p.interval)))):
			}
			if send() != nil {
				return
			}
		}
	})
	reader := bufio.NewReader(conn)
	for next := 0; ; next++ {
		one := p.await(ctx, next)
		if one == nil {
			return nil
		}
		_ = conn.SetReadDeadline(one.sentAt.Add(deadline + 2*time.Second))
		resp, err := http.ReadResponse(reader, &http.Request{Method: http.MethodGet})
		if err == nil {
			var body []byte
			if body, err = io.ReadAll(resp.Body); err == nil {
				one.status, one.took = resp.StatusCode, time.Since(one.sentAt)
				p.t.record.add("answered %s status=%d took=%s close=%v body=%.40q", one.id, one.status, one.took.Round(time.Millisecond), resp.Close, body)
			}
		}
		if err != nil {
			p.mu.Lock()
			p.ended = time.Now()
			p.mu.Unlock()
			p.t.record.add("channel %d ended without an answer to %s: %v", p.n, one.id, err)
			return nil
		}
		if resp.Close {
			p.mu.Lock()
			p.ended, p.announced = time.Now(), true
			p.mu.Unlock()
			return nil
		}
	}
}

// await returns the request with the given number once it has been sent, or nil if no more
// are sent.
func (p *pipeliner) await(ctx context.Context, n int) *call {
	for {
		p.mu.Lock()
		if n < len(p.sent) {
			one := p.sent[n]
			p.mu.Unlock()
			return one
		}
		p.mu.Unlock()
		if ctx.Err() != nil {
			return nil
		}
		time.Sleep(time.Millisecond)
	}
}
