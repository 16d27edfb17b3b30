package daemon

import (
	"io"
	"os"
	"path/filepath"
	"regexp"
	"testing"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/internal/listen"
	"github.com/pomelolock/pomelolock/internal/logline"
	"github.com/pomelolock/pomelolock/settings"
)

const anyPort = "127.0.0.1:0"

func testSettings() *settings.Settings {
	set := settings.Default()
	set.Fleet = "test"
	set.Plain = true
	set.Instance = settings.Instance{ID: "entry-1", Region: "r", DataCentre: "dc"}
	set.Listen = settings.Listen{Caller: anyPort, Peer: anyPort, Operator: anyPort}
	set.Platform.URL = "http://127.0.0.1:1"
	return set
}

// TestMetricsAreDocumented guards against metrics that are missing in docs/METRICS.md
// and against documented ones that don't exist.
func TestMetricsAreDocumented(t *testing.T) {
	g := gomega.NewWithT(t)
	logger, err := logline.New(io.Discard, "error")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	d, err := New(testSettings(), logger)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer d.closeListeners()
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "METRICS.md"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	var documented []string
	for _, match := range regexp.MustCompile("(?m)^\\| `(pomelolock_[a-z_]+)`").FindAllSubmatch(page, -1) {
		documented = append(documented, string(match[1]))
	}
	g.Expect(documented).To(gomega.ConsistOf(d.metrics.Names()))
}

func TestUnusableAddressIsReported(t *testing.T) {
	g := gomega.NewWithT(t)
	logger, err := logline.New(io.Discard, "error")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	set := testSettings()
	set.Listen.Operator = "192.0.2.1:1"
	_, err = New(set, logger)
	var listen *listen.Error
	g.Expect(err).To(gomega.BeAssignableToTypeOf(listen))
}

func TestUnknownLogLevelIsReported(t *testing.T) {
	_, err := logline.New(io.Discard, "loud")
	gomega.NewWithT(t).Expect(err).To(gomega.Equal(&logline.LevelError{Level: "loud"}))
}
