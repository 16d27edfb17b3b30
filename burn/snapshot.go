package burn

import (
	"bytes"
	"compress/gzip"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/pomelolock/pomelolock/burn/burnpb"
)

// Retention is how long measured hours are kept.
const Retention = 74 * time.Hour

// MaxObjectBytes bounds a decoded object.
const MaxObjectBytes = 16 << 20

const (
	objectPrefix = "burn/"
	mergedName   = "merged"
)

// CorruptError reports an object that cannot be read as measured hours.
type CorruptError struct {
	Name string
	Err  error
}

func (e *CorruptError) Error() string { return fmt.Sprintf("burn: object %s: %v", e.Name, e.Err) }

// Unwrap returns the cause.
func (e *CorruptError) Unwrap() error { return e.Err }

// objectName names the object of a process, or of all merged ones.
func objectName(hour int64, source string) string {
	return fmt.Sprintf("%s%010d/%s", objectPrefix, hour, source)
}

// parseName returns the hour and source of an object's name.
func parseName(name string) (hour int64, source string, ok bool) {
	rest, found := strings.CutPrefix(name, objectPrefix)
	digits, source, cut := strings.Cut(rest, "/")
	hour, err := strconv.ParseInt(digits, 10, 64)
	return hour, source, found && cut && err == nil
}

func sourceName(source *burnpb.Source) string {
	return source.GetInstanceId() + "/" + source.GetProcess()
}

func encodeHour(hour *burnpb.Hour) ([]byte, error) {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(hour)
	if err != nil {
		return nil, fmt.Errorf("burn: encode hour %d: %w", hour.GetHour(), err)
	}
	var b bytes.Buffer
	w := gzip.NewWriter(&b)
	if _, err := w.Write(data); err != nil {
		return nil, fmt.Errorf("burn: compress hour %d: %w", hour.GetHour(), err)
	}
	if err := w.Close(); err != nil {
		return nil, fmt.Errorf("burn: compress hour %d: %w", hour.GetHour(), err)
	}
	return b.Bytes(), nil
}

func decodeHour(name string, data []byte) (*burnpb.Hour, error) {
	r, err := gzip.NewReader(bytes.NewReader(data))
	if err != nil {
		return nil, &CorruptError{Name: name, Err: err}
	}
	plain, err := io.ReadAll(io.LimitReader(r, MaxObjectBytes))
	if err != nil {
		return nil, &CorruptError{Name: name, Err: err}
	}
	var hour burnpb.Hour
	if err := proto.Unmarshal(plain, &hour); err != nil {
		return nil, &CorruptError{Name: name, Err: err}
	}
	return &hour, nil
}

// message returns the object of an hour that one process measured.
func (h *hourCounts) message(hour int64, instanceID, process string) *burnpb.Hour {
	m := &burnpb.Hour{
		Hour: hour,
		Sources: []*burnpb.Source{{
			InstanceId: instanceID,
			Process:    process,
			Covered:    h.covered,
			Ended:      h.ended,
		}},
	}
	for service, minutes := range h.series {
		m.Series = append(m.Series, seriesOf(service, minutes))
	}
	sortSeries(m.Series)
	return m
}

func sortSeries(series []*burnpb.Series) {
	slices.SortFunc(series, func(a, b *burnpb.Series) int { return strings.Compare(a.GetService(), b.GetService()) })
}

func seriesOf(service string, minutes *[minutesPerHour]Counts) *burnpb.Series {
	series := &burnpb.Series{Service: service}
	for minute, counts := range minutes {
		if counts.Total == 0 {
			continue
		}
		series.Minute = append(series.Minute, uint32(minute))
		series.Total = append(series.Total, counts.Total)
		series.Whole = append(series.Whole, counts.Whole)
		series.Good = append(series.Good, counts.Good)
	}
	return series
}

// addSeries adds counts of an object to the minutes of its service.
func addSeries(minutes *[minutesPerHour]Counts, series *burnpb.Series) {
	n := min(len(series.GetMinute()), len(series.GetTotal()), len(series.GetWhole()), len(series.GetGood()))
	for i := range n {
		if minute := series.GetMinute()[i]; minute < minutesPerHour {
			minutes[minute].add(Counts{Total: series.GetTotal()[i], Whole: series.GetWhole()[i], Good: series.GetGood()[i]})
		}
	}
}

// mergeHours adds up hours of different sources. A source that is in several
// of them counts once, in the first.
func mergeHours(hours []*burnpb.Hour) *burnpb.Hour {
	merged := &burnpb.Hour{}
	seen := make(map[string]bool)
	sums := make(map[string]*[minutesPerHour]Counts)
	for _, hour := range hours {
		merged.Hour = hour.GetHour()
		if !addSources(merged, hour, seen) {
			continue
		}
		for _, series := range hour.GetSeries() {
			if sums[series.GetService()] == nil {
				sums[series.GetService()] = new([minutesPerHour]Counts)
			}
			addSeries(sums[series.GetService()], series)
		}
	}
	for service, minutes := range sums {
		merged.Series = append(merged.Series, seriesOf(service, minutes))
	}
	sortSeries(merged.Series)
	return merged
}

// addSources reports whether none of the hour's sources was seen before, and
// adds them if so.
func addSources(merged, hour *burnpb.Hour, seen map[string]bool) bool {
	for _, source := range hour.GetSources() {
		if seen[sourceName(source)] {
			return false
		}
	}
	for _, source := range hour.GetSources() {
		seen[sourceName(source)] = true
		merged.Sources = append(merged.Sources, source)
	}
	return true
}
