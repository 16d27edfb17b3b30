package httpplatform_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/storage"
	"github.com/pomelolock/pomelolock/storage/httpplatform"
)

// readsOf returns the operations of a client that read from the store.
func readsOf(client *httpplatform.Client) map[string]func(ctx context.Context) error {
	return map[string]func(ctx context.Context) error{
		"names":     func(ctx context.Context) error { _, err := client.ListObjects(ctx, "a"); return err },
		"instances": func(ctx context.Context) error { _, err := client.ListInstances(ctx); return err },
		"records":   func(ctx context.Context) error { _, err := client.Scan(ctx, "a", "", 10); return err },
		"object":    func(ctx context.Context) error { _, err := client.GetObject(ctx, "a"); return err },
		"record":    func(ctx context.Context) error { _, err := client.Get(ctx, "a"); return err },
		"write":     func(ctx context.Context) error { return client.PutObject(ctx, "a", []byte("x")) },
	}
}

// allocated returns the bytes that a read from a store allocates, and its error. The store answers each
// request with what write writes.
func allocated(t *testing.T, read string, write func(conn net.Conn)) (uint64, error) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		if req, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.Copy(io.Discard, req.Body)
			write(conn)
		}
	}()
	client := newClientForURL(t, "http://"+listener.Addr().String())
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	err = readsOf(client)[read](t.Context())
	runtime.ReadMemStats(&after)
	return after.TotalAlloc - before.TotalAlloc, err
}

// TestEndlessAnswersAreBounded guards against a store that fills the memory with bytes that don't end.
func TestEndlessAnswersAreBounded(t *testing.T) {
	text := strings.Repeat("x", 16<<10)
	const head = "HTTP/1.1 200 OK\r\nRecord-Version: 1\r\n\r\n"
	// Buffers grow in steps, which together allocate some five times the bound of the body.
	bounds := map[string]uint64{"names": 64 << 20, "instances": 64 << 20, "records": 192 << 20, "object": 96 << 20, "record": 96 << 20, "write": 1 << 20}
	for form, c := range map[string]struct{ begin, unit string }{
		"before a status line": {"", text},
		"in a header":          {"HTTP/1.1 200 OK\r\nOwn: ", text},
		"in a body":            {head, text},
		"in an error":          {"HTTP/1.1 500 X\r\n\r\n", text},
	} {
		for read, bound := range bounds {
			if form != "in a body" {
				bound = 1 << 20
			}
			t.Run(read+" "+form, func(t *testing.T) {
				g := gomega.NewWithT(t)
				began := time.Now()
				got, err := allocated(t, read, func(conn net.Conn) {
					_, err := io.WriteString(conn, c.begin)
					for data := []byte(c.unit); err == nil; {
						_, err = conn.Write(data)
					}
				})
				t.Logf("%d KB allocated in %v: %.80v", got>>10, time.Since(began), err)
				g.Expect(err).To(gomega.HaveOccurred())
				g.Expect(got).To(gomega.BeNumerically("<", bound))
			})
		}
	}
}

// TestListsOfManyElementsAreBounded guards against a list whose elements take much more memory than the
// bytes that name them. One list is read at a time, in a process that may have 284 MB, of which 174 MB are
// not for requests.
func TestListsOfManyElementsAreBounded(t *testing.T) {
	for read, most := range map[string]int{"instances": 1 << 17, "names": 1 << 18, "records": 1 << 18} {
		for _, c := range []struct {
			elements int
			accepted bool
		}{{most, true}, {most + 1, false}, {1 << 20, false}} {
			t.Run(fmt.Sprint(read, " ", c.elements), func(t *testing.T) {
				g := gomega.NewWithT(t)
				body := `{"` + read + `":[` + strings.Repeat("null,", c.elements) + "null]}"
				got, err := allocated(t, read, func(conn net.Conn) {
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"+body)
				})
				t.Logf("%d KB allocated", got>>10)
				g.Expect(err == nil).To(gomega.Equal(c.accepted))
				g.Expect(got).To(gomega.BeNumerically("<", 174_000_000))
			})
		}
	}
}

// TestListsAreReadOneAtATime guards against several lists at once that together exceed the memory of the
// process.
func TestListsAreReadOneAtATime(t *testing.T) {
	g := gomega.NewWithT(t)
	var running, most atomic.Int64
	client := newClient(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		n := running.Add(1)
		defer running.Add(-1)
		for old := most.Load(); n > old && !most.CompareAndSwap(old, n); old = most.Load() {
		}
		time.Sleep(20 * time.Millisecond)
		_, _ = io.WriteString(w, "{}")
	}))
	var wg sync.WaitGroup
	for range 3 {
		for _, read := range []string{"names", "instances", "records"} {
			wg.Go(func() {
				if err := readsOf(client)[read](t.Context()); err != nil {
					t.Error(err)
				}
			})
		}
	}
	wg.Wait()
	g.Expect(most.Load()).To(gomega.Equal(int64(1)))
}

// TestListOfALargeFleetIsRead guards against a bound that refuses the list of the largest fleet that
// docs/CAPACITY.md names: 1,114 instances and 11,000 servers.
func TestListOfALargeFleetIsRead(t *testing.T) {
	g := gomega.NewWithT(t)
	rows := make([]storage.Instance, 1_114+11_000)
	for i := range rows {
		rows[i] = storage.Instance{
			ID: fmt.Sprintf("front-ostrava-a-%024d", i), Role: "entry", Region: "some-region-1", DataCentre: "some-data-centre-1",
			PeerAddress: "[2001:db8::1:2:3:4]:65535", OperatorAddress: "[2001:db8::1:2:3:4]:65535", Address: "[2001:db8::1:2:3:4]:65535", State: "leaving",
		}
	}
	client := newClient(t, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(httpplatform.InstanceRows{Instances: rows})
	}))
	got, err := client.ListInstances(t.Context())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(got).To(gomega.HaveLen(len(rows)))
}

// TestLongestValuesAreRead guards against bounds that refuse what the store may hold.
func TestLongestValuesAreRead(t *testing.T) {
	g := gomega.NewWithT(t)
	value := make([]byte, httpplatform.MaxValueBytes)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == httpplatform.PathScan {
			_ = json.NewEncoder(w).Encode(httpplatform.RecordList{Records: []httpplatform.RecordItem{{Key: "a", Value: value, Version: 1}}})
			return
		}
		w.Header().Set(httpplatform.HeaderVersion, "1")
		_, _ = w.Write(value)
	}))
	defer server.Close()
	client := newClientForURL(t, server.URL)
	data, err := client.GetObject(t.Context(), "a")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(data).To(gomega.HaveLen(len(value)))
	records, err := client.Scan(t.Context(), "a", "", 1)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(records[0].Value).To(gomega.HaveLen(len(value)))
}
