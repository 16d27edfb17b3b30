package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["samepage"] = samePage }

const (
	pageServers = 19
	// crashed is the number of servers that crash: the default share of srv_crash, 0.15 of 19.
	crashed = 3
	// crashTime is how long they are down.
	crashTime = 4500 * time.Millisecond
	displays  = 60
	// rounds is the number of times that the displays fetch the page, roundTime the time between.
	rounds    = 14
	roundTime = 3 * time.Second
	// Servers crash in the rounds firstCrash, firstCrash+crashEvery and so on, up to lastCrash.
	firstCrash, crashEvery, lastCrash = 2, 3, 8
)

// samePage lets the displays of all shops fetch the same page at the same times, and servers crash
// while they do, three times.
func samePage(w *world, trouble bool) (verdict, error) {
	w.routes(map[string]any{"name": "browse", "prefix": "/browse/", "kind": "idempotent", "service": "vzornik", "timeout": "1000ms"})
	var servers []*upstream
	for n := range pageServers {
		u, err := w.startUpstream(fmt.Sprintf("i-%d", n), "vzornik", 120*time.Millisecond)
		if err != nil {
			return verdict{}, err
		}
		servers = append(servers, u)
	}
	if err := w.startDaemons(4); err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second)
	var sent, served, denied, background, late atomic.Int64
	fetch := func(n int, id, path string) result {
		d := w.daemons[n%len(w.daemons)]
		r := once(d.front, call{id: id, method: http.MethodGet, path: path, host: host, deadline: time.Second})
		sent.Add(1)
		switch {
		case r.status == http.StatusOK:
			served.Add(1)
		case r.status >= 300 && r.status < 500 && r.status != 408 && r.status != 421 && r.status != 429 && r.header.Get("Upstream-Signature") == "":
			denied.Add(1)
		}
		w.logf("request %s %s to %s: status %d, error %v, %.60q", id, path, d.name, r.status, r.err, r.body)
		return r
	}
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		// Other pages.
		for n := 0; ; n++ {
			select {
			case <-done:
				return
			case <-time.After(15 * time.Millisecond):
			}
			wg.Go(func() { background.Add(1); fetch(n, fmt.Sprintf("other-%d", n), fmt.Sprintf("/browse/page-%d", n)) })
		}
	})
	began := time.Now()
	for round := range rounds {
		time.Sleep(time.Until(began.Add(time.Duration(round) * roundTime)))
		for n := range displays {
			wg.Go(func() {
				if fetch(n, fmt.Sprintf("display-%d-%d", round, n), "/browse/today").status == http.StatusUnprocessableEntity && round > lastCrash+2 {
					late.Add(1)
				}
			})
		}
		if trouble && round >= firstCrash && round <= lastCrash && (round-firstCrash)%crashEvery == 0 {
			time.Sleep(60 * time.Millisecond)
			for _, u := range servers[:crashed] {
				w.logf("%s crashes", u.id)
				u.crash()
				time.AfterFunc(crashTime, func() {
					w.store.put("servers", u.id, nil)
					if _, err := w.startUpstream(u.id+"-new", "vzornik", u.work); err != nil {
						w.logf("no new server: %v", err)
					}
				})
			}
			servers = servers[crashed:]
		}
	}
	time.Sleep(time.Second)
	close(done)
	wg.Wait()
	if served.Load() < rounds*displays/4 {
		return verdict{}, fmt.Errorf("only %d of %d requests were served", served.Load(), sent.Load())
	}
	allowed := 5 + sent.Load()/500
	return verdict{denied.Load() > allowed, fmt.Sprintf("%d requests, %d served, %d ended with a 4xx of the system's own (%d allowed), %d of them over 6 s after the last crash", sent.Load(), served.Load(), denied.Load(), allowed, late.Load())}, nil
}
