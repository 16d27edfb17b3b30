package proxy_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/internal/rawserver"
	"github.com/pomelolock/pomelolock/outcome"
	"github.com/pomelolock/pomelolock/table"
)

// copyingServer refuses and runs requests at random.
type copyingServer struct {
	*rawserver.Copying
	echoes bool
}

func newCopyingServer(echoes bool) *copyingServer {
	s := &copyingServer{rawserver.NewCopying(), echoes}
	s.Response = s.response
	return s
}

func (s *copyingServer) response(req *http.Request) (text string, run bool) {
	id := ""
	if s.echoes || s.Draw(2) == 0 {
		id = req.Header.Get(outcome.HeaderRequestID)
	}
	if s.Draw(3) == 0 {
		return notRun(id), false
	}
	body := "whole"
	if s.Draw(2) == 0 {
		// An earlier caller chose it.
		body = notRun("same" + strconv.Itoa(s.Draw(4)))
	}
	head := fmt.Sprintf("HTTP/1.1 %d X\r\n%s: %s\r\nContent-Length: %d\r\n\r\n",
		[]int{200, 500}[s.Draw(2)], outcome.HeaderRequestID, id, len(body))
	if req.Method == http.MethodHead {
		body = ""
	}
	return head + body, true
}

// TestOutcomesAreTrueWhileResponsesAreCopied guards against "not run" for a request that runs, and
// against a second run, for requests with repeated IDs, HEAD, long bodies and early responses.
func TestOutcomesAreTrueWhileResponsesAreCopied(t *testing.T) {
	for _, echoes := range []bool{true, false} {
		t.Run(fmt.Sprintf("echoes ID %v", echoes), func(t *testing.T) {
			t.Parallel()
			s := newCopyingServer(echoes)
			none := func() fault { return faultNone }
			bed := newTestbed(t, func(doc *table.Document) {
				doc.Services[0].ChecksMark = echoes
				doc.Services[0].MaxBodyBytes = 4 << 20
				doc.Services[0].DeadlineMS = 500
				doc.Servers[0].Address, doc.Servers[1].Address = rawserver.Start(t, s.Serve), rawserver.Start(t, s.Serve)
			}, none, none)
			const callers, requests = 8, 120
			var mu sync.Mutex
			promised := make(map[string]bool)
			outcomes := make(map[string]int)
			var wg sync.WaitGroup
			for caller := range callers {
				wg.Go(func() {
					for n := range requests {
						sending := fmt.Sprintf("%d-%d", caller, n)
						got := s.sendTo(t, bed, sending)
						mu.Lock()
						outcomes[got]++
						promised[sending] = got == string(outcome.NotRun)
						mu.Unlock()
					}
				})
			}
			wg.Wait()
			time.Sleep(100 * time.Millisecond)
			t.Log(outcomes)
			g := gomega.NewWithT(t)
			g.Expect(outcomes[string(outcome.NotRun)]).To(gomega.BeNumerically(">", 0))
			for sending, runs := range s.Runs() {
				g.Expect(runs).To(gomega.Equal(1), "runs of %s", sending)
				g.Expect(promised[sending]).To(gomega.BeFalse(), "%s ran and was answered not-run", sending)
			}
		})
	}
}

func (s *copyingServer) sendTo(t *testing.T, bed *testbed, sending string) string {
	t.Helper()
	method := []string{http.MethodPut, http.MethodPost, http.MethodGet, http.MethodHead}[s.Draw(4)]
	var body io.Reader
	if method == http.MethodPut || method == http.MethodPost {
		body = strings.NewReader(strings.Repeat("x", []int{0, 1, 3000, 100 << 10, 2 << 20}[s.Draw(5)]))
		if s.Draw(2) == 0 {
			body = struct{ io.Reader }{body}
		}
	}
	req, err := http.NewRequestWithContext(t.Context(), method, bed.front.URL+"/order", body)
	if err != nil {
		t.Error(err)
		return ""
	}
	req.Header.Set(rawserver.HeaderSending, sending)
	req.Header.Set(outcome.HeaderRequestID, "same"+strconv.Itoa(s.Draw(4)))
	if s.Draw(4) == 0 {
		req.Header.Set(outcome.HeaderRequestID, sending)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.Header.Get(outcome.HeaderOutcome)
}
