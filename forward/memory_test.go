package forward_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/directory"
	"github.com/pomelolock/pomelolock/memory"
	"github.com/pomelolock/pomelolock/table"
)

// testMemory is the limit of the account of an instance in tests.
const testMemory = 24 << 20

// addSmall adds a service with a server of its own and the path /small/, and paths of the main
// service with priorities and enough time.
func (f *fixture) addSmall(main, small *server) {
	f.directory.Replace([]directory.Change{
		{Version: 1, Server: directory.Server{ID: main.id, Service: "main", Address: main.address, Slots: 6, DataCentre: "a"}},
		{Version: 2, Server: directory.Server{ID: small.id, Service: "small", Address: small.address, Slots: 6, DataCentre: "a"}},
	}, 2, time.Time{})
	service := func(name string) table.Service {
		var s table.Service
		s.SetDefaults()
		s.Name, s.ObjectiveLatencyMS, s.HealthPath, s.MaxBodyBytes = name, 10_000, "/health", 8<<20
		return s
	}
	f.current.Swap(table.Compile(table.Document{
		Version: 2, Services: []table.Service{service("main"), service("small")},
		Routes: []table.Route{
			{Host: "h", PathPrefix: "/small/", Service: "small", Attempts: 2, DeadlineMS: 10_000, Priority: 2},
			{Host: "h", PathPrefix: "/urgent/", Service: "main", Attempts: 2, DeadlineMS: 10_000},
			{Host: "h", PathPrefix: "/usual/", Service: "main", Attempts: 2, DeadlineMS: 10_000, Priority: 1},
			{Host: "h", PathPrefix: "/late/", Service: "main", Attempts: 2, DeadlineMS: 10_000, Priority: 1, TargetMS: 150},
		},
	}))
}

// answer is what a caller got.
type answer struct {
	Path       string
	Status     int
	RetryAfter string
}

// upload sends a body to the path in the background; the answer goes to answers. Its status is 0 if
// there is none.
func (f *fixture) upload(t *testing.T, wg *sync.WaitGroup, path, body string, answers chan<- answer) {
	wg.Go(func() {
		a := answer{Path: path}
		defer func() { answers <- a }()
		req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.url+path, strings.NewReader(body))
		if err != nil {
			t.Error(err)
			return
		}
		req.Host = "h"
		req.Header.Set("Request-Id", fmt.Sprint("u", sequence.Add(1)))
		req.Header.Set("Deadline-Ms", "10000")
		resp, err := http.DefaultTransport.RoundTrip(req)
		if err != nil {
			t.Error(err)
			return
		}
		resp.Body.Close()
		a.Status, a.RetryAfter = resp.StatusCode, resp.Header.Get("Retry-After")
	})
}

// heapInUse returns the bytes of the heap that are reachable.
func heapInUse() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// TestWaitingUploadsStayWithinTheMemory guards against a process that is killed in a burst of
// uploads because those that wait hold more than its memory. Those for which there is no room are
// refused at once and have not run; small requests and the other uploads are served.
func TestWaitingUploadsStayWithinTheMemory(t *testing.T) {
	const count, size = 70, 900_000
	g := gomega.NewWithT(t)
	main, small := startServer(t, "main", ok), startServer(t, "small", ok)
	f := newStartingFixture(t, main)
	f.addSmall(main, small)
	close(f.viewReady)
	body := strings.Repeat("x", size)
	before := heapInUse()
	answers := make(chan answer, count)
	var wg sync.WaitGroup
	for range count {
		f.upload(t, &wg, "/usual/1", body, answers)
	}
	held := func() int64 { return f.memory.Used(memory.Uploads) }
	g.Eventually(func() int { return len(answers) + int(held()/size) }, "3s").Should(gomega.BeNumerically(">=", count-1))
	g.Expect(f.memory.Peak()).To(gomega.BeNumerically("<=", testMemory))
	// The callers and their connections are in this process, too.
	g.Expect(heapInUse() - before).To(gomega.BeNumerically("<", testMemory+count*(128<<10)))
	refused := len(answers)
	g.Expect(refused).To(gomega.BeNumerically(">", 0))
	for range refused {
		a := <-answers
		g.Expect(a.Status).To(gomega.Equal(http.StatusServiceUnavailable))
		g.Expect(a.RetryAfter).NotTo(gomega.BeEmpty())
	}
	smallAnswers := make(chan answer, 20)
	for range cap(smallAnswers) {
		f.upload(t, &wg, "/small/1", "x", smallAnswers)
	}
	g.Eventually(f.forwarder.Stats, "3s").Should(gomega.HaveField("InFlight", int64(count-refused+cap(smallAnswers))))
	g.Expect(answers).To(gomega.BeEmpty(), "small requests take no memory of uploads that fit")
	close(f.loadsReady)
	wg.Wait()
	for range cap(smallAnswers) {
		g.Expect(<-smallAnswers).To(gomega.HaveField("Status", http.StatusOK))
	}
	for range count - refused {
		a := <-answers
		g.Expect(a.Status).To(gomega.Equal(http.StatusOK))
	}
	g.Expect(main.arrivals()).To(gomega.Equal(count-refused), "what was refused has not run")
	g.Expect(f.logs.String()).To(gomega.ContainSubstring("refused for memory"))
}

