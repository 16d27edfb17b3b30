package forward

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/memory"
)

// pipelinedRecorder is a response writer behind which a request is being handled.
type pipelinedRecorder struct{ *httptest.ResponseRecorder }

func (pipelinedRecorder) ArrivedAt() time.Time { return time.Time{} }
func (pipelinedRecorder) BeginStream() bool    { return true }

// TestBufferedRestTakesWhatIsCharged guards against a process that exceeds its memory because a long
// response behind which requests were passed on takes more than is charged for it.
func TestBufferedRestTakesWhatIsCharged(t *testing.T) {
	// An allocation is rounded up to whole pages; the rest is for what is not a body.
	const rounding = 32 << 10
	for name, c := range map[string]struct {
		size  int
		known bool
	}{
		"length known":                   {600 << 10, true},
		"length known, at the bound":     {maxBufferedPipelined, true},
		"length unknown":                 {600 << 10, false},
		"length unknown, at the bound":   {maxBufferedPipelined, false},
		"length unknown, over the bound": {maxBufferedPipelined + 1, false},
		"length unknown, much longer":    {3 * maxBufferedPipelined, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			data := bytes.Repeat([]byte("0123456789"), c.size/10+1)[:c.size]
			account := memory.NewAccount(0)
			recorder := pipelinedRecorder{httptest.NewRecorder()}
			recorder.Body = bytes.NewBuffer(make([]byte, 0, c.size))
			x := &exchange{
				f: &Forwarder{ended: make(chan struct{})}, w: recorder,
				in: httptest.NewRequest(http.MethodGet, "/", nil), deadline: time.Now().Add(time.Minute),
			}
			x.held.account = account
			length := int64(-1)
			if c.known {
				length = int64(c.size)
			}
			resp, err := x.bufferBody("s1", &http.Response{StatusCode: http.StatusOK, ContentLength: length, Body: io.NopCloser(bytes.NewReader(data))})
			g.Expect(err).NotTo(gomega.HaveOccurred())
			g.Expect(resp.rest).NotTo(gomega.BeNil())
			charged := account.Used(memory.Responses)
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			failed := x.bufferRest(resp)
			runtime.ReadMemStats(&after)
			charged = account.Used(memory.Responses) - charged
			g.Expect(failed).To(gomega.BeNil())
			g.Expect(account.Used(memory.Responses)).To(gomega.BeNumerically("<=", maxBufferedPipelined))
			g.Expect(int64(after.TotalAlloc-before.TotalAlloc)).To(gomega.BeNumerically("<=", charged+rounding), "bytes allocated")
			g.Expect(resp.rest == nil).To(gomega.Equal(c.size <= maxBufferedPipelined), "buffered whole")
			g.Expect(x.copyBody(http.NewResponseController(x.w), resp)).To(gomega.Succeed())
			g.Expect(bytes.Equal(recorder.Body.Bytes(), data)).To(gomega.BeTrue(), "the body arrives unchanged")
		})
	}
}
