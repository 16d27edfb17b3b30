package loadgen

import (
	"fmt"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	lowestLatencyUS   = 1
	highestLatencyUS  = 120_000_000
	significantDigits = 3
	usPerMS           = 1000
)

// Report is the result of a run. Latencies are in milliseconds, measured from
// the intended send time.
type Report struct {
	Seed            uint64  `json:"seed"`
	DurationSeconds float64 `json:"duration_seconds"`
	// Sent is the number of calls, including the duplicates, whose number is
	// Resent.
	Sent   int `json:"sent"`
	Resent int `json:"resent"`
	// Retried is the number of requests that were followed by a retry.
	Retried int `json:"retried"`
	// AnsweredWhole is the number of calls for which at least one request
	// received a complete response.
	AnsweredWhole int `json:"answered_whole"`
	// Verdicts and Codes leave out duplicates, whose verdicts are in
	// Duplicates.
	Verdicts   map[Verdict]int `json:"verdicts"`
	Duplicates map[Verdict]int `json:"duplicate_verdicts,omitempty"`
	// Codes counts the codes of error responses written by pomelolock itself.
	Codes map[string]int `json:"codes,omitempty"`
	// LostOnReused is the number of cut calls that were sent over a reused
	// connection and received no byte of a response.
	LostOnReused int `json:"lost_on_reused"`
	// LongestGapMS is the longest time between the ends of two consecutive
	// complete responses, in milliseconds.
	LongestGapMS float64 `json:"longest_gap_ms"`
	// Goodput is the number of complete responses per second that ended within
	// the duration of the load. Responses from a backlog that is served later
	// do not count.
	Goodput   float64    `json:"goodput_per_second"`
	Latency   Latency    `json:"latency_ms"`
	Intervals []Interval `json:"intervals"`
	// Histogram is the HdrHistogram of the latencies of complete responses in
	// microseconds, in the compressed base64 encoding.
	Histogram string `json:"hdr_histogram"`
	// Calls holds the responses to each call by call ID.
	Calls map[string]CallCounts `json:"-"`

	histogram *hdrhistogram.Histogram
}

// Latency holds the mean, percentiles and maximum over complete responses.
type Latency struct {
	Mean float64 `json:"mean"`
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	Max  float64 `json:"max"`
}

// Interval covers one second of the run, by intended send time.
type Interval struct {
	Second int     `json:"second"`
	Sent   int     `json:"sent"`
	Whole  int     `json:"whole"`
	P99    float64 `json:"p99_ms"`

	histogram *hdrhistogram.Histogram
}

// CallCounts counts the requests sent for one call and the responses to them.
type CallCounts struct {
	Keyed bool
	// Sent is the number of requests, Complete the number of complete responses,
	// and NotRun the number of requests that were refused as not run or were
	// never sent.
	Sent     int
	Complete int
	NotRun   int
}

// recorder collects results. It is safe for concurrent use.
type recorder struct {
	opts  Options
	start time.Time

	mu     sync.Mutex
	result Report
	// lastCompleteAt is the end of the latest complete response.
	lastCompleteAt time.Time
	// completeInDuration is the number of complete responses that ended within
	// the duration of the load.
	completeInDuration int
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestLatencyUS, highestLatencyUS, significantDigits)
}

func newRecorder(opts Options, start time.Time) *recorder {
	return &recorder{opts: opts, start: start, result: Report{
		Seed:       opts.Seed,
		Verdicts:   make(map[Verdict]int),
		Duplicates: make(map[Verdict]int),
		Codes:      make(map[string]int),
		Calls:      make(map[string]CallCounts),
		histogram:  newHistogram(),
	}}
}

// record adds the final result of a call with its intended send time.
func (r *recorder) record(c call, intended time.Time, res result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	latency := now.Sub(intended)
	r.recordComplete(res.verdict, now)
	r.result.Sent++
	r.recordResponse(c, res.verdict)
	if c.resent {
		r.result.Resent++
		r.result.Duplicates[res.verdict]++
		return
	}
	r.result.Verdicts[res.verdict]++
	if res.code != "" {
		r.result.Codes[res.code]++
	}
	if res.verdict == Cut && res.reused {
		r.result.LostOnReused++
	}
	interval := r.interval(intended)
	interval.Sent++
	if res.verdict == Complete {
		interval.Whole++
		recordLatency(interval.histogram, latency)
		recordLatency(r.result.histogram, latency)
	}
}

func (r *recorder) recordComplete(verdict Verdict, now time.Time) {
	if verdict != Complete {
		return
	}
	if !r.lastCompleteAt.IsZero() {
		gap := float64(now.Sub(r.lastCompleteAt).Microseconds()) / usPerMS
		r.result.LongestGapMS = max(r.result.LongestGapMS, gap)
	}
	r.lastCompleteAt = now
	if now.Sub(r.start) <= r.opts.Duration {
		r.completeInDuration++
	}
}

// recordRetried adds the result of a request that the caller retries.
func (r *recorder) recordRetried(c call, res result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Retried++
	r.recordResponse(c, res.verdict)
	if res.code != "" {
		r.result.Codes[res.code]++
	}
}

func (r *recorder) recordResponse(c call, verdict Verdict) {
	responses := r.result.Calls[c.id]
	responses.Keyed = c.kind.Keyed
	responses.Sent++
	switch verdict {
	case Complete:
		if responses.Complete++; responses.Complete == 1 {
			r.result.AnsweredWhole++
		}
	case Refused, NotSent:
		responses.NotRun++
	}
	r.result.Calls[c.id] = responses
}

func (r *recorder) interval(intended time.Time) *Interval {
	second := int(intended.Sub(r.start) / time.Second)
	for len(r.result.Intervals) <= second {
		next := Interval{Second: len(r.result.Intervals), histogram: newHistogram()}
		r.result.Intervals = append(r.result.Intervals, next)
	}
	return &r.result.Intervals[second]
}

func recordLatency(h *hdrhistogram.Histogram, latency time.Duration) {
	us := min(max(latency.Microseconds(), lowestLatencyUS), highestLatencyUS)
	// RecordValue fails only for values outside the histogram's range.
	_ = h.RecordValue(us)
}

// report computes the totals after the last call and returns the report.
func (r *recorder) report() (*Report, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := &r.result
	report.DurationSeconds = r.opts.Duration.Seconds()
	report.Goodput = float64(r.completeInDuration) / report.DurationSeconds
	report.Latency = summarize(report.histogram)
	for i := range report.Intervals {
		report.Intervals[i].P99 = quantile(report.Intervals[i].histogram, 99)
	}
	encoded, err := report.histogram.Encode(hdrhistogram.V2CompressedEncodingCookieBase)
	if err != nil {
		return nil, fmt.Errorf("loadgen: encode histogram: %w", err)
	}
	report.Histogram = string(encoded)
	return report, nil
}

func summarize(h *hdrhistogram.Histogram) Latency {
	return Latency{
		Mean: h.Mean() / usPerMS,
		P50:  quantile(h, 50),
		P90:  quantile(h, 90),
		P99:  quantile(h, 99),
		P999: quantile(h, 99.9),
		Max:  float64(h.Max()) / usPerMS,
	}
}

func quantile(h *hdrhistogram.Histogram, percent float64) float64 {
	return float64(h.ValueAtQuantile(percent)) / usPerMS
}
