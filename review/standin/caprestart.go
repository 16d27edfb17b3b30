package main

import (
	"bufio"
	"context"
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

// capRestart shows a tenant that uses the burst of its cap while the daemon that grants its
// units is restarted once.
func capRestart(t *trial) (bool, error) {
	const (
		daemons   = 3
		upstreams = 6
		rate      = 5
		burst     = 300
		window    = 5 * time.Second
		excess    = 0.1
		slack     = 20
		// The tenant sends perSecond requests for the given time, after it was idle.
		perSecond = 250
		lasts     = 10 * time.Second
		killAfter = 1500 * time.Millisecond
		// restart is the time after which the platform starts a process again.
		restart = 300 * time.Millisecond
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
			map[string]any{"name": "batch", "api_keys": []string{"batchkey000000000001"}, "priority": 1, "rate_per_s": rate, "burst": burst},
			map[string]any{"name": "other", "api_keys": []string{"otherkey000000000001"}, "priority": 1, "rate_per_s": 50, "burst": 50},
		},
	})
	began := newRuns()
	for n := range upstreams {
		u := &upstream{
			id: fmt.Sprintf("i-docks-%d", n), service: "docks", slots: 6, queue: 4, load: true, runs: began, record: t.record, store: s,
			work:  func() time.Duration { return time.Duration(20+20*rand.Float64()) * time.Millisecond },
			extra: func() float64 { return 0 }, random: rand.New(rand.NewPCG(t.seed, uint64(n))),
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
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(2*window + 2*time.Second)

	ctx, cancel := context.WithTimeout(context.Background(), lasts)
	defer cancel()
	var sent calls
	finished := make(chan struct{})
	go func() {
		defer close(finished)
		random := rand.New(rand.NewPCG(t.seed, 100))
		turn := 0
		load(ctx, t.record, random, perSecond, "dock-", &sent, func() *call {
			turn++
			return &call{
				method: http.MethodPost, host: "docks.example", path: "/dock/2f", body: "one bike", deadline: 1500 * time.Millisecond,
				daemon: f.daemons[turn%daemons], key: "batchkey000000000001",
			}
		})
	}()
	time.Sleep(killAfter)
	var allocator *daemon
	most := -1.0
	for _, d := range f.daemons {
		granted, err := d.metric("pomelolock_quota_granted_total")
		if err != nil {
			return false, err
		}
		t.record.add("daemon %d has granted %v units", d.n, granted)
		if granted > most {
			most, allocator = granted, d
		}
	}
	if t.trouble {
		allocator.signal(t.record, syscall.SIGKILL)
		<-allocator.done
		time.Sleep(restart)
		if err := allocator.start(t.record); err != nil {
			return false, err
		}
	}
	<-finished
	time.Sleep(time.Second)
	return judgeCap(t, &sent, began, window, (rate*window.Seconds()+burst)*(1+excess)+slack)
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
		return false, fmt.Errorf("nothing was run")
	}
	return float64(most) > bound, nil
}
