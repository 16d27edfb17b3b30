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

// Alarm tells how urgent a service's burn is.
type Alarm string

// Alarms, by rising urgency.
const (
	AlarmNone   Alarm = ""
	AlarmTicket Alarm = "ticket"
	AlarmPage   Alarm = "page"
)

// Burn rates at which an alarm is raised; both windows of a pair must exceed
// the rate. Source: The Site Reliability Workbook, chapter 5.
const (
	fastPageRate = 14.4
	slowPageRate = 6
	ticketRate   = 1
)

// reportLag is the time after which a minute is expected in the store; the
// windows of a report end there.
const reportLag = 2 * time.Minute

// Windows of a report.
const (
	Window5Minutes = 5 * time.Minute
	Window1Hour    = time.Hour
	Window6Hours   = 6 * time.Hour
	Window3Days    = 72 * time.Hour
)

func windows() []time.Duration {
	return []time.Duration{Window5Minutes, Window1Hour, Window6Hours, Window3Days}
}

// Coverage tells how completely minutes were measured.
type Coverage struct {
	Measured int `json:"measured_minutes"`
	// Partial minutes lack the counts of some process.
	Partial int `json:"partial_minutes"`
	// Missing minutes lack the counts of all processes.
	Missing int `json:"missing_minutes"`
}

// Window is the burn of a service over one window.
type Window struct {
	Length time.Duration `json:"length_ns"`
	Counts
	// Rate is the burn rate, or nil if no request was measured.
	Rate *float64 `json:"burn_rate"`
	Coverage
}

// ServiceReport is the burn of one service.
type ServiceReport struct {
	Objective Objective `json:"objective"`
	Windows   []Window  `json:"windows"`
	Alarm     Alarm     `json:"alarm,omitempty"`
	// Points are burn rates over the last hour, for plots.
	Points []Point `json:"points"`
}

// Point is the burn rate over the hour that ends at Time.
type Point struct {
	Time time.Time `json:"time"`
	// Rate is nil if no request was measured.
	Rate *float64 `json:"burn_rate"`
	// Missing tells that some minutes are missing or partial.
	Missing bool `json:"missing"`
}

// Report is the burn of all services at one time.
type Report struct {
	// At is the end of all windows.
	At       time.Time       `json:"at"`
	Services []ServiceReport `json:"services"`
	// UnreadableObjects counts objects of the store that could not be
	// read; their counts are missing.
	UnreadableObjects int `json:"unreadable_objects"`
}

// BuildReport reads what the fleet measured and reports the burn at now. It
// fails if the store cannot list the objects.
func BuildReport(ctx context.Context, objects storage.ObjectStore, objectives []Objective, now time.Time) (Report, error) {
	end := minuteOf(now.Add(-reportLag))
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

// readers bounds the concurrent reads of a report.
const readers = 16

type readResult struct {
	hour *burnpb.Hour
	err  error
}

// readHistory reads the objects of the longest window that ends at minute end.
func readHistory(ctx context.Context, objects storage.ObjectStore, end int64) (*history, error) {
	names, err := objects.ListObjects(ctx, objectPrefix)
	if err != nil {
		return nil, fmt.Errorf("burn: list objects: %w", err)
	}
	h := newHistory(end)
	var wanted []string
	for _, name := range names {
		if hour, _, ok := parseName(name); ok && h.contains(hour) {
			wanted = append(wanted, name)
		}
	}
	for _, result := range readAll(ctx, objects, wanted) {
		if result.err != nil {
			h.unreadable++
			continue
		}
		h.add(result.hour)
	}
	h.cover()
	return h, nil
}

// readAll reads objects concurrently. Merged objects come first. An object that
// was deleted since it was listed is in a merged one and left out.
func readAll(ctx context.Context, objects storage.ObjectStore, names []string) []readResult {
	slices.SortStableFunc(names, func(a, b string) int { return mergedRank(a) - mergedRank(b) })
	results := make([]readResult, len(names))
	queue := make(chan int)
	var wg sync.WaitGroup
	for range min(readers, len(names)) {
		wg.Go(func() {
			for i := range queue {
				results[i] = readOne(ctx, objects, names[i])
			}
		})
	}
	for i := range names {
		queue <- i
	}
	close(queue)
	wg.Wait()
	var missing *storage.NotFoundError
	return slices.DeleteFunc(results, func(r readResult) bool { return errors.As(r.err, &missing) })
}

func mergedRank(name string) int {
	if strings.HasSuffix(name, "/"+mergedName) {
		return 0
	}
	return 1
}

func readOne(ctx context.Context, objects storage.ObjectStore, name string) readResult {
	data, err := objects.GetObject(ctx, name)
	if err != nil {
		return readResult{err: err}
	}
	hour, err := decodeHour(name, data)
	return readResult{hour: hour, err: err}
}

// alarm decides from the burn rates of the windows. A rate that was not
// measured raises no alarm; the report shows it as missing.
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
