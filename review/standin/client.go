package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// call is one requester attempt and its answer.
type call struct {
	id, method, host, path string
	body                   string
	deadline               time.Duration
	daemon                 *daemon
	key                    string
	sentAt                 time.Time
	took                   time.Duration

	// status is 0 without a complete answer.
	status int
	header http.Header
	answer string
	err    error
}

// calls holds all calls of a case.
type calls struct {
	mu   sync.Mutex
	list []*call
}

func (c *calls) add(one *call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.list = append(c.list, one)
}

// statuses describes how many calls ended with which status.
func (c *calls) statuses() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := make(map[int]int)
	for _, one := range c.list {
		count[one.status]++
	}
	return fmt.Sprint(count)
}

// send sends the call on a channel of its own, waits for the answer and records both.
func (c *call) send(rec *record) {
	c.sentAt = time.Now()
	rec.add("sent %s %s %s to daemon %d", c.method, c.path, c.id, c.daemon.n)
	c.status, c.header, c.answer, c.err = c.exchange()
	c.took = time.Since(c.sentAt)
	rec.add("answered %s status=%d took=%s err=%v body=%.40q", c.id, c.status, c.took.Round(time.Millisecond), c.err, c.answer)
}

func (c *call) exchange() (int, http.Header, string, error) {
	dialer := net.Dialer{Timeout: time.Second}
	conn, err := dialer.Dial("tcp", c.daemon.front)
	if err != nil {
		return 0, nil, "", err
	}
	defer conn.Close()
	_ = conn.SetDeadline(c.sentAt.Add(c.deadline + 500*time.Millisecond))
	var text strings.Builder
	fmt.Fprintf(&text, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", c.method, c.path, c.host, c.id, c.deadline.Milliseconds())
	if c.key != "" {
		fmt.Fprintf(&text, "X-Api-Key: %s\r\n", c.key)
	}
	if c.body != "" || c.method == http.MethodPost {
		fmt.Fprintf(&text, "Content-Length: %d\r\n", len(c.body))
	}
	text.WriteString("\r\n" + c.body)
	if _, err := io.WriteString(conn, text.String()); err != nil {
		return 0, nil, "", err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), &http.Request{Method: c.method})
	if err != nil {
		return 0, nil, "", err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, resp.Header, string(body), err
	}
	return resp.StatusCode, resp.Header, string(body), nil
}

// load sends calls at random times, perSecond on average, until ctx ends, and waits for their
// answers. next returns the next call, without its ID.
func load(ctx context.Context, rec *record, random *rand.Rand, perSecond float64, prefix string, all *calls, next func() *call) {
	var wg sync.WaitGroup
	defer wg.Wait()
	at := time.Now()
	for n := 0; ; n++ {
		at = at.Add(time.Duration(random.ExpFloat64() / perSecond * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(at)):
		}
		one := next()
		one.id = prefix + strconv.Itoa(n)
		all.add(one)
		wg.Go(func() { one.send(rec) })
	}
}

// clumped is like load, but the calls come in clumps of up to twice the given size less one.
func clumped(ctx context.Context, rec *record, random *rand.Rand, perSecond float64, clump int, prefix string, all *calls, next func() *call) {
	var wg sync.WaitGroup
	defer wg.Wait()
	at := time.Now()
	for n := 0; ; {
		at = at.Add(time.Duration(random.ExpFloat64() * float64(clump) / perSecond * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(at)):
		}
		for range 1 + random.IntN(2*clump-1) {
			one := next()
			one.id = prefix + strconv.Itoa(n)
			n++
			all.add(one)
			wg.Go(func() { one.send(rec) })
		}
	}
}
