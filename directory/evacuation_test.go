package directory

import (
	"testing"
	"time"

	"github.com/onsi/gomega"
)

// TestEvacuatedServersAreNotListed guards against a server of an evacuated data centre in any
// of the lists that requests and status checks are sent by, also if it registers later, and
// against a data centre in use again before OnReturned was called.
func TestEvacuatedServersAreNotListed(t *testing.T) {
	g := gomega.NewWithT(t)
	in := func(id, dataCentre string, version uint64) Change {
		c := change(id, version)
		c.DataCentre = dataCentre
		return c
	}
	d := New()
	d.Apply([]Change{in("a", "x", 1), in("b", "y", 2)}, 0, 2, time.Time{})
	g.Expect(d.EvacuationsKnown()).To(gomega.BeFalse())
	evacuated, returned := d.SetEvacuated(7, []string{"y"})
	g.Expect(evacuated).To(gomega.Equal([]string{"y"}))
	g.Expect(returned).To(gomega.BeEmpty())
	d.Apply([]Change{in("c", "y", 3), in("d", "x", 4)}, 2, 4, time.Time{})
	g.Expect(ids(d.Servers("orders"))).To(gomega.Equal([]string{"a", "d"}))
	g.Expect(ids(d.All())).To(gomega.ConsistOf("a", "d"))
	g.Expect(d.InDataCentres()).To(gomega.HaveLen(1))
	g.Expect(d.Evacuated("y")).To(gomega.BeTrue())
	g.Expect(ids(d.EvacuatedServers()["y"])).To(gomega.ConsistOf("b", "c"))

	var called []string
	d.OnReturned = func(dataCentre string, servers []Server) {
		called = append(called, dataCentre)
		g.Expect(ids(servers)).To(gomega.ConsistOf("b", "c"))
		g.Expect(ids(d.Servers("orders"))).To(gomega.Equal([]string{"a", "d"}))
	}
	d.SetEvacuated(7, nil)
	d.SetEvacuated(6, nil)
	g.Expect(d.Evacuated("y")).To(gomega.BeTrue(), "the set is not newer")
	_, returned = d.SetEvacuated(MakeVersion(1, 2), nil)
	g.Expect(returned).To(gomega.Equal([]string{"y"}))
	g.Expect(called).To(gomega.Equal([]string{"y"}))
	g.Expect(ids(d.Servers("orders"))).To(gomega.Equal([]string{"a", "b", "c", "d"}))
	d.SetEvacuated(MakeVersion(0, 99), []string{"y"})
	g.Expect(d.Evacuated("y")).To(gomega.BeFalse(), "the set is of an earlier era")
}
