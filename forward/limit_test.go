package forward_test

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// maxArrivals returns the largest number of arrivals in any span.
func maxArrivals(at []time.Time, span time.Duration) int {
	most, from := 0, 0
	for i := range at {
		for at[i].Sub(at[from]) > span {
			from++
		}
		most = max(most, i-from+1)
	}
	return most
}

// TestFleetDoesNotExceedTheLimitThatAServerNames guards against instances that each take a
// server's limit for no limit, or for one of their own.
func TestFleetDoesNotExceedTheLimitThatAServerNames(t *testing.T) {
	const (
		instances = 18
		limit     = 3.0
		span      = 4 * time.Second
	)
	var mu sync.Mutex
	var arrivals []time.Time
	limited := startServer(t, "limited", func(conn net.Conn, req *http.Request) {
		mu.Lock()
		arrivals = append(arrivals, time.Now())
		mu.Unlock()
		respond(conn, req, http.StatusOK, "whole", signed, "Server-Limit: 3.0")
	})
	other := startServer(t, "other", ok)
	var wg sync.WaitGroup
	began := time.Now()
	for range instances {
		f := newMember(t, instances, limited, other)
		close(f.viewReady)
		close(f.loadsReady)
		wg.Go(func() {
			for time.Since(began) < 7*time.Second {
				f.call(t, http.MethodGet, "/look/", "")
				time.Sleep(60 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	var told []time.Time
	for _, at := range arrivals {
		if at.Sub(began) > 2*time.Second {
			told = append(told, at)
		}
	}
	gomega.NewWithT(t).Expect(maxArrivals(told, span)).To(gomega.BeNumerically("<=", int(1.5*limit*span.Seconds()+5)))
}
