package main

import (
	"errors"
	"fmt"
	"time"
)

const (
	// revoke is the bound of the settings: later than this after a desired state took a key away, no
	// request with it may run.
	revoke = 5 * time.Second
	// spare is waited beyond a bound, so that the order of the clock reads doesn't matter.
	spare = 500 * time.Millisecond
	// phaseLength is how long requests are sent after each desired state, sendInterval the time
	// between two rounds.
	phaseLength  = 3 * time.Second
	sendInterval = 100 * time.Millisecond
)

// The keys of the case.
const (
	keyOfFirst  = "first-tenants-key"
	keyOfSecond = "second-tenants-key"
	keyOfNobody = "never-in-a-desired-state"
)

// lastTenant removes two tenants, one after the other. Neither of their keys may be served after that,
// and no other key at any time.
func lastTenant(s *setup) (broken bool, err error) {
	platform, err := startStore()
	if err != nil {
		return false, err
	}
	runs := newJournal()
	for n := range 2 {
		if err := startUpstream(fmt.Sprintf("i-%d", n), "orders", platform, runs, s.record); err != nil {
			return false, err
		}
	}
	first := map[string]any{"name": "first", "api_keys": []string{keyOfFirst}, "priority": 0}
	second := map[string]any{"name": "second", "api_keys": []string{keyOfSecond}, "priority": 0}
	write := func(version int, tenants ...map[string]any) time.Time {
		if tenants == nil {
			tenants = []map[string]any{}
		}
		routes := []map[string]any{routeTo("/orders/", "orders", 1500+version)}
		at := platform.put("op", "config", desiredState(version, []string{"orders"}, routes, tenants))
		s.record.line(at, "the store confirmed r%d with %d tenants", version, len(tenants))
		return at
	}
	write(3, first, second)
	daemons, err := startDaemons(s.binary, s.dir, platform, 2)
	defer func() {
		for _, d := range daemons {
			d.stop()
		}
	}()
	if err != nil {
		return false, err
	}

	r := &requester{record: s.record}
	send := func() {
		for end := time.Now().Add(phaseLength); time.Now().Before(end); time.Sleep(sendInterval) {
			for _, d := range daemons {
				for _, key := range []string{keyOfFirst, keyOfSecond, keyOfNobody} {
					r.send(d, "/orders/place", key)
				}
			}
		}
	}
	takenAt := make(map[string]time.Time)
	change := func(version int, taken string, tenants ...map[string]any) {
		if s.trouble {
			takenAt[taken] = write(version, tenants...)
		} else {
			// The version comes all the same, with the tenants of before.
			write(version, first, second)
		}
		time.Sleep(revoke + spare)
	}
	send()
	for _, key := range []string{keyOfFirst, keyOfSecond} {
		if !r.served(runs, 0, func(q sentRequest) bool { return q.key == key }) {
			return false, errors.New(key + " is not served at the begin")
		}
	}
	change(5, keyOfSecond, first)
	send()
	change(8, keyOfFirst)
	send()
	for _, d := range daemons {
		if !d.running() {
			return false, errors.New(d.name + " has ended")
		}
	}
	return s.judgeKeys(r.sent, takenAt, runs), nil
}

// judgeKeys records the runs and reports whether a rule on keys was broken.
func (s *setup) judgeKeys(sent []sentRequest, takenAt map[string]time.Time, runs *journal) bool {
	faults := make(map[string]int)
	for _, q := range sent {
		for _, r := range runs.of(q.id) {
			s.record.line(r.at, "%s ran at %s, Tenant %q, X-Api-Key %q", q.id, r.upstream, r.tenant, r.key)
			if taken, ok := takenAt[q.key]; ok && q.at.Sub(taken) > revoke {
				faults["CONFIG: ran, although it was sent later than revoke after its key was taken away"]++
			}
			if q.key == keyOfNobody {
				faults["ROUTE: ran with a key that no desired state ever held"]++
			}
			if r.key != "" {
				faults["UNASKED: the key was passed on to an upstream"]++
			}
		}
	}
	return s.recordFaults(faults)
}
