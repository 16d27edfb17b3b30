package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["behind"] = behind }

const (
	// brokenServers is the share of the servers that break off answers, brokenAnswers the share
	// of the answers that they break off: the defaults of garble.
	brokenServers = 0.5
	brokenAnswers = 0.02
	// exportBytes is the length of a download.
	exportBytes = 2 << 20
	// maxLost is the number of lost answers that the rule allows.
	maxLost = 3
)

// behind pipelines lookups behind downloads, while servers of the downloads break off answers.
func behind(w *world, trouble bool) (verdict, error) {
	w.routes(
		map[string]any{"name": "export", "prefix": "/export/", "kind": "download", "service": "tripvault"},
		map[string]any{"name": "look", "prefix": "/look/", "kind": "idempotent", "service": "dockview"},
	)
	export := bytes.Repeat([]byte("trip\n"), exportBytes/5)
	var broken atomic.Int64
	const servers = 6
	for n := range servers {
		u, err := w.startUpstream(fmt.Sprintf("vault-%d", n), "tripvault", 30*time.Millisecond)
		if err != nil {
			return verdict{}, err
		}
		garbles := trouble && n < brokenServers*servers
		u.handle = func(rw http.ResponseWriter, r *http.Request, _ []byte) {
			time.Sleep(u.work)
			id := r.Header.Get("Request-Id")
			rw.Header().Set("Upstream-Signature", "t."+id)
			rw.Header().Set("Content-Length", fmt.Sprint(len(export)))
			if garbles && rand.Float64() < brokenAnswers {
				broken.Add(1)
				w.logf("%s breaks off its answer to %s", u.id, id)
				_, _ = rw.Write(export[:3*len(export)/4])
				panic(http.ErrAbortHandler)
			}
			_, _ = rw.Write(export)
		}
		if _, err := w.startUpstream(fmt.Sprintf("view-%d", n), "dockview", 20*time.Millisecond); err != nil {
			return verdict{}, err
		}
	}
	if err := w.startDaemons(2); err != nil {
		return verdict{}, err
	}
	time.Sleep(3500 * time.Millisecond)
	var lost, served, sequence atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(40 * time.Second)
	for n := range 4 {
		wg.Go(func() {
			var c *channel
			for time.Now().Before(end) {
				time.Sleep(100 * time.Millisecond)
				d := w.daemons[n%len(w.daemons)]
				if c == nil {
					var err error
					if c, err = dial(d.front); err != nil {
						w.logf("no channel to %s: %v", d.name, err)
						continue
					}
				}
				batch := []call{{id: fmt.Sprintf("export-%d", sequence.Add(1)), method: http.MethodGet, host: host, deadline: 4 * time.Second}}
				for range 2 {
					batch = append(batch, call{id: fmt.Sprintf("look-%d", sequence.Add(1)), method: http.MethodGet, host: host, deadline: 3 * time.Second})
				}
				var heads []byte
				for i := range batch {
					batch[i].path = "/look/" + batch[i].id
					if i == 0 {
						batch[i].path = "/export/" + batch[i].id
					}
					heads = append(heads, batch[i].head()...)
				}
				if _, err := c.conn.Write(heads); err != nil {
					w.logf("%s: %v", d.name, err)
					c = nil
					continue
				}
				began := time.Now()
				closed := false
				for _, q := range batch {
					r := result{err: errClosed}
					if !closed {
						r = c.read(q.method, 5*time.Second)
					}
					closed = closed || r.status == 0 || r.close
					if r.status != 0 {
						served.Add(1)
					}
					if r.status == 0 && q.path[1] == 'l' && time.Since(began) < q.deadline && w.runCount(q.id) > 0 {
						lost.Add(1)
						w.logf("LOST %s, passed on to a sound server, got no answer from %s after %s", q.id, d.name, time.Since(began).Round(time.Millisecond))
					}
					w.logf("request %s to %s: status %d, %d bytes, error %v", q.id, d.name, r.status, len(r.body), r.err)
				}
				if closed {
					c.conn.Close()
					c = nil
				}
			}
		})
	}
	wg.Wait()
	if served.Load() < 100 {
		return verdict{}, fmt.Errorf("only %d requests were served", served.Load())
	}
	return verdict{lost.Load() > maxLost, fmt.Sprintf("%d requests, %d answered, %d downloads broken off, %d lookups passed on and lost", sequence.Load(), served.Load(), broken.Load(), lost.Load())}, nil
}
