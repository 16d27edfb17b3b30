// Package metrics keeps the metrics of an instance in a go-metrics registry and
// serves them in the Prometheus text format.
//
// All metrics are registered at startup under constant names, so that their number
// does not grow with traffic. docs/METRICS.md lists them.
package metrics

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"

	gometrics "github.com/rcrowley/go-metrics"
)

// prefix is the prefix of the name of every metric.
const prefix = "pomelolock_"

// contentType is the media type of the text format, from the documentation of the
// Prometheus exposition formats.
const contentType = "text/plain; version=0.0.4; charset=utf-8"

// DuplicateError reports that a metric of this name is already registered.
type DuplicateError struct{ Name string }

func (e *DuplicateError) Error() string {
	return fmt.Sprintf("metrics: %s is already registered", e.Name)
}

type description struct {
	help    string
	counter bool
}

func (d description) kind() string {
	if d.counter {
		return "counter"
	}
	return "gauge"
}

// Registry holds the metrics of an instance. It is safe for concurrent use.
type Registry struct {
	registry gometrics.Registry

	mu           sync.Mutex
	descriptions map[string]description
	families     map[string]family
}

// NewRegistry returns an empty registry.
func NewRegistry() *Registry {
	return &Registry{registry: gometrics.NewRegistry(), descriptions: make(map[string]description), families: make(map[string]family)}
}

// Counter registers a counter under a name without prefix. read is called at each
// scrape and must not return a smaller value than before. Counter fails with
// [DuplicateError].
func (r *Registry) Counter(name, help string, read func() uint64) error {
	return r.register(name, description{help: help, counter: true}, func() float64 { return float64(read()) })
}

// Gauge registers a gauge under a name without prefix. read is called at each scrape.
// Gauge fails with [DuplicateError].
func (r *Registry) Gauge(name, help string, read func() float64) error {
	return r.register(name, description{help: help}, read)
}

// Sample is one of several counters under one name.
type Sample struct {
	// Label is the value of the label that tells them apart.
	Label string
	Value uint64
}

// family is a number of counters under one name.
type family struct {
	help, label string
	read        func() []Sample
}

// Counters registers counters that share a name and differ in the value of one label. read is
// called at each scrape and must return few samples. Counters fails with [DuplicateError].
func (r *Registry) Counters(name, help, label string, read func() []Sample) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.families[prefix+name]; ok || r.registry.Get(name) != nil {
		return &DuplicateError{Name: name}
	}
	r.families[prefix+name] = family{help: help, label: label, read: read}
	return nil
}

// escapeLabel escapes the value of a label for the text format.
var escapeLabel = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

// writeFamilies writes the counters that share names, sorted by name.
func (r *Registry) writeFamilies(w io.Writer) error {
	r.mu.Lock()
	families := maps.Clone(r.families)
	r.mu.Unlock()
	for _, name := range slices.Sorted(maps.Keys(families)) {
		f := families[name]
		if _, err := fmt.Fprintf(w, "# HELP %s %s\n# TYPE %s counter\n", name, f.help, name); err != nil {
			return fmt.Errorf("write metric %s: %w", name, err)
		}
		for _, s := range f.read() {
			if _, err := fmt.Fprintf(w, "%s{%s=\"%s\"} %d\n", name, f.label, escapeLabel.Replace(s.Label), s.Value); err != nil {
				return fmt.Errorf("write metric %s: %w", name, err)
			}
		}
	}
	return nil
}

func (r *Registry) register(name string, d description, read func() float64) error {
	if err := r.registry.Register(name, gometrics.NewFunctionalGaugeFloat64(read)); err != nil {
		return &DuplicateError{Name: name}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.descriptions[name] = d
	return nil
}

// Names returns the sorted names of all metrics, with prefix.
func (r *Registry) Names() []string {
	var names []string
	r.registry.Each(func(name string, _ any) { names = append(names, prefix+name) })
	sort.Strings(names)
	return names
}

// WriteText writes all metrics in the Prometheus text format, sorted by name.
func (r *Registry) WriteText(w io.Writer) error {
	for _, full := range r.Names() {
		name := strings.TrimPrefix(full, prefix)
		gauge, ok := r.registry.Get(name).(gometrics.GaugeFloat64)
		if !ok {
			continue
		}
		d := r.description(name)
		_, err := fmt.Fprintf(w, "# HELP %s %s\n# TYPE %s %s\n%s %s\n",
			full, d.help, full, d.kind(), full, strconv.FormatFloat(gauge.Value(), 'g', -1, 64))
		if err != nil {
			return fmt.Errorf("write metric %s: %w", full, err)
		}
	}
	return r.writeFamilies(w)
}

func (r *Registry) description(name string) description {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.descriptions[name]
}

// ServeHTTP implements [http.Handler].
func (r *Registry) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", contentType)
	_ = r.WriteText(w)
}
