package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/internal/rawserver"
	"github.com/pomelolock/pomelolock/outcome"
	"github.com/pomelolock/pomelolock/proxy"
	"github.com/pomelolock/pomelolock/table"
)

// endlessServer answers each request with begin, in which ID stands for the ID of the request, and
// then with unit again and again. open counts the connections on which it answers, sent the bytes
// of the units.
type endlessServer struct {
	begin, unit string
	open, sent  atomic.Int64
}

func (s *endlessServer) serve(conn net.Conn) {
	defer conn.Close()
	req, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	s.open.Add(1)
	defer s.open.Add(-1)
	_, err = io.WriteString(conn, strings.ReplaceAll(s.begin, "ID", req.Header.Get(outcome.HeaderRequestID)))
	for data := []byte(s.unit); err == nil; {
		var n int
		n, err = conn.Write(data)
		s.sent.Add(int64(n))
	}
}

// TestEndlessAnswersAreBounded guards against a faulty server that fills the memory with bytes that
// don't end, or holds callers past their deadline, while many ask it at once.
func TestEndlessAnswersAreBounded(t *testing.T) {
	const (
		callers = 50
		// maxPerCaller bounds what is allocated for one request, kept or not, on both sides of the
		// test: what the memory of an instance allows for each of the callers.
		maxPerCaller = (284 << 20) / callers
		// maxOwnBody is more than the proxy's own answers are long.
		maxOwnBody = 4 << 10
		deadline   = 500 * time.Millisecond
		slack      = 2 * time.Second
	)
	text := strings.Repeat("x", 16<<10)
	head := "HTTP/1.1 200 OK\r\n" + outcome.HeaderRequestID + ": ID\r\n"
	chunked := "Transfer-Encoding: chunked\r\n\r\n"
	for name, c := range map[string]struct {
		begin, unit string
		streamed    bool
	}{
		"before a status line":    {"", text, false},
		"in a status line":        {"HTTP/1.1 200 ", text, false},
		"in a header":             {head + "Own: ", text, false},
		"in many headers":         {head, strings.Repeat("Own: 1\r\n", 1<<10), false},
		"in interim answers":      {"", "HTTP/1.1 103 Early Hints\r\nOwn: 1\r\n\r\n", false},
		"without framing":         {head + "\r\n", text, false},
		"of another request":      {"HTTP/1.1 200 OK\r\n" + outcome.HeaderRequestID + ": other\r\n" + chunked, "4000\r\n" + text + "\r\n", false},
		"in a refusal":            {strings.Replace(head, "200", "503", 1) + outcome.HeaderNotRun + ": true\r\n" + chunked, "4000\r\n" + text + "\r\n", false},
		"in a chunk size":         {head + chunked, text, false},
		"in a chunk extension":    {head + chunked + "1;own=", text, false},
		"in a trailer":            {head + chunked + "0\r\nOwn: ", text, false},
		"in a chunked body":       {head + chunked, "4000\r\n" + text + "\r\n", true},
		"in a body with a length": {head + "Content-Length: 9000000000000000000\r\n\r\n", text, true},
		"in a failed answer":      {strings.Replace(head, "200", "500", 1) + chunked, "4000\r\n" + text + "\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			server := &endlessServer{begin: c.begin, unit: c.unit}
			address := rawserver.Start(t, server.serve)
			bed := newTestbedWith(t, func(o *proxy.Options) { o.MaxBufferedBytes = 4 << 20 }, func(doc *table.Document) {
				doc.Services[0].DeadlineMS = deadline.Milliseconds()
				for i := range doc.Servers {
					doc.Servers[i].Address = address
				}
			}, always(faultNone), always(faultNone))
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			var wg sync.WaitGroup
			for n := range callers {
				wg.Go(func() {
					began := time.Now()
					status, body, err := bed.read(fmt.Sprint("r", n))
					if took := time.Since(began); took > deadline+slack {
						t.Errorf("answered after %v", took)
					}
					if !c.streamed && status == http.StatusOK || body > maxOwnBody && err == nil {
						t.Errorf("status %d and %d bytes: %v", status, body, err)
					}
				})
			}
			wg.Wait()
			runtime.ReadMemStats(&after)
			g.Expect(server.sent.Load()).To(gomega.BeNumerically(">", 0))
			g.Expect((after.TotalAlloc - before.TotalAlloc) / callers).To(gomega.BeNumerically("<", maxPerCaller))
			g.Eventually(server.open.Load).WithTimeout(slack).Should(gomega.BeZero(), "open connections")
			g.Eventually(func() int64 { return bed.proxy.Stats().BufferedBytes }).Should(gomega.BeZero())
		})
	}
}

// read sends a repeatable request and returns the status of the answer and how much of its body
// came before it ended or broke off.
func (b *testbed) read(id string) (status int, bytes int64, err error) {
	req, err := http.NewRequest(http.MethodGet, b.front.URL+"/lookup", nil)
	if err != nil {
		return 0, 0, err
	}
	req.Header.Set(outcome.HeaderRequestID, id)
	transport := &http.Transport{DisableKeepAlives: true}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(req)
	if err != nil {
		return 0, 0, err
	}
	defer resp.Body.Close()
	bytes, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, bytes, err
}
