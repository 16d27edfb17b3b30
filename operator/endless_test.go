package operator_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/operator"
)

// TestEndlessAnswersOfAnInstanceAreBounded guards against a tool that takes the memory of an operator's
// machine because an instance sends bytes without end.
func TestEndlessAnswersOfAnInstanceAreBounded(t *testing.T) {
	for name, c := range map[string]struct {
		status int
		bound  uint64
	}{
		"a report": {status: http.StatusOK, bound: 48 << 20},
		"an error": {status: http.StatusInternalServerError, bound: 1 << 20},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			data := []byte(strings.Repeat("x", 16<<10))
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.WriteHeader(c.status)
				_, _ = io.WriteString(w, `{"detail":"`)
				for {
					if _, err := w.Write(data); err != nil {
						return
					}
				}
			}))
			defer server.Close()
			client := &operator.Client{URL: server.URL, HTTP: server.Client()}
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			_, err := client.Status(t.Context())
			runtime.ReadMemStats(&after)
			g.Expect(err).To(HaveOccurred())
			t.Logf("%d KB allocated, %.80v", (after.TotalAlloc-before.TotalAlloc)>>10, err)
			g.Expect(after.TotalAlloc - before.TotalAlloc).To(BeNumerically("<", c.bound))
		})
	}
}
