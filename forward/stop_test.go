package forward_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"github.com/pomelolock/pomelolock/readings"
)

// busy is a reading of a server without free slots that stays the newest.
func busy(server string) readings.Reading {
	return readings.Reading{
		Server: readings.KeyOf(server), HasReport: true, At: time.Now().Add(time.Hour),
		Report: readings.Report{Running: 6, Slots: 6, SlowdownPercent: 100},
	}
}

// TestStopRefusesWhatItCannotServe guards against requests that a stopping instance holds until
// it exits: those that wait are refused in time, those that arrive too late are refused at once,
// and none of them has reached a server.
func TestStopRefusesWhatItCannotServe(t *testing.T) {
	g := gomega.NewWithT(t)
	s := startServer(t, "s1", func(conn net.Conn, req *http.Request) {
		time.Sleep(50 * time.Millisecond)
		ok(conn, req)
	})
	f := newFixture(t, s)
	for range 3 {
		resp, _ := f.call(t, http.MethodPost, "/order/1", "")
		g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK))
	}
	before := s.arrivals()
	f.board.Receive(busy("s1"))
	const stopTime = 600 * time.Millisecond
	began := time.Now()
	type end struct {
		resp *http.Response
		body string
	}
	waiting := make(chan end, 1)
	go func() {
		resp, body := f.call(t, http.MethodPost, "/order/2", "")
		waiting <- end{resp, body}
	}()
	time.Sleep(50 * time.Millisecond)
	f.forwarder.Leave(began.Add(stopTime), began.Add(stopTime))
	got := <-waiting
	g.Expect(time.Since(began)).To(gomega.And(gomega.BeNumerically("<", stopTime), gomega.BeNumerically(">", stopTime/2)))
	g.Expect(got.resp.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(got.resp.Header.Get("Retry-After")).NotTo(gomega.BeEmpty())
	g.Expect(got.body).To(gomega.HavePrefix("stopping:"))

	sent := time.Now()
	resp, body := f.call(t, http.MethodPost, "/order/3", "")
	g.Expect(time.Since(sent)).To(gomega.BeNumerically("<", 100*time.Millisecond))
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(body).To(gomega.HavePrefix("stopping:"))
	g.Expect(s.arrivals()).To(gomega.Equal(before))
}

// TestStopWaitsForServersAtWork guards against requests that are given up, or refused as if
// they had not run, while a server works on them during a planned stop.
func TestStopWaitsForServersAtWork(t *testing.T) {
	g := gomega.NewWithT(t)
	release := make(chan struct{})
	s := startServer(t, "s1", func(conn net.Conn, req *http.Request) {
		<-release
		ok(conn, req)
	})
	f := newFixture(t, s)
	status := make(chan int, 2)
	for range 2 {
		go func() {
			resp, _ := f.call(t, http.MethodPost, "/order/1", "")
			status <- resp.StatusCode
		}()
	}
	g.Eventually(s.arrivals).Should(gomega.Equal(2))
	end := time.Now().Add(100 * time.Millisecond)
	f.forwarder.Leave(end, end)
	g.Consistently(status, "300ms").ShouldNot(gomega.Receive())
	release <- struct{}{}
	g.Eventually(status).Should(gomega.Receive(gomega.Equal(http.StatusOK)))
	f.forwarder.End()
	g.Eventually(status).Should(gomega.Receive(gomega.Equal(http.StatusBadGateway)), "promises nothing")
	close(release)
}

// TestDelegatedRequestLeavesAStoppingPeer guards against callers of an instance that reaches no
// server who are refused because a peer stops, and against requests that a stopping instance
// delegates although it can't wait for the answer.
func TestDelegatedRequestLeavesAStoppingPeer(t *testing.T) {
	g := gomega.NewWithT(t)
	s := startServer(t, "s1", ok)
	stopping, serving := newFixture(t, s), newFixture(t, s)
	stopping.forwarder.Leave(time.Now(), time.Now())
	f := cutOff(t, stopping.asPeer(t, "stopping"), serving.asPeer(t, "serving"))
	for range 10 {
		resp, _ := f.call(t, http.MethodPost, "/order/1", "x")
		g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusOK))
	}
	f.forwarder.Leave(time.Now(), time.Now())
	arrivals := s.arrivals()
	resp, body := f.call(t, http.MethodPost, "/order/2", "x")
	g.Expect(resp.StatusCode).To(gomega.Equal(http.StatusServiceUnavailable))
	g.Expect(body).To(gomega.HavePrefix("stopping:"))
	g.Expect(s.arrivals()).To(gomega.Equal(arrivals))
}
