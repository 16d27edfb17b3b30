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

// Report is the result of a run. Latencies are in milliseconds from the
// intended send time.
type Report struct {
	Seed            uint64  `json:"seed"`
	DurationSeconds float64 `json:"duration_seconds"`
	// Sent counts the calls with those Resent at once for a second time.
	Sent   int `json:"sent"`
	Resent int `json:"resent"`
	// Retried counts further requests of callers that sent again.
	Retried int `json:"retried"`
	// AnsweredWhole counts the calls of which at least one request was
	// answered whole.
	AnsweredWhole int `json:"answered_whole"`
	// Verdicts and Codes exclude resent requests, Duplicates holds theirs.
	Verdicts   map[Verdict]int `json:"verdicts"`
	Duplicates map[Verdict]int `json:"duplicate_verdicts,omitempty"`
	// Codes counts the codes of pomelolock's own answers.
	Codes map[string]int `json:"codes,omitempty"`
	// LostOnReused are cut calls that had gone over a reused connection and
	// saw no byte of an answer.
	LostOnReused int `json:"lost_on_reused"`
	// LongestGapMS is the longest time between the ends of two whole answers
	// that followed each other, in milliseconds.
	LongestGapMS float64 `json:"longest_gap_ms"`
	// Goodput is whole answers a second that ended within the load's
	// duration; those of a backlog served later do not count.
	Goodput   float64    `json:"goodput_per_second"`
	Latency   Latency    `json:"latency_ms"`
	Intervals []Interval `json:"intervals"`
	// Histogram is the HdrHistogram of whole answers in microseconds, in
	// its compressed base64 form.
	Histogram string `json:"hdr_histogram"`
	// Calls is what the senders of each call were told, by its mark.
	Calls map[string]Told `json:"-"`

	histogram *hdrhistogram.Histogram
}

// Latency holds percentiles of the whole answers.
type Latency struct {
	Mean float64 `json:"mean"`
	P50  float64 `json:"p50"`
	P90  float64 `json:"p90"`
	P99  float64 `json:"p99"`
	P999 float64 `json:"p999"`
	Max  float64 `json:"max"`
}

// Interval is one second of the run by intended send time.
type Interval struct {
	Second int     `json:"second"`
	Sent   int     `json:"sent"`
	Whole  int     `json:"whole"`
	P99    float64 `json:"p99_ms"`

	histogram *hdrhistogram.Histogram
}

// Told is what the senders of one call were told.
type Told struct {
	Keyed bool
	// Sent is how often the call was sent, Whole and NotRun how many of the
	// answers were whole or said that it was not run.
	Sent   int
	Whole  int
	NotRun int
}

// recorder gathers results. It is safe for concurrent use.
type recorder struct {
	opts  Options
	start time.Time

	mu     sync.Mutex
	result Report
	// wholeAt is the end of the latest whole answer, inTime the number of
	// those that ended within the load's duration.
	wholeAt time.Time
	inTime  int
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
		Calls:      make(map[string]Told),
		histogram:  newHistogram(),
	}}
}

// record adds the result of a call that was intended for a given time.
func (r *recorder) record(c call, intended time.Time, res result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	latency := now.Sub(intended)
	r.noteWhole(res.verdict, now)
	r.result.Sent++
	r.tell(c, res.verdict)
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
	if res.verdict == Whole {
		interval.Whole++
		recordLatency(interval.histogram, latency)
		recordLatency(r.result.histogram, latency)
	}
}

func (r *recorder) noteWhole(verdict Verdict, now time.Time) {
	if verdict != Whole {
		return
	}
	if !r.wholeAt.IsZero() {
		gap := float64(now.Sub(r.wholeAt).Microseconds()) / usPerMS
		r.result.LongestGapMS = max(r.result.LongestGapMS, gap)
	}
	r.wholeAt = now
	if now.Sub(r.start) <= r.opts.Duration {
		r.inTime++
	}
}

// recordRetried adds the result of a request after which the caller sends again.
func (r *recorder) recordRetried(c call, res result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.result.Retried++
	r.tell(c, res.verdict)
	if res.code != "" {
		r.result.Codes[res.code]++
	}
}

func (r *recorder) tell(c call, verdict Verdict) {
	told := r.result.Calls[c.mark]
	told.Keyed = c.kind.Keyed
	told.Sent++
	switch verdict {
	case Whole:
		if told.Whole++; told.Whole == 1 {
			r.result.AnsweredWhole++
		}
	case Refused, NotSent:
		told.NotRun++
	}
	r.result.Calls[c.mark] = told
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
	// The value is within the histogram's range.
	_ = h.RecordValue(us)
}

// report completes the report after the last call.
func (r *recorder) report() (*Report, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := &r.result
	report.DurationSeconds = r.opts.Duration.Seconds()
	report.Goodput = float64(r.inTime) / report.DurationSeconds
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
