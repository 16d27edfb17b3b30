package forward_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/memory"
)

// Uploads whose announced length exceeds the limit for bodies must not hold memory that is not
// accounted for: a burst of them would end the process.
func TestUploadsThatAreTooLongHoldNoMemoryUnaccounted(t *testing.T) {
	const count = 60
	g := gomega.NewWithT(t)
	main, small := startServer(t, "main", ok), startServer(t, "small", ok)
	f := newStartingFixture(t, main)
	f.addSmall(main, small)
	close(f.viewReady)
	address := strings.TrimPrefix(f.url, "http://")
	before := heapInUse()
	body := strings.Repeat("x", 1<<20+4096)
	for n := range count {
		conn, err := net.Dial("tcp", address)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		t.Cleanup(func() { conn.Close() })
		go func() {
			_, _ = fmt.Fprintf(conn, "POST /usual/1 HTTP/1.1\r\nHost: h\r\nRequest-Id: long%d\r\nDeadline-Ms: 10000\r\nContent-Length: %d\r\n\r\n", n, 9<<20)
			_, _ = io.WriteString(conn, body)
		}()
	}
	time.Sleep(time.Second)
	held := heapInUse() - before
	t.Logf("in flight %d, uploads charged %d, heap %d", f.forwarder.Stats().InFlight, f.memory.Used(memory.Uploads), held)
	close(f.loadsReady)
	time.Sleep(300 * time.Millisecond)
	t.Logf("passed on to the server: %d", main.arrivals())
	g.Expect(held).To(gomega.BeNumerically("<", testMemory+count*(128<<10)))
}
