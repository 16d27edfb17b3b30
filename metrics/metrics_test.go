package metrics_test

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/metrics"
)

func TestMetrics(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "metrics")
}

var _ = ginkgo.Describe("Registry", func() {
	var registry *metrics.Registry

	ginkgo.BeforeEach(func() {
		registry = metrics.NewRegistry()
		gomega.Expect(registry.Counter("requests_total", "Requests received.", func() uint64 { return 7 })).To(gomega.Succeed())
		gomega.Expect(registry.Gauge("slots_held", "Leases held.", func() float64 { return 2.5 })).To(gomega.Succeed())
	})

	ginkgo.It("returns sorted names with prefix", func() {
		gomega.Expect(registry.Names()).To(gomega.Equal([]string{"pomelolock_requests_total", "pomelolock_slots_held"}))
	})

	ginkgo.It("rejects a name that is already registered", func() {
		err := registry.Gauge("requests_total", "Another.", func() float64 { return 0 })
		gomega.Expect(err).To(gomega.Equal(&metrics.DuplicateError{Name: "requests_total"}))
	})

	ginkgo.It("serves counters that differ in a label", func() {
		read := func() []metrics.Sample {
			return []metrics.Sample{{Label: "a\"b\\c\nd", Value: 3}, {Value: 1}}
		}
		gomega.Expect(registry.Counters("served_total", "Requests served.", "workspace", read)).To(gomega.Succeed())
		gomega.Expect(registry.Counters("served_total", "Another.", "workspace", read)).To(gomega.Equal(&metrics.DuplicateError{Name: "served_total"}))
		recorder := httptest.NewRecorder()
		registry.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		gomega.Expect(recorder.Body.String()).To(gomega.HaveSuffix(`# HELP pomelolock_served_total Requests served.
# TYPE pomelolock_served_total counter
pomelolock_served_total{workspace="a\"b\\c\nd"} 3
pomelolock_served_total{workspace=""} 1
`))
	})

	ginkgo.It("serves the Prometheus text format", func() {
		recorder := httptest.NewRecorder()
		registry.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		gomega.Expect(recorder.Header().Get("Content-Type")).To(gomega.HavePrefix("text/plain; version=0.0.4"))
		gomega.Expect(recorder.Body.String()).To(gomega.Equal(`# HELP pomelolock_requests_total Requests received.
# TYPE pomelolock_requests_total counter
pomelolock_requests_total 7
# HELP pomelolock_slots_held Leases held.
# TYPE pomelolock_slots_held gauge
pomelolock_slots_held 2.5
`))
	})
})
