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

// Retention is the time for which the counts of an hour are kept. It exceeds the
// longest window of a report, [Window3Days].
const Retention = 74 * time.Hour

// MaxObjectBytes bounds the uncompressed size of an object, in bytes.
const MaxObjectBytes = 16 << 20

const (
	objectPrefix = "burn/"
	mergedName   = "merged"
)

// CorruptError reports an object that cannot be decoded.
type CorruptError struct {
	Name string
	Err  error
}

func (e *CorruptError) Error() string { return fmt.Sprintf("burn: object %s: %v", e.Name, e.Err) }

// Unwrap returns the cause.
func (e *CorruptError) Unwrap() error { return e.Err }

// objectName returns the name of an hour's object. The source is the name of a
// process, as sourceName returns it, or mergedName.
func objectName(hour int64, source string) string {
	return fmt.Sprintf("%s%010d/%s", objectPrefix, hour, source)
}

// parseObjectName splits a name made by objectName.
func parseObjectName(name string) (hour int64, source string, ok bool) {
	rest, found := strings.CutPrefix(name, objectPrefix)
	digits, source, cut := strings.Cut(rest, "/")
	hour, err := strconv.ParseInt(digits, 10, 64)
	return hour, source, found && cut && err == nil
}

// sourceName identifies a process in object names and in maps.
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

// toProto returns the message with the counts of one process in one hour.
func (h *hourCounts) toProto(hour int64, instanceID, process string) *burnpb.Hour {
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
		m.Series = append(m.Series, seriesToProto(service, minutes))
	}
	sortSeries(m.Series)
	return m
}

func sortSeries(series []*burnpb.Series) {
	slices.SortFunc(series, func(a, b *burnpb.Series) int { return strings.Compare(a.GetService(), b.GetService()) })
}

// seriesToProto returns the message with a service's counts. Minutes without
// requests are left out.
func seriesToProto(service string, minutes *[minutesPerHour]Counts) *burnpb.Series {
	series := &burnpb.Series{Service: service}
	for minute, counts := range minutes {
		if counts.Total == 0 {
			continue
		}
		series.Minute = append(series.Minute, uint32(minute))
		series.Total = append(series.Total, counts.Total)
		series.Whole = append(series.Whole, counts.Complete)
		series.Good = append(series.Good, counts.Good)
	}
	return series
}

// addSeries adds the counts of a message to those of its service. Entries that
// lack a column or have an invalid minute are ignored.
func addSeries(minutes *[minutesPerHour]Counts, series *burnpb.Series) {
	n := min(len(series.GetMinute()), len(series.GetTotal()), len(series.GetWhole()), len(series.GetGood()))
	for i := range n {
		if minute := series.GetMinute()[i]; minute < minutesPerHour {
			minutes[minute].add(Counts{Total: series.GetTotal()[i], Complete: series.GetWhole()[i], Good: series.GetGood()[i]})
		}
	}
}

// mergeHours adds up the counts of several sources in one hour. A message with
// a source that an earlier message contains is left out as a whole.
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
		merged.Series = append(merged.Series, seriesToProto(service, minutes))
	}
	sortSeries(merged.Series)
	return merged
}

// addSources adds the hour's sources to seen and to merged and returns true. If
// any of them was seen before, it adds none and returns false.
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
