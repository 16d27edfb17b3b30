package forward_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/readings"
)

// maxAllocated bounds what is allocated for one request to a server that sends endless bytes.
const maxAllocated = 16 << 20

// allocated returns the number of bytes that are allocated while do runs.
func allocated(do func()) uint64 {
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	do()
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc
}

// endlessly returns a handler that writes begin, in which ID stands for the ID of the request, and
// then unit until the connection is closed.
func endlessly(begin, unit string) func(net.Conn, *http.Request) {
	return func(conn net.Conn, req *http.Request) {
		_, err := io.WriteString(conn, strings.ReplaceAll(begin, "ID", req.Header.Get("Request-Id")))
		for data := []byte(unit); err == nil; {
			_, err = conn.Write(data)
		}
	}
}

// TestEndlessBytesOfAServerAreBounded guards against a server that fills the memory or holds
// a caller past its time with bytes that never become an answer.
func TestEndlessBytesOfAServerAreBounded(t *testing.T) {
	line := strings.Repeat("x", 16<<10)
	for name, begin := range map[string]string{
		"before a status line":         "",
		"in a status line":             "HTTP/1.1 200 ",
		"in a header":                  "HTTP/1.1 200 OK\r\nOwn: ",
		"in many headers":              "HTTP/1.1 200 OK\r\n",
		"in interim answers":           "HTTP/1.1 100 Continue\r\n\r\n",
		"in a body that is not signed": "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n\r\n",
		"in a body of another request": "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nUpstream-Signature: sig\r\nTransfer-Encoding: chunked\r\n\r\n",
		"in a refusal":                 "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nRequest-Id: ID\r\n\r\n",
		"in a chunk size":              "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nUpstream-Signature: sig\r\nTransfer-Encoding: chunked\r\n\r\n",
		"in a trailer":                 "HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nUpstream-Signature: sig\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nOwn: ",
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			unit := line
			switch name {
			case "in many headers":
				unit = strings.Repeat("Own: 1\r\n", 1<<10)
			case "in interim answers":
				unit = begin
			case "in a body of another request":
				unit = "4000\r\n" + line + "\r\n"
			}
			f := newFixture(t, startServer(t, "s1", endlessly(begin, unit)))
			began := time.Now()
			g.Expect(allocated(func() {
				resp, _ := f.call(t, http.MethodGet, "/order/", "")
				g.Expect(resp.StatusCode).NotTo(gomega.Equal(http.StatusOK))
			})).To(gomega.BeNumerically("<", maxAllocated))
			g.Expect(time.Since(began)).To(gomega.BeNumerically("<", 2*time.Second))
		})
	}
}

// TestStreamsToSlowCallersKeepLittle guards against memory that many endless answers take while
// their callers read slowly: the buffered begin of an answer is not kept once it is written.
func TestStreamsToSlowCallersKeepLittle(t *testing.T) {
	const (
		callers = 100
		// The begin of an answer is 256 KiB, the buffer through which the rest goes 32 KiB.
		maxKept = 128 << 10
	)
	g := gomega.NewWithT(t)
	data := []byte(strings.Repeat("x", 64<<10))
	f := newFixture(t, startServer(t, "s1", func(conn net.Conn, req *http.Request) {
		_, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n%s\r\n\r\n", req.Header.Get("Request-Id"), signed)
		for err == nil {
			_, err = conn.Write(data)
		}
	}))
	f.connections = callers
	f.board.Observe(readings.Reading{
		Server: readings.KeyOf("s1"), Report: readings.Report{Slots: 10 * callers}, At: time.Now(), HasReport: true,
	})
	live := func() uint64 {
		var stats runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&stats)
		return stats.HeapAlloc
	}
	before := live()
	began := make([]byte, 16)
	for n := range callers {
		conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
		g.Expect(err).NotTo(gomega.HaveOccurred())
		defer conn.Close()
		_, err = io.WriteString(conn, "GET /long/ HTTP/1.1\r\nHost: h\r\nDeadline-Ms: 60000\r\nRequest-Id: slow"+strconv.Itoa(n)+"\r\n\r\n")
		g.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = io.ReadFull(conn, began)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(string(began)).To(gomega.HavePrefix("HTTP/1.1 200"))
	}
	g.Eventually(func() int64 { return (int64(live()) - int64(before)) / callers }).WithTimeout(5 * time.Second).
		Should(gomega.BeNumerically("<", maxKept))
	g.Expect(f.forwarder.Stats().InFlight).To(gomega.Equal(int64(callers)))
}
