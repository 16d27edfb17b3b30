package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

func init() { cases["encoded"] = encoded }

const (
	// lostServers is the share of the servers that lose answers, lostAnswers the share of the
	// answers that these lose: the defaults of answer_lost.
	lostServers = 0.5
	lostAnswers = 0.03
	lots        = 900
)

// encoded reserves lots whose names hold an encoded slash, while servers lose answers. The
// longest prefix that begins the path of such a request is that of a non-idempotent route.
func encoded(w *world, trouble bool) (verdict, error) {
	w.routes(
		map[string]any{"name": "reserve", "prefix": "/lots/", "kind": "non_idempotent", "service": "sklad"},
		map[string]any{"name": "archive", "prefix": "/lots/2024/", "kind": "idempotent", "service": "sklad"},
	)
	var lost atomic.Int64
	const servers = 6
	for n := range servers {
		u, err := w.startUpstream(fmt.Sprintf("i-%d", n), "sklad", 20*time.Millisecond)
		if err != nil {
			return verdict{}, err
		}
		if !trouble || n >= lostServers*servers {
			continue
		}
		u.handle = func(rw http.ResponseWriter, r *http.Request, body []byte) {
			if rand.Float64() >= lostAnswers {
				u.serve(rw, r, body)
				return
			}
			lost.Add(1)
			time.Sleep(u.work)
			w.logf("%s loses its answer to %s", u.id, r.Header.Get("Request-Id"))
			// The answer is lost with its channel.
			if conn, _, err := rw.(http.Hijacker).Hijack(); err == nil {
				_ = conn.(*net.TCPConn).SetLinger(0)
				conn.Close()
			}
		}
	}
	if err := w.startDaemons(2); err != nil {
		return verdict{}, err
	}
	time.Sleep(time.Second)
	twice, served := 0, 0
	for n := range lots {
		d := w.daemons[n%len(w.daemons)]
		q := call{
			id: fmt.Sprintf("lot-%d", n), method: http.MethodPost, path: fmt.Sprintf("/lots/2024%%2F%d", n), host: host,
			deadline: 800 * time.Millisecond, body: []byte("reserve"),
		}
		r := once(d.front, q)
		if r.status == http.StatusOK {
			served++
		}
		w.logf("request %s %s to %s: status %d, error %v", q.id, q.path, d.name, r.status, r.err)
		time.Sleep(20 * time.Millisecond)
	}
	time.Sleep(time.Second)
	for n := range lots {
		id := fmt.Sprintf("lot-%d", n)
		if runs := w.runCount(id); runs > 1 {
			twice++
			w.logf("TWICE %s ran %d times", id, runs)
		}
	}
	if served < lots/2 {
		return verdict{}, fmt.Errorf("only %d of %d requests were served", served, lots)
	}
	return verdict{twice > 0, fmt.Sprintf("%d requests, %d served, %d answers lost, %d non-idempotent requests ran twice", lots, served, lost.Load(), twice)}, nil
}
