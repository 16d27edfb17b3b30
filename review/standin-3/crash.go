package main

import (
	"errors"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	// stableWindow is the bound of the settings: later than this after a request has crashed the third
	// upstream, it may reach upstreams in mostRetries more arrivals.
	stableWindow  = 3 * time.Second
	crashesBefore = 3
	mostRetries   = 3
	// Such a request comes again at comeAgain for comesFor.
	comeAgain = time.Second
	comesFor  = 25 * time.Second
	// roundTime is how long it comes between two kills of all daemons.
	roundTime = 8 * time.Second
	reporters = 10
	orderWork = 200
)

func crashWhileAnswering(s *setup) (broken bool, err error) { return crash(s, crashAnswering) }

func crashSilently(s *setup) (broken bool, err error) { return crash(s, crashSilent) }

// crash sends a request that crashes each upstream in the given way, again and again, beside orders to
// the same upstreams. The control is a request that crashes upstreams before they answer.
func crash(s *setup, prefix string) (broken bool, err error) {
	platform, err := startStore()
	if err != nil {
		return false, err
	}
	runs := newJournal()
	daemons, err := s.startReports(platform, runs)
	defer func() {
		for _, d := range daemons {
			d.stop()
		}
	}()
	if err != nil {
		return false, err
	}

	stop := make(chan struct{})
	var wg sync.WaitGroup
	orders := make([]*requester, len(daemons))
	for n, d := range daemons {
		orders[n] = &requester{record: s.record, workMS: orderWork, name: uint16(n + 1)}
		wg.Go(func() {
			for !ended(stop) {
				orders[n].send(d, "/orders/place", "")
			}
		})
	}
	report := &requester{record: s.record, method: http.MethodGet}
	come := func(path string) {
		began := time.Now()
		for n := 0; time.Since(began) < comesFor; n++ {
			report.send(daemons[n%len(daemons)], path, "")
			time.Sleep(comeAgain)
		}
	}
	if s.trouble {
		come(crashBegun + "control")
		come(prefix + "case")
	} else {
		come("/reports/usual")
	}
	close(stop)
	wg.Wait()
	for _, d := range daemons {
		if !d.running() {
			return false, errors.New(d.name + " has ended")
		}
	}
	if !s.trouble {
		for _, r := range append(orders, report) {
			s.recordRuns(r, runs)
		}
		if !report.served(runs, 0, func(sentRequest) bool { return true }) {
			return false, errors.New("requests are not served")
		}
		return false, nil
	}
	lost := 0
	for _, r := range append(orders, report) {
		lost += s.recordRuns(r, runs)
	}
	s.record.line(time.Now(), "%d orders were lost at upstreams that crashed", lost)
	control := s.lateArrivals(report, runs, crashBegun+"control")
	late := s.lateArrivals(report, runs, prefix+"case")
	if control > mostRetries {
		return false, errors.New("the control broke the rule")
	}
	faults := make(map[string]int)
	if late > mostRetries {
		faults["BUDGET: reached an upstream later than stable_window after it had crashed the third"] = late
	}
	return s.recordFaults(faults), nil
}

// forgottenCrash sends a request that crashes upstreams until it is held back, kills all daemons at once,
// and sends it again once they have been in touch for a while, twice.
func forgottenCrash(s *setup) (broken bool, err error) {
	platform, err := startStore()
	if err != nil {
		return false, err
	}
	runs := newJournal()
	daemons, err := s.startReports(platform, runs)
	defer func() {
		for _, d := range daemons {
			d.stop()
		}
	}()
	if err != nil {
		return false, err
	}
	report := &requester{record: s.record, method: http.MethodGet}
	const path, rounds = crashBegun + "case", 3
	for round := range rounds {
		for began, n := time.Now(), 0; time.Since(began) < roundTime; n++ {
			report.send(daemons[n%len(daemons)], path, "")
			time.Sleep(comeAgain)
		}
		if round == rounds-1 {
			break
		}
		if s.trouble {
			s.record.line(time.Now(), "all daemons are killed")
			if err := restartAll(daemons); err != nil {
				return false, err
			}
			s.record.line(time.Now(), "all daemons are ready again")
		}
		time.Sleep(stableWindow + spare)
	}
	for _, d := range daemons {
		if !d.running() {
			return false, errors.New(d.name + " has ended")
		}
	}
	s.recordRuns(report, runs)
	faults := make(map[string]int)
	if late := s.lateArrivals(report, runs, path); late > mostRetries {
		faults["BUDGET: reached an upstream later than stable_window after it had crashed the third"] = late
	}
	return s.recordFaults(faults), nil
}

// startReports starts upstreams that serve reports and orders, and three daemons.
func (s *setup) startReports(platform *store, runs *journal) ([]*daemon, error) {
	for n := range reporters {
		if err := startUpstream(fmt.Sprintf("i-%d", n), "reports", platform, runs, s.record); err != nil {
			return nil, err
		}
	}
	reports := routeTo("/reports/", "reports", 1500)
	reports["kind"] = "idempotent"
	routes := []map[string]any{reports, routeTo("/orders/", "reports", 1500)}
	platform.put("op", "config", desiredState(3, []string{"reports"}, routes, nil))
	return startDaemons(s.binary, s.dir, platform, 3)
}

// recordRuns records the runs of the requests of a requester, and returns how many were lost with their
// upstream.
func (s *setup) recordRuns(r *requester, runs *journal) (lost int) {
	for _, q := range r.sent {
		for _, run := range runs.of(q.id) {
			note := ""
			if run.lost {
				note = ", lost with it"
				lost++
			}
			s.record.line(run.at, "%s ran at %s%s", q.id, run.upstream, note)
		}
	}
	return lost
}

// lateArrivals returns how often the request of a path reached upstreams later than stableWindow after
// it had crashed crashesBefore of them.
func (s *setup) lateArrivals(r *requester, runs *journal, path string) int {
	var arrivals []time.Time
	for _, q := range r.sent {
		if q.path != path {
			continue
		}
		for _, run := range runs.of(q.id) {
			arrivals = append(arrivals, run.at)
		}
	}
	slices.SortFunc(arrivals, time.Time.Compare)
	late := 0
	for _, at := range arrivals[min(len(arrivals), crashesBefore):] {
		if at.Sub(arrivals[crashesBefore-1]) > stableWindow {
			late++
		}
	}
	s.record.line(time.Now(), "%s reached upstreams %d times, %d of them late", path, len(arrivals), late)
	return late
}
