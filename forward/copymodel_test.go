package forward_test

import (
	"context"
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
)

// copyingServer refuses and runs requests at random.
type copyingServer struct{ *rawserver.Copying }

func newCopyingServer() *copyingServer {
	s := &copyingServer{rawserver.NewCopying()}
	s.Response = s.response
	return s
}

func (s *copyingServer) response(req *http.Request) (text string, run bool) {
	id := ""
	if values := req.Header["Request-Id"]; len(values) > 0 && s.Draw(6) > 0 {
		id = "Request-Id: " + values[0] + "\r\n"
	}
	refusal := func(id string) string {
		status := []int{503, 429, 408, 400}[s.Draw(4)]
		return fmt.Sprintf("HTTP/1.1 %d X\r\n%sNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", status, id)
	}
	if req.URL.Path == "/health" {
		return "HTTP/1.1 503 X\r\nInstance-Id: s1\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n", false
	}
	if s.Draw(3) == 0 {
		return refusal(id), false
	}
	body := "whole"
	if s.Draw(2) == 0 {
		// An earlier caller chose it.
		body = refusal("Request-Id: same" + strconv.Itoa(s.Draw(4)) + "\r\n")
	}
	head := fmt.Sprintf("HTTP/1.1 %d X\r\n%s%s\r\nContent-Length: %d\r\n\r\n", []int{200, 500}[s.Draw(2)], id, signed, len(body))
	if req.Method == http.MethodHead {
		body = ""
	}
	return head + body, true
}

// TestPromisesHoldWhileResponsesAreCopied guards against "not run" for a request that runs, and against
// a second run, for requests with repeated IDs, without an ID, HEAD, long bodies and early responses.
func TestPromisesHoldWhileResponsesAreCopied(t *testing.T) {
	for _, delegated := range []bool{false, true} {
		t.Run(fmt.Sprintf("delegated: %v", delegated), func(t *testing.T) {
			t.Parallel()
			s := newCopyingServer()
			f := newFixture(t, startRawServer(t, "s1", s.Serve), startRawServer(t, "s2", s.Serve))
			if delegated {
				f = cutOff(t, f.asPeer(t, "peer"))
			}
			const callers, requests = 8, 80
			var mu sync.Mutex
			promised := make(map[string]int)
			statuses := make(map[int]int)
			var wg sync.WaitGroup
			for caller := range callers {
				wg.Go(func() {
					for n := range requests {
						sending := fmt.Sprintf("%d-%d", caller, n)
						status := f.sendOnce(t, s, sending)
						mu.Lock()
						statuses[status]++
						switch status {
						case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
							promised[sending] = status
						}
						mu.Unlock()
					}
				})
			}
			wg.Wait()
			time.Sleep(100 * time.Millisecond)
			t.Log(statuses)
			g := gomega.NewWithT(t)
			g.Expect(promised).NotTo(gomega.BeEmpty())
			for sending, runs := range s.Runs() {
				g.Expect(runs).To(gomega.Equal(1), "runs of %s", sending)
				g.Expect(promised).NotTo(gomega.HaveKey(sending), "it ran")
			}
		})
	}
}

func (f *fixture) sendOnce(t *testing.T, s *copyingServer, sending string) int {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	method := []string{http.MethodPut, http.MethodPost, http.MethodGet, http.MethodHead}[s.Draw(4)]
	var body io.Reader
	if method == http.MethodPut || method == http.MethodPost {
		body = strings.NewReader(strings.Repeat("x", []int{0, 1, 3000, 200 << 10, 2 << 20}[s.Draw(5)]))
		if s.Draw(2) == 0 {
			body = chunked{body}
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, f.url+"/order/1", body)
	if err != nil {
		t.Error(err)
		return 0
	}
	req.Host = "h"
	req.Header.Set(rawserver.HeaderSending, sending)
	req.Header.Set("Deadline-Ms", "300")
	switch s.Draw(5) {
	case 0:
	case 1:
		req.Header.Set("Request-Id", sending)
	case 2:
		req.Header["Request-Id"] = []string{"same" + strconv.Itoa(s.Draw(4)), "same" + strconv.Itoa(s.Draw(4))}
	default:
		req.Header.Set("Request-Id", "same"+strconv.Itoa(s.Draw(4)))
	}
	transport := &http.Transport{DisableKeepAlives: true}
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}
