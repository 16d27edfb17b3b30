package burn

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pomelolock/pomelolock/burn/burnpb"
	"github.com/pomelolock/pomelolock/storage"
)

// Alarm is the severity of a service's burn rate.
type Alarm string

// Alarms, by increasing severity.
const (
	AlarmNone   Alarm = ""
	AlarmTicket Alarm = "ticket"
	AlarmPage   Alarm = "page"
)

// Burn rates at which an alarm is raised. Both windows of a pair, a long and a
// short one, must reach the rate. The rates are those of The Site Reliability
// Workbook, chapter 5.
const (
	fastPageRate = 14.4
	slowPageRate = 6
	ticketRate   = 1
)

// reportLag is the time after which the counts of a minute are expected in the
// store. The windows of a report end that long before the report.
const reportLag = 2 * time.Minute

// Lengths of the windows of a report.
const (
	Window5Minutes = 5 * time.Minute
	Window1Hour    = time.Hour
	Window6Hours   = 6 * time.Hour
	Window3Days    = 72 * time.Hour
)

func windows() []time.Duration {
	return []time.Duration{Window5Minutes, Window1Hour, Window6Hours, Window3Days}
}

// Coverage counts the minutes of a window by how completely they were measured.
type Coverage struct {
	Measured int `json:"measured_minutes"`
	// Partial minutes lack the counts of at least one process.
	Partial int `json:"partial_minutes"`
	// Missing minutes lack the counts of all processes.
	Missing int `json:"missing_minutes"`
}

// Window holds the counts and the burn rate of a service over one window.
type Window struct {
	Length time.Duration `json:"length_ns"`
	Counts
	// Rate is the burn rate; nil if no request was counted.
	Rate *float64 `json:"burn_rate"`
	Coverage
}

// ServiceReport is the part of a report about one service.
type ServiceReport struct {
	Objective Objective `json:"objective"`
	Windows   []Window  `json:"windows"`
	Alarm     Alarm     `json:"alarm,omitempty"`
	// Points are burn rates over one hour, for plots, the oldest first.
	Points []Point `json:"points"`
}

// Point is the burn rate of a service over the hour that ends at Time.
type Point struct {
	Time time.Time `json:"time"`
	// Rate is nil if no request was counted.
	Rate *float64 `json:"burn_rate"`
	// Missing is set if any minute of the hour is missing or partial.
	Missing bool `json:"missing"`
}

// Report holds the burn rates of all services at one time.
type Report struct {
	// At is the time at which all windows end.
	At       time.Time       `json:"at"`
	Services []ServiceReport `json:"services"`
	// UnreadableObjects is the number of stored objects that could not be
	// read. Their counts are not in the report.
	UnreadableObjects int `json:"unreadable_objects"`
}

// BuildReport reads the counts of the fleet from the store and returns the report
// at time now. It fails if the objects cannot be listed; an object that cannot
// be read is counted in UnreadableObjects instead.
func BuildReport(ctx context.Context, objects storage.ObjectStore, objectives []Objective, now time.Time) (Report, error) {
	end := unixMinute(now.Add(-reportLag))
	h, err := readHistory(ctx, objects, end)
	if err != nil {
		return Report{}, err
	}
	report := Report{At: time.Unix(end*60, 0).UTC(), Services: []ServiceReport{}, UnreadableObjects: h.unreadable}
	for _, objective := range objectives {
		report.Services = append(report.Services, h.service(objective))
	}
	slices.SortFunc(report.Services, func(a, b ServiceReport) int {
		return strings.Compare(a.Objective.Service, b.Objective.Service)
	})
	return report, nil
}

// maxConcurrentReads bounds the reads of objects in parallel for one report.
const maxConcurrentReads = 16

type readResult struct {
	hour *burnpb.Hour
	err  error
}

// readHistory reads the objects of the longest window that ends at minute end,
// counted from the Unix epoch.
func readHistory(ctx context.Context, objects storage.ObjectStore, end int64) (*history, error) {
	names, err := objects.ListObjects(ctx, objectPrefix)
	if err != nil {
		return nil, fmt.Errorf("burn: list objects: %w", err)
	}
	h := newHistory(end)
	var inWindow []string
	for _, name := range names {
		if hour, _, ok := parseObjectName(name); ok && h.contains(hour) {
			inWindow = append(inWindow, name)
		}
	}
	for _, result := range readAll(ctx, objects, inWindow) {
		if result.err != nil {
			h.unreadable++
			continue
		}
		h.add(result.hour)
	}
	h.deriveStates()
	return h, nil
}

// readAll reads objects concurrently. Results of merged objects come first. An
// object that was deleted after it was listed has been merged and is left out.
func readAll(ctx context.Context, objects storage.ObjectStore, names []string) []readResult {
	slices.SortStableFunc(names, func(a, b string) int { return mergedRank(a) - mergedRank(b) })
	results := make([]readResult, len(names))
	queue := make(chan int)
	var wg sync.WaitGroup
	for range min(maxConcurrentReads, len(names)) {
		wg.Go(func() {
			for i := range queue {
				results[i] = readObject(ctx, objects, names[i])
			}
		})
	}
	for i := range names {
		queue <- i
	}
	close(queue)
	wg.Wait()
	var notFound *storage.NotFoundError
	return slices.DeleteFunc(results, func(r readResult) bool { return errors.As(r.err, &notFound) })
}

// mergedRank orders merged objects before others.
func mergedRank(name string) int {
	if strings.HasSuffix(name, "/"+mergedName) {
		return 0
	}
	return 1
}

func readObject(ctx context.Context, objects storage.ObjectStore, name string) readResult {
	data, err := objects.GetObject(ctx, name)
	if err != nil {
		return readResult{err: err}
	}
	hour, err := decodeHour(name, data)
	return readResult{hour: hour, err: err}
}

// alarm derives the alarm from the burn rates of the windows. A window without
// a rate raises no alarm; the report shows its minutes as missing.
func alarm(ws []Window) Alarm {
	above := func(length time.Duration, rate float64) bool {
		for _, w := range ws {
			if w.Length == length {
				return w.Rate != nil && *w.Rate >= rate
			}
		}
		return false
	}
	switch {
	case above(Window5Minutes, fastPageRate) && above(Window1Hour, fastPageRate),
		above(Window1Hour, slowPageRate) && above(Window6Hours, slowPageRate):
		return AlarmPage
	case above(Window6Hours, ticketRate) && above(Window3Days, ticketRate):
		return AlarmTicket
	}
	return AlarmNone
}
