package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// pipelineBreak shows upstreams that break off some of their large answers, to requesters that
// send further downloads on a channel before the first one has been answered.
func pipelineBreak(t *trial) (bool, error) {
	const (
		daemons   = 2
		upstreams = 6
		// Of the upstreams, faulty ones break off breakShare of their answers, in spells of
		// breakFor with breakPause between two.
		faulty     = 2
		breakShare = 0.02
		breakFor   = 5500 * time.Millisecond
		breakPause = time.Second
		clients    = 10
		interval   = 60 * time.Millisecond
		deadline   = 4 * time.Second
		lasts      = 80 * time.Second
		minBytes   = 400_000
		maxBytes   = 540_000
		// allowed is the number of such requests that the rule allows a machine.
		allowed = 3
	)
	s, err := startStore()
	if err != nil {
		return false, err
	}
	s.put("op", "config", map[string]any{
		"version": "r1",
		"routes": []any{map[string]any{
			"name": "r-vault", "hostname": "vault.example", "prefix": "/vault/", "kind": "download", "timeout": "4000ms",
			"latency_target": "2000ms", "priority": 2, "service": "vault", "attempts": 2,
		}},
		"services": []any{map[string]any{"name": "vault", "health_path": "/healthz", "max_conns": 260, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
	})
	began := newRuns()
	var unsound []string
	for n := range upstreams {
		isFaulty := n < faulty
		u := &upstream{
			id: fmt.Sprintf("i-vault-%d", n), service: "vault", slots: 6, queue: 6, load: true, runs: began, record: t.record, store: s,
			work: func() time.Duration { return time.Duration(100+60*rand.Float64()) * time.Millisecond },
			size: func() int { return minBytes + rand.IntN(maxBytes-minBytes) },
			breaks: func() float64 {
				if spell := time.Since(t.record.began) % (breakFor + breakPause); t.trouble && isFaulty && spell < breakFor {
					return breakShare
				}
				return 0
			},
			random: rand.New(rand.NewPCG(t.seed, uint64(n))),
		}
		if err := u.start(); err != nil {
			return false, err
		}
		defer u.close()
		if isFaulty {
			unsound = append(unsound, u.id)
		}
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

	ctx, cancel := context.WithTimeout(context.Background(), lasts)
	defer cancel()
	var mu sync.Mutex
	var all []*pipeliner
	var wg sync.WaitGroup
	for n := range clients {
		wg.Go(func() {
			for ctx.Err() == nil {
				mu.Lock()
				p := &pipeliner{t: t, n: len(all), daemon: f.daemons[n%daemons], interval: interval, host: "vault.example", path: "/vault/2f"}
				all = append(all, p)
				mu.Unlock()
				if err := p.run(ctx, deadline); err != nil {
					t.record.say("channel %d: %v", p.n, err)
				}
			}
		})
	}
	wg.Wait()

	lost, answered := make([]int, daemons), 0
	for _, p := range all {
		for _, one := range p.sent {
			if one.status != 0 {
				answered++
				continue
			}
			ran := began.of(one.id)
			sound := len(ran) > 0 && !slices.ContainsFunc(ran, func(id string) bool { return slices.Contains(unsound, id) })
			t.record.add("no answer to %s at daemon %d, run at %s, channel ended %.2f s after it was sent",
				one.id, p.daemon.n, strings.Join(ran, ","), p.ended.Sub(one.sentAt).Seconds())
			if sound && !p.announced && p.ended.Sub(one.sentAt) < deadline {
				lost[p.daemon.n]++
			}
		}
	}
	t.record.say("%d channels, %d requests answered; passed on to a sound upstream and cut, by daemon: %v, allowed: %d", len(all), answered, lost, allowed)
	if answered == 0 {
		return false, errors.New("nothing was answered")
	}
	return slices.Max(lost) > allowed, nil
}
