package soak

import (
	"bufio"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"
)

var (
	uploadMemory   = flag.Int("upload-memory", memoryMB, "memory of the daemon of TestUploadBurst in MB")
	uploadBytes    = flag.Int("upload-bytes", 1_000_000, "size of its uploads, a multiple of 16")
	uploadCompared = flag.Bool("upload-compared", true, "play the small requests of TestUploadBurst without uploads before, and rest after it; compare memory and small requests")
)

const (
	// memoryMB is the memory that the settings of the daemons allow.
	memoryMB = 284
	// uploadOverload is the number of uploads of a burst relative to what the servers can take,
	// uploadTime the time that the burst lasts.
	uploadOverload = 2.333
	uploadTime     = 8 * time.Second
	// uploadServers is the number of servers, each of which works for uploadWork on an upload on
	// average and reads uploadServerBytes a second.
	uploadServers     = 3
	uploadWork        = 350 * time.Millisecond
	uploadServerBytes = 60e6
	// smallRate is the number of small requests a second.
	smallRate = 12
	// uploadDeadline is the time that their callers wait.
	uploadDeadline = 15 * time.Second
	// calmTime is the time after a burst by which memory is to be returned.
	calmTime = 10 * time.Second
	// The most memory of the settings that a burst may use, the most anonymous memory after
	// calmTime relative to that before, and how much less of the small requests may be served.
	maxMemoryShare = 0.85
	maxCalmShare   = 1.2
	maxSmallLoss   = 0.05
)

// uploadCapacity returns the number of uploads a second that the servers can take.
func uploadCapacity() float64 {
	return uploadServers * min(backendSlots/uploadWork.Seconds(), uploadServerBytes/float64(*uploadBytes))
}

// upload is a request of the burst, or a small one beside it.
type upload struct {
	id, path   string
	status     int
	retryAfter string
	took       time.Duration
	err        error
}

// send sends the upload on a connection of its own. The answer may come while it is sent.
func (u *upload) send(address string, body []byte) {
	began := time.Now()
	u.err = func() error {
		conn, err := net.DialTimeout("tcp", address, time.Second)
		if err != nil {
			return err
		}
		defer conn.Close()
		_ = conn.SetDeadline(began.Add(uploadDeadline + 500*time.Millisecond))
		head := fmt.Sprintf("POST %s%s HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
			u.path, u.id, u.id, uploadDeadline.Milliseconds(), len(body))
		_, writeErr := (&net.Buffers{[]byte(head), body}).WriteTo(conn)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		if err != nil {
			return errors.Join(err, writeErr)
		}
		defer resp.Body.Close()
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			return err
		}
		u.status, u.retryAfter = resp.StatusCode, resp.Header.Get("Retry-After")
		return nil
	}()
	u.took = time.Since(began)
}

// anonymousMB returns the anonymous memory of a process in MB.
func anonymousMB(pid int) (float64, error) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, err := strconv.ParseFloat(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 64)
			return kb / 1024, err
		}
	}
	return 0, fmt.Errorf("no RssAnon of process %d", pid)
}

// memoryNow returns the anonymous memory of the process of a daemon in MB.
func (s *soak) memoryNow(d *daemon) float64 {
	d.mu.Lock()
	pid := d.cmd.Process.Pid
	d.mu.Unlock()
	used, err := anonymousMB(pid)
	if err != nil {
		s.t.Error(err)
	}
	return used
}

// watchMemory returns the most anonymous memory that the process of a daemon has used until ctx
// ends, in MB.
func (s *soak) watchMemory(ctx context.Context, d *daemon) (most float64) {
	for ctx.Err() == nil {
		most = max(most, s.memoryNow(d))
		time.Sleep(10 * time.Millisecond)
	}
	return most
}

// acceptUploads writes a table with a service that takes uploads, and one for small requests.
func (s *soak) acceptUploads() {
	route := func(prefix, service string) map[string]any {
		return map[string]any{
			"name": "r" + prefix, "hostname": "h", "prefix": prefix, "kind": "non_idempotent", "timeout": "15000ms",
			"latency_target": "1500ms", "attempts": 2, "priority": 1, "service": service,
		}
	}
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "health_path": "/healthz", "max_conns": 260}
	}
	s.store.put("op", "config", map[string]any{
		"version":  fmt.Sprintf("r%d", s.table.Add(3)),
		"routes":   []any{route("/upload/", "main"), route("/small/", "small")},
		"services": []any{service("main"), service("small")},
		"limits":   map[string]any{"max_body_bytes": max(1<<20, *uploadBytes), "idle_timeout": "15000ms"},
	})
}

// sendSmall sends small requests at random times until ctx ends, and returns them once all have an
// answer.
func (s *soak) sendSmall(ctx context.Context, d *daemon, random *rand.Rand) (small []*upload) {
	var wg sync.WaitGroup
	for ctx.Err() == nil {
		u := &upload{path: "/small/", id: fmt.Sprintf("s%d", s.sequence.Add(1))}
		small = append(small, u)
		wg.Go(func() { u.send(d.caller, []byte("x")) })
		time.Sleep(time.Duration(random.ExpFloat64() / smallRate * float64(time.Second)))
	}
	wg.Wait()
	return small
}

// countStatuses returns the number of requests by status.
func countStatuses(uploads []*upload) map[int]int {
	statuses := make(map[int]int)
	for _, u := range uploads {
		statuses[u.status]++
	}
	return statuses
}

