package forward_test

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/readings"
)

// TestFleetKeepsTheRateOfAColdServer guards against instances that each take the rate of a
// server that has just returned for their own, or prefer the server because it looks idle.
func TestFleetKeepsTheRateOfAColdServer(t *testing.T) {
	const (
		instances = 18
		bound     = 15
		cold      = 4 * time.Second
	)
	var mu sync.Mutex
	var arrivals []time.Time
	returned := startServer(t, "returned", func(conn net.Conn, req *http.Request) {
		mu.Lock()
		arrivals = append(arrivals, time.Now())
		mu.Unlock()
		respond(conn, req, http.StatusOK, "whole", signed)
	})
	var wg sync.WaitGroup
	began := time.Now()
	for range instances {
		f := newWarmingMember(t, instances, returned)
		f.board.AssumeCold([]string{"returned"}, began)
		f.board.ReceiveCold(readings.ColdHint{Server: "returned", Until: began.Add(cold), At: began.Add(time.Nanosecond)})
		close(f.viewReady)
		close(f.loadsReady)
		wg.Go(func() {
			for time.Since(began) < cold+time.Second {
				f.call(t, http.MethodGet, "/look/", "")
				time.Sleep(60 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	var during []time.Time
	for _, at := range arrivals {
		if at.Sub(began) < cold {
			during = append(during, at)
		}
	}
	g := gomega.NewWithT(t)
	g.Expect(during).NotTo(gomega.BeEmpty())
	g.Expect(maxArrivals(during, time.Second)).To(gomega.BeNumerically("<=", bound))
	g.Expect(len(arrivals)-len(during)).To(gomega.BeNumerically(">", bound), "once it is warm")
}

// TestServerThatDoesNotAnswerIsCold guards against a crashed server that gets its usual load
// as soon as it listens again.
func TestServerThatDoesNotAnswerIsCold(t *testing.T) {
	g := gomega.NewWithT(t)
	crashed := startServer(t, "crashed", reset)
	f := newWarmingMember(t, 1, crashed)
	close(f.viewReady)
	close(f.loadsReady)
	f.call(t, http.MethodGet, "/look/", "")
	g.Expect(f.board.Load("crashed", time.Now()).Cold).To(gomega.BeTrue())
}
