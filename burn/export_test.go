package burn

import (
	"fmt"
	"time"
)

// FullHourBytes returns the encoded size, in bytes, of the object of one process
// that served the given number of services in every minute of the hour.
func FullHourBytes(services int) int {
	h := &hourCounts{covered: ^uint64(0) >> (64 - minutesPerHour), series: make(map[string]*[minutesPerHour]Counts)}
	for s := range services {
		for m := range minutesPerHour {
			total := uint64(10000 + 7919*(s+1)*(m+3)%5000)
			h.minutes(fmt.Sprintf("service-%d", s))[m] = Counts{Total: total, Complete: total - uint64(m%3), Good: total - uint64(m%7)}
		}
	}
	data, err := encodeHour(h.toProto(495000, "entry-1", "abcdefgh"))
	if err != nil {
		panic(err)
	}
	return len(data)
}

// Collect collects the counts since the last collection into the current minute.
func (r *Recorder) Collect() { r.collect(time.Now()) }

// Recorded returns the counts of a service in all collected minutes.
func (r *Recorder) Recorded(service string) Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	var sum Counts
	for _, hour := range r.hours {
		for _, counts := range hour.minutes(service) {
			sum.add(counts)
		}
	}
	return sum
}