// TestUploadBurst guards against a process that exceeds the memory of its settings, and is
// killed, because of the bodies of the requests that wait: many more uploads arrive than the
// servers can take. Each upload gets an answer, a refused one has not run, and small requests
// are served during the burst. With -upload-compared it also guards against a process that keeps the
// memory of the burst afterwards.
func TestUploadBurst(t *testing.T) {
	s := newSoak(t, rand.New(rand.NewPCG(*first, 3)), "15000ms")
	s.memoryMB = *uploadMemory
	s.acceptUploads()
	s.work, s.readsBodies = func() time.Duration { return uploadWork - 50*time.Millisecond + rand.N(100*time.Millisecond) }, true
	for n := range uploadServers {
		s.addBackend(n)
		if *uploadBytes > 1<<20 {
			s.backends[n].pace.Store(&pace{bytesPerSecond: uploadServerBytes})
		}
	}
	side, err := startBackend("i-small", "small", "a", s.store, s.journal, nil, func() {})
	if err != nil {
		t.Fatal(err)
	}
	defer side.crash()
	s.startDaemons(buildDaemon(t), 1)
	d := s.daemons[0]
	time.Sleep(2 * time.Second)
	random := rand.New(rand.NewPCG(*first, 5))
	var before float64
	var alone []*upload
	if *uploadCompared {
		ctx, cancel := context.WithTimeout(t.Context(), uploadTime)
		alone = s.sendSmall(ctx, d, random)
		cancel()
		before = s.memoryNow(d)
	}
	ctx, cancel := context.WithCancel(t.Context())
	var most float64
	var watch sync.WaitGroup
	watch.Go(func() { most = s.watchMemory(ctx, d) })

	body := []byte(strings.Repeat("0123456789abcdef", *uploadBytes/16))
	var wg sync.WaitGroup
	var uploads, small []*upload
	sending, stopSending := context.WithTimeout(t.Context(), uploadTime)
	defer stopSending()
	wg.Go(func() { small = s.sendSmall(sending, d, random) })
	for at, began := time.Duration(0), time.Now(); at < uploadTime; {
		at += time.Duration(s.rng.ExpFloat64() / (uploadOverload * uploadCapacity()) * float64(time.Second))
		time.Sleep(time.Until(began.Add(at)))
		u := &upload{path: "/upload/", id: fmt.Sprintf("u%d", s.sequence.Add(1))}
		uploads = append(uploads, u)
		wg.Go(func() { u.send(d.caller, body) })
	}
	wg.Wait()
	cancel()
	watch.Wait()

	statuses, smallStatuses := countStatuses(append(uploads, small...)), countStatuses(small)
	cut, waiting, unnamed := 0, 0, 0
	for _, u := range append(uploads, small...) {
		runs := s.journal.count(u.id)
		switch {
		case u.status == 0 && u.took < uploadDeadline && runs > 0:
			cut++
		case u.status == 0 && u.took < uploadDeadline:
			waiting++
		case u.status == http.StatusServiceUnavailable && u.retryAfter == "":
			unnamed++
		}
		if u.status == 0 {
			t.Logf("no answer to %s after %v, which ran %d times: %v", u.id, u.took, runs, u.err)
		}
		if promisesNotRun(u.status) && runs > 0 {
			t.Errorf("%s got status %d but ran", u.id, u.status)
		}
	}
	t.Logf("%d uploads of %d bytes and %d small requests: %v, small ones %v; most memory %.0f MB of %d MB, %.2f of it; cut %d, no answer to %d others",
		len(uploads), *uploadBytes, len(small), statuses, smallStatuses, most, *uploadMemory, most/float64(*uploadMemory), cut, waiting)
	if ends := d.ends.Load(); ends > 0 {
		t.Errorf("the process ended %d times", ends)
	}
	if most >= float64(*uploadMemory) {
		t.Errorf("the process used %.0f MB of %d MB", most, *uploadMemory)
	}
	if cut > 0 || waiting > 0 {
		t.Errorf("%d requests that servers worked on and %d others ended without an answer", cut, waiting)
	}
	if unnamed > 0 {
		t.Errorf("%d refusals without Retry-After", unnamed)
	}
	// Three quarters of what the servers can take has to be used.
	if want := int(0.75 * uploadCapacity() * uploadTime.Seconds()); statuses[http.StatusOK] < want {
		t.Errorf("%d requests were served, want %d at least", statuses[http.StatusOK], want)
	}
	if served := smallStatuses[http.StatusOK]; served < len(small)*9/10 {
		t.Errorf("%d of %d small requests were served", served, len(small))
	}
	if *uploadCompared {
		s.compareUploads(d, most, before, alone, small)
	}
}

// compareUploads checks the memory during and after a burst, and the small requests during it, with
// those before.
func (s *soak) compareUploads(d *daemon, most, before float64, alone, small []*upload) {
	time.Sleep(calmTime)
	after := s.memoryNow(d)
	share := func(small []*upload) float64 {
		return float64(countStatuses(small)[http.StatusOK]) / float64(len(small))
	}
	s.t.Logf("anonymous memory before %.1f MB, most %.1f MB, after %v of calm %.1f MB, %.2f of that before; served of the small requests alone %.3f, with uploads %.3f",
		before, most, calmTime, after, after/before, share(alone), share(small))
	if most > maxMemoryShare*float64(*uploadMemory) {
		s.t.Errorf("the process used %.2f of its memory, more than %v", most/float64(*uploadMemory), maxMemoryShare)
	}
	if after > maxCalmShare*before {
		s.t.Errorf("after %v of calm, the process uses %.2f of the memory before, more than %v", calmTime, after/before, maxCalmShare)
	}
	if share(small) < share(alone)-maxSmallLoss {
		s.t.Errorf("%.3f of the small requests were served, without uploads %.3f", share(small), share(alone))
	}
}
