package main

import (
	"errors"
	"time"
)

const (
	// configApply is the bound of the settings: later than this after the confirmation of a desired
	// state, no request may be handled as only an older one allows.
	configApply = 2500 * time.Millisecond
	draftPart   = "draft"
)

// draft writes a desired state that is not to be in force yet under the key "config" in another part
// of the operator's table. It must change nothing, and the version that is sent after it must be applied.
func draft(s *setup) (broken bool, err error) {
	platform, err := startStore()
	if err != nil {
		return false, err
	}
	runs := newJournal()
	services := []string{"orders", "billing"}
	for _, service := range services {
		if err := startUpstream("i-"+service, service, platform, runs, s.record); err != nil {
			return false, err
		}
	}
	orders := routeTo("/orders/", "orders", 1500)
	platform.put("op", "config", desiredState(3, services, []map[string]any{orders}, nil))
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
	send := func(path string) {
		for end := time.Now().Add(phaseLength); time.Now().Before(end); time.Sleep(sendInterval) {
			for _, d := range daemons {
				r.send(d, path, "")
			}
		}
	}
	send("/orders/place")
	if !r.served(runs, 0, func(sentRequest) bool { return true }) {
		return false, errors.New("requests are not served at the begin")
	}
	if s.trouble {
		moved := desiredState(9, services, []map[string]any{routeTo("/orders/", "billing", 1500)}, nil)
		at := platform.putIn("op", draftPart, "config", moved)
		s.record.line(at, "a draft of r9, with /orders/ at billing, lies in part %q of the table op", draftPart)
	}
	time.Sleep(configApply + spare)
	send("/orders/place")
	at := platform.put("op", "config", desiredState(5, services, []map[string]any{orders, routeTo("/returns/", "orders", 1500)}, nil))
	s.record.line(at, "the store confirmed r5, with /returns/ at orders, as op/config")
	time.Sleep(configApply + spare)
	send("/returns/book")
	for _, d := range daemons {
		if !d.running() {
			return false, errors.New(d.name + " has ended")
		}
	}

	faults := make(map[string]int)
	for _, q := range r.sent {
		for _, run := range runs.of(q.id) {
			s.record.line(run.at, "%s %s ran at %s", q.id, q.path, run.upstream)
			if run.upstream == "i-billing" {
				faults["ROUTE: ran by billing, to which no desired state ever sent its route"]++
			}
		}
		if q.path == "/returns/book" && q.status == 404 {
			faults["CONFIG: refused with 404 later than config_apply after its route was confirmed"]++
		}
	}
	return s.recordFaults(faults), nil
}
