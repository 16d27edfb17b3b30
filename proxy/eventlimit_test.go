package proxy

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

func TestEventsDoNotFloodTheLog(t *testing.T) {
	g := gomega.NewWithT(t)
	var l eventLimiter
	now := time.Unix(1000, 0)
	logged := 0
	for range 1000 {
		if ok, _ := l.allow("overload", now); ok {
			logged++
		}
	}
	g.Expect(logged).To(gomega.Equal(eventsPerSecond))
	ok, _ := l.allow("deadline", now)
	g.Expect(ok).To(gomega.BeTrue(), "a different event was suppressed")
	ok, suppressed := l.allow("overload", now.Add(time.Second))
	g.Expect(ok).To(gomega.BeTrue())
	g.Expect(suppressed).To(gomega.BeEquivalentTo(1000 - eventsPerSecond))
}
