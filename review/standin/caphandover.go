package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// metric reads one metric of a daemon from its metrics address.
func (d *daemon) metric(name string) (float64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.ip+":9464/metrics", nil)
	if err != nil {
		return 0, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if value, ok := strings.CutPrefix(lines.Text(), name+" "); ok {
			return strconv.ParseFloat(strings.TrimSpace(value), 64)
		}
	}
	return 0, fmt.Errorf("no metric %s", name)
}

// granted returns how many units of caps each daemon has granted.
func (f *fleet) granted() (map[*daemon]float64, error) {
	all := make(map[*daemon]float64)
	for _, d := range f.daemons {
		units, err := d.metric("pomelolock_quota_granted_total")
		if err != nil {
			return nil, err
		}
		all[d] = units
	}
	return all, nil
}

// capHandover shows a tenant that uses the burst of its cap, each time after it was idle, while
// the daemon that grants its units is stopped as planned and started again.
func capHandover(t *trial) (bool, error) {
	const (
		daemons   = 8
		upstreams = 6
		rate      = 20
		burst     = 100
		window    = 5 * time.Second
		excess    = 0.1
		slack     = 20
		// In each round the tenant is idle for idleFor, and then sends perSecond requests
		// for busyFor. The daemon is stopped stopAfter into that time.
		rounds    = 6
		idleFor   = 9 * time.Second
		busyFor   = 5500 * time.Millisecond
		stopAfter = 900 * time.Millisecond
		perSecond = 400
		// startSpread is the time within which machines start, restart that after which the
		// platform starts a process again.
		startSpread = 300 * time.Millisecond
		restart     = 300 * time.Millisecond
	)
	s, err := startStore()
	if err != nil {
		return false, err
	}
	s.put("op", "config", map[string]any{
		"version": "r1",
		"routes": []any{map[string]any{
			"name": "r-docks", "hostname": "docks.example", "prefix": "/dock/", "kind": "non_idempotent", "timeout": "1500ms",
			"latency_target": "500ms", "priority": 1, "service": "docks", "attempts": 2, "public": false,
		}},
		"services": []any{map[string]any{"name": "docks", "health_path": "/healthz", "max_conns": 880, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout": "3000ms", "idle_timeout": "15000ms"},
		"tenants": []any{
			map[string]any{"name": "riders", "api_keys": []string{"riderskey00000000001"}, "priority": 1, "rate_per_s": rate, "burst": burst},
			map[string]any{"name": "others", "api_keys": []string{"otherskey00000000001"}, "priority": 1, "rate_per_s": 50, "burst": 50},
		},
	})
	began := newRuns()
	for n := range upstreams {
		u := &upstream{
			id: fmt.Sprintf("i-docks-%d", n), service: "docks", slots: 6, queue: 6, load: true, runs: began, record: t.record, store: s,
			work:   func() time.Duration { return time.Duration(20+20*rand.Float64()) * time.Millisecond },
			random: rand.New(rand.NewPCG(t.seed, uint64(n))),
		}
		if err := u.start(); err != nil {
			return false, err
		}
		defer u.close()
	}
	contracts := append(append([]string{}, smallContracts...), "tenants", "quota")
	bounds := append(append([]string{}, smallBounds...), "quota_window=5s", "quota_excess=0.1", "quota_slack=20")
	f, err := newFleet(t.record, t.root, daemons, s.address, contracts, bounds)
	if err != nil {
		return false, err
	}
	defer f.stop(t.folder)
	random := rand.New(rand.NewPCG(t.seed, 100))
	for _, d := range f.daemons {
		if err := d.start(t.record); err != nil {
			return false, err
		}
		time.Sleep(time.Duration(random.Int64N(int64(2 * startSpread / daemons))))
	}
	if err := f.awaitReady(10 * time.Second); err != nil {
		return false, err
	}
	var sent calls
	for round := range rounds {
		time.Sleep(idleFor)
		if err := capRound(t, f, &sent, random, round, perSecond, busyFor, stopAfter, restart); err != nil {
			return false, err
		}
	}
	return judgeCap(t, &sent, began, window, (rate*window.Seconds()+burst)*(1+excess)+slack)
}

// capRound plays one round: the tenant is busy, and the daemon that grants its units is stopped
// and started again.
func capRound(t *trial, f *fleet, sent *calls, random *rand.Rand, round int, perSecond float64, busyFor, stopAfter, restart time.Duration) error {
	before, err := f.granted()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), busyFor)
	defer cancel()
	b := &balancer{f: f, misses: make(map[*daemon]int)}
	go b.run(ctx)
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		load(ctx, t.record, random, perSecond, fmt.Sprintf("dock-%d-", round), sent, func() *call {
			return &call{
				method: http.MethodPost, host: "docks.example", path: "/dock/2f", body: "one bike", deadline: 1500 * time.Millisecond,
				daemon: b.pick(random), key: "riderskey00000000001",
			}
		})
	}()
	time.Sleep(stopAfter)
	after, err := f.granted()
	if err != nil {
		return err
	}
	allocator := f.daemons[0]
	for _, d := range f.daemons {
		if after[d]-before[d] > after[allocator]-before[allocator] {
			allocator = d
		}
	}
	t.record.add("round %d: daemon %d has granted %v units", round, allocator.n, after[allocator]-before[allocator])
	if t.trouble {
		allocator.signal(t.record, syscall.SIGTERM)
		<-allocator.done
		time.Sleep(restart)
		if err := allocator.start(t.record); err != nil {
			return err
		}
	}
	<-finished
	return f.awaitReady(10 * time.Second)
}

// judgeCap counts, in each window, the requests that were both sent and run.
func judgeCap(t *trial, sent *calls, began *runs, window time.Duration, bound float64) (bool, error) {
	type span struct{ sent, run time.Time }
	var ran []span
	for _, one := range sent.list {
		if at, ok := began.firstAt(one.id); ok {
			ran = append(ran, span{one.sentAt, at})
		}
	}
	sort.Slice(ran, func(i, j int) bool { return ran[i].sent.Before(ran[j].sent) })
	most := 0
	var from time.Time
	for i := range ran {
		count := 0
		for _, other := range ran[i:] {
			if !other.run.After(ran[i].sent.Add(window)) {
				count++
			}
		}
		if count > most {
			most, from = count, ran[i].sent
		}
	}
	t.record.say("%d requests sent, answered %s, %d run; most sent and run in a window of %v: %d from %.2f s on; allowed: %.1f",
		len(sent.list), sent.statuses(), len(ran), window, most, from.Sub(t.record.began).Seconds(), bound)
	if len(ran) == 0 {
		return false, errors.New("nothing was run")
	}
	return float64(most) > bound, nil
}
