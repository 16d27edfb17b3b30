package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// pipelineStop shows the planned stop of a daemon whose requesters keep requests on their
// channels.
func pipelineStop(t *trial) (bool, error) {
	const (
		daemons   = 2
		upstreams = 6
		clients   = 8
		interval  = 60 * time.Millisecond
		deadline  = 1200 * time.Millisecond
		before    = 5 * time.Second
		grace     = 6 * time.Second
	)
	s, err := startStore()
	if err != nil {
		return false, err
	}
	s.put("op", "config", map[string]any{
		"version": "r1",
		"routes": []any{map[string]any{
			"name": "r-looks", "hostname": "looks.example", "prefix": "/look/", "kind": "idempotent", "timeout": "1500ms",
			"latency_target": "400ms", "priority": 2, "service": "looks", "attempts": 2,
		}},
		"services": []any{map[string]any{"name": "looks", "health_path": "/healthz", "max_conns": 260, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
	})
	began := newRuns()
	for n := range upstreams {
		u := &upstream{
			id: fmt.Sprintf("i-looks-%d", n), service: "looks", slots: 6, queue: 6, load: true, runs: began, record: t.record, store: s,
			work:  func() time.Duration { return time.Duration(100+100*rand.Float64()) * time.Millisecond },
			extra: func() float64 { return 0 }, random: rand.New(rand.NewPCG(t.seed, uint64(n))),
		}
		if err := u.start(); err != nil {
			return false, err
		}
		defer u.close()
	}
	f, err := newFleet(t.record, t.root, daemons, s.address, smallContracts, smallBounds)
	if err != nil {
		return false, err
	}
	defer f.stop(t.folder)
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)

	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stopping := f.daemons[0]
	var all []*pipeliner
	var wg sync.WaitGroup
	for n := range clients {
		p := &pipeliner{t: t, n: n, daemon: f.daemons[n%daemons], interval: interval, host: "looks.example", path: "/look/2f"}
		all = append(all, p)
		wg.Go(func() {
			if err := p.run(ctx, deadline); err != nil {
				t.record.say("channel %d: %v", p.n, err)
			}
		})
	}
	time.Sleep(before)
	stoppedAt := time.Now()
	if t.trouble {
		stopping.signal(t.record, syscall.SIGTERM)
		select {
		case <-stopping.done:
		case <-time.After(grace):
			stopping.signal(t.record, syscall.SIGKILL)
		}
	} else {
		time.Sleep(grace)
	}
	t.record.add("the daemon stopped %.2f s after the SIGTERM", time.Since(stoppedAt).Seconds())
	cancel()
	wg.Wait()

	lost, answered := 0, 0
	for _, p := range all {
		for _, one := range p.sent {
			if one.status != 0 {
				answered++
				continue
			}
			after := one.sentAt.Sub(stoppedAt)
			inTime := p.ended.Sub(one.sentAt) < deadline
			ran := began.of(one.id)
			t.record.say("no answer to %s, sent %.2f s after the SIGTERM to daemon %d, run at %v, channel ended %.2f s after the SIGTERM, announced=%v",
				one.id, after.Seconds(), p.daemon.n, ran, p.ended.Sub(stoppedAt).Seconds(), p.announced)
			// Requests behind an answer that closes the channel count as not read. Those that
			// were sent up to 3 s after the SIGTERM may be excused.
			if len(ran) > 0 && inTime && !p.announced && after > 3*time.Second {
				lost++
			}
		}
	}
	t.record.say("%d requests answered, %d passed on to an upstream and cut", answered, lost)
	if answered == 0 {
		return false, fmt.Errorf("nothing was answered")
	}
	return lost > 0, nil
}
