package entry

import (
	"math"
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestDelayIsTheSmallestMeasuredOne guards against work on servers that counts as delay, and
// against a delay that stays after its link has changed.
func TestDelayIsTheSmallestMeasuredOne(t *testing.T) {
	g := gomega.NewWithT(t)
	var d delays
	now := time.Now()
	g.Expect(d.beyond("a", "b")).To(gomega.Equal(assumedDelay))
	for _, took := range []time.Duration{9, 3, 40} {
		d.observe("a", time.Millisecond, now)
		d.observe("b", took*time.Millisecond, now)
	}
	g.Expect(d.beyond("a", "b")).To(gomega.Equal(time.Millisecond))
	for range 2 {
		now = now.Add(delayWindow + 1)
		d.observe("a", time.Millisecond, now)
		d.observe("b", 9*time.Millisecond, now)
	}
	g.Expect(d.beyond("a", "b")).To(gomega.Equal(4 * time.Millisecond))
}

// TestRemoteBytePriceIsChecked guards against a price that makes every penalty infinite or not a
// number.
func TestRemoteBytePriceIsChecked(t *testing.T) {
	g := gomega.NewWithT(t)
	for price, ok := range map[float64]bool{0: true, 2.5: true, -1: false, math.Inf(1): false, math.NaN(): false} {
		set := &Settings{ID: "x", DataCentre: "a", Caller: "10.0.0.1:1", Ready: "10.0.0.1:2", Peer: "10.0.0.1:3", Store: "10.0.0.1:4", RemoteBytePrice: price}
		g.Expect(set.Check() == nil).To(gomega.Equal(ok), "%v", price)
	}
}