// TestMemoryFollowsTheRank guards against urgent uploads that are refused for lack of memory while
// less urgent ones, or those that are late, wait with theirs.
func TestMemoryFollowsTheRank(t *testing.T) {
	const size = 900_000
	g := gomega.NewWithT(t)
	main, small := startServer(t, "main", ok), startServer(t, "small", ok)
	f := newStartingFixture(t, main)
	f.addSmall(main, small)
	close(f.viewReady)
	body := strings.Repeat("x", size)
	answers := make(chan answer, 200)
	var wg sync.WaitGroup
	room := testMemory * 3 / 4 / (size + 48<<10)
	for range room {
		f.upload(t, &wg, "/late/1", body, answers)
	}
	g.Eventually(func() int64 { return f.memory.Used(memory.Uploads) }, "3s").Should(gomega.BeNumerically(">=", room*size))
	time.Sleep(200 * time.Millisecond)
	for range room {
		f.upload(t, &wg, "/usual/1", body, answers)
	}
	// The room that is left over is less than an upload with its last chunk.
	for range room - 2 {
		g.Eventually(answers, "3s").Should(gomega.Receive(gomega.And(
			gomega.HaveField("Path", "/late/1"), gomega.HaveField("Status", http.StatusServiceUnavailable), gomega.HaveField("RetryAfter", gomega.Not(gomega.BeEmpty())))))
	}
	for range 3 {
		f.upload(t, &wg, "/urgent/1", body, answers)
	}
	g.Eventually(func() int { return main.arrivals() + int(f.memory.Used(memory.Uploads)/size) }, "3s").Should(gomega.BeNumerically(">=", room))
	close(f.loadsReady)
	wg.Wait()
	close(answers)
	refused, served := room-2, 0
	for a := range answers {
		if a.Path == "/urgent/1" {
			g.Expect(a.Status).To(gomega.Equal(http.StatusOK))
		}
		if a.Status == http.StatusOK {
			served++
		} else {
			refused++
		}
	}
	g.Expect(served + refused).To(gomega.Equal(2*room + 3))
	g.Expect(served).To(gomega.BeNumerically(">=", room-1))
	g.Expect(main.arrivals()).To(gomega.Equal(served), "what was refused has not run")
}

// TestTricklingUploadGivesWay guards against an upload that hardly arrives and holds memory that
// others need until its deadline.
func TestTricklingUploadGivesWay(t *testing.T) {
	g := gomega.NewWithT(t)
	main, small := startServer(t, "main", ok), startServer(t, "small", ok)
	f := newFixture(t, main)
	f.addSmall(main, small)
	conn, err := net.Dial("tcp", strings.TrimPrefix(f.url, "http://"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer conn.Close()
	_, err = fmt.Fprintf(conn, "POST /late/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: slow\r\nDeadline-Ms: 10000\r\nContent-Length: 900000\r\n\r\n%s",
		strings.Repeat("x", 100_000))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Eventually(func() int64 { return f.memory.Used(memory.Uploads) }).Should(gomega.Equal(int64(128 << 10)))
	time.Sleep(200 * time.Millisecond)
	// Little room is left for uploads.
	taken := int64(testMemory*3/4 - 600_000)
	f.memory.Add(memory.Requests, taken)
	resp, _ := f.call(t, http.MethodPost, "/usual/1", strings.Repeat("x", 500_000))
	f.memory.Add(memory.Requests, -taken)
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK))
	_ = conn.SetReadDeadline(time.Now().Add(time.Second))
	slow, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	defer slow.Body.Close()
	g.Expect(slow.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(slow.Header.Get("Retry-After")).NotTo(gomega.BeEmpty())
	g.Expect(main.arrivals()).To(gomega.Equal(1))
}

// TestResponseWithoutMemoryIsDelivered guards against an answer of a server that is dropped
// because there is no memory to buffer it.
func TestResponseWithoutMemoryIsDelivered(t *testing.T) {
	g := gomega.NewWithT(t)
	whole := strings.Repeat("0123456789", 20_000)
	s := startServer(t, "s1", func(conn net.Conn, req *http.Request) {
		if req.Method == http.MethodGet {
			respond(conn, req, http.StatusOK, whole, signed)
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 X\r\nRequest-Id: %s\r\n%s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
			req.Header.Get("Request-Id"), signed, len(whole), whole)
	})
	f := newFixture(t, s)
	for _, left := range []int64{0, testMemory - 100<<10} {
		f.memory.Add(memory.Requests, left)
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			resp, body := f.call(t, method, "/order/1", "x")
			g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK))
			g.Expect(body == whole).To(gomega.BeTrue())
		}
		f.memory.Add(memory.Requests, -left)
	}
	g.Expect(f.memory.Rejected(memory.BufferedResponse)).To(gomega.Equal(uint64(2)))
}

// TestBodyOfUnknownLengthArrivesWhole guards against bodies that are cut where a chunk ends.
func TestBodyOfUnknownLengthArrivesWhole(t *testing.T) {
	g := gomega.NewWithT(t)
	s := startServer(t, "s1", ok)
	f := newFixture(t, s)
	for n, size := range []int{1, 4 << 10, 16<<10 + 1, 64 << 10, 128<<10 + 7, 1 << 20, 3<<20 + 1} {
		body := strings.Repeat("abcdefg", size/7+1)[:size]
		for _, known := range []bool{true, false} {
			req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, f.url+"/order/1", io.MultiReader(strings.NewReader(body)))
			g.Expect(err).NotTo(gomega.HaveOccurred())
			req.Host = "h"
			req.Header.Set("Request-Id", fmt.Sprint("body", n, known))
			if known {
				req.ContentLength = int64(size)
			}
			resp, err := http.DefaultTransport.RoundTrip(req)
			g.Expect(err).NotTo(gomega.HaveOccurred())
			resp.Body.Close()
			g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK))
			s.mu.Lock()
			g.Expect(s.bodies[len(s.bodies)-1] == body).To(gomega.BeTrue(), "size %d, known %t", size, known)
			s.mu.Unlock()
		}
	}
}
