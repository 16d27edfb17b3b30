package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

// checkCopy shows upstreams that send second copies of some of their answers, late. Some of
// these are answers to status checks that an upstream rejected because it was full.
func checkCopy(t *trial) (bool, error) {
	const (
		daemons   = 3
		upstreams = 10
		slots     = 3
		queue     = 1
		// Of the upstreams, faulty ones send a second copy of copyShare of their answers,
		// in spells of copyFor with copyPause between two.
		faulty    = 6
		copyShare = 0.03
		copyFor   = 5 * time.Second
		copyPause = time.Second
		perSecond = 300
		clump     = 48
		lasts     = 100 * time.Second
	)
	s, err := startStore()
	if err != nil {
		return false, err
	}
	s.put("op", "config", map[string]any{
		"version": "r1",
		"routes": []any{map[string]any{
			"name": "r-orders", "hostname": "orders.example", "prefix": "/order/", "kind": "non_idempotent", "timeout": "1500ms",
			"latency_target": "500ms", "priority": 1, "service": "orders", "attempts": 2,
		}},
		"services": []any{map[string]any{"name": "orders", "health_path": "/healthz", "max_conns": 260, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
	})
	began := newRuns()
	var all []*upstream
	for n := range upstreams {
		random := rand.New(rand.NewPCG(t.seed, uint64(n)))
		isFaulty := t.trouble && n < faulty
		u := &upstream{
			id: fmt.Sprintf("i-orders-%d", n), service: "orders", slots: slots, queue: queue, runs: began, record: t.record, store: s,
			work: func() time.Duration { return time.Duration(45+30*rand.Float64()) * time.Millisecond },
			extra: func() float64 {
				if spell := time.Since(t.record.began) % (copyFor + copyPause); isFaulty && spell < copyFor {
					return copyShare
				}
				return 0
			},
			random: random,
		}
		if err := u.start(); err != nil {
			return false, err
		}
		defer u.close()
		all = append(all, u)
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
	var sent calls
	random := rand.New(rand.NewPCG(t.seed, 100))
	clumped(ctx, t.record, random, perSecond, clump, "order-", &sent, func() *call {
		return &call{
			method: http.MethodPost, host: "orders.example", path: "/order/2f", body: "one roll", deadline: 1500 * time.Millisecond,
			daemon: f.daemons[random.IntN(daemons)],
		}
	})
	time.Sleep(2 * time.Second)
	twice, refused := 0, 0
	for _, one := range sent.list {
		ran := began.of(one.id)
		if len(ran) > 1 {
			twice++
			t.record.say("TWICE: %s ran at %v, its caller got %d", one.id, ran, one.status)
		}
		if len(ran) > 0 && (one.status == 429 || one.status == 503 || one.status == 408 || one.status == 421) {
			refused++
			t.record.say("REFUSED: %s ran at %v, its caller got %d", one.id, ran, one.status)
		}
	}
	for _, u := range all {
		t.record.say("%s: %d answers, %d of them sent twice", u.id, u.answers, u.copies)
	}
	t.record.say("%d orders, answered %s; run twice: %d; refused though run: %d", len(sent.list), sent.statuses(), twice, refused)
	if len(sent.list) == 0 {
		return false, errors.New("nothing was sent")
	}
	return refused > 0, nil
}
