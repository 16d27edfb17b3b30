package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["draft"] = draft }

// configApply is the bound of that name.
const configApply = 2 * time.Second

// draft lets the operator keep the draft of a desired state in a part of its own of the table op,
// and then write another version to op/config.
func draft(w *world, trouble bool) (verdict, error) {
	routes := func(orders string, more ...map[string]any) []map[string]any {
		return append([]map[string]any{
			{"name": "browse", "prefix": "/browse/", "kind": "idempotent", "service": "vzornik"},
			{"name": "order", "prefix": "/order/", "kind": "non_idempotent", "service": orders},
		}, more...)
	}
	w.routes(routes("zakazky")...)
	for _, service := range []string{"vzornik", "zakazky", "sklad"} {
		for n := range 3 {
			if _, err := w.startUpstream("127.0.0.1", fmt.Sprintf("%s-%d", service, n), service, "a", 20*time.Millisecond); err != nil {
				return verdict{}, err
			}
		}
	}
	if err := w.startDaemons(3); err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second)
	if trouble {
		w.logf("draft r%d, orders go to sklad, in the part draft of the table op", w.version+30)
		w.store.putIn("op", "draft", "config", desiredState(w.version+30, routes("sklad")))
	}
	sent := 0
	send := func(method, path string) result {
		d := w.daemons[sent%len(w.daemons)]
		sent++
		id := fmt.Sprintf("q-%d", sent)
		r := once(d.front, call{id: id, method: method, path: path + id, host: host, deadline: time.Second})
		w.logf("request %s %s%s to %s: status %d, error %v", method, path, id, d.name, r.status, r.err)
		return r
	}
	served := 0
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(30 * time.Millisecond) {
		if send(http.MethodPost, "/order/").status == http.StatusOK {
			served++
		}
	}
	w.routes(routes("zakazky", map[string]any{"name": "new", "prefix": "/new/", "kind": "idempotent", "service": "vzornik"})...)
	time.Sleep(configApply + 100*time.Millisecond)
	missing, asked := 0, 0
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(30 * time.Millisecond) {
		asked++
		if send(http.MethodGet, "/new/").status == http.StatusNotFound {
			missing++
		}
	}
	elsewhere := 0
	w.mu.Lock()
	for id, servers := range w.runs {
		for _, server := range servers {
			if strings.HasPrefix(server, "sklad") {
				elsewhere++
				w.logLocked("ROUTE %s ran at %s", id, server)
			}
		}
	}
	w.mu.Unlock()
	if served < 20 {
		return verdict{}, fmt.Errorf("only %d orders were served", served)
	}
	return verdict{elsewhere > 0, fmt.Sprintf("%d orders served, %d run by a service to which no desired state sent them; %d of %d requests for a route of the newest desired state got 404", served, elsewhere, missing, asked)}, nil
}
