package loadbalancer_test

import (
	"context"
	"slices"
	"testing"

	"github.com/onsi/gomega"
	"pgregory.net/rapid"

	_ "github.com/pomelolock/pomelolock/internal/fixedseed"
	"github.com/pomelolock/pomelolock/loadbalancer"
	"github.com/pomelolock/pomelolock/table"
)

var serverNames = []string{"a", "b", "c", "d"}

func newTable(servers ...table.Server) *table.Current {
	current := table.NewCurrent()
	current.Swap(table.Compile(table.Document{
		Version: 1, Services: []table.Service{{Name: "s", Policy: table.PolicyRandom}}, Servers: servers,
	}))
	return current
}

// TestLocalPoliciesUseOnlyUsableServers generates the state of each server and
// checks that no policy chooses an unusable one.
func TestLocalPoliciesUseOnlyUsableServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var servers []table.Server
		var leaving, usable []string
		for _, name := range serverNames {
			server := table.Server{Service: "s", Name: name, State: table.ServerServing}
			server.Weight = rapid.IntRange(0, 2).Draw(t, "weight")
			if rapid.Bool().Draw(t, "draining") {
				server.State = table.ServerDraining
			}
			if rapid.Bool().Draw(t, "leaving") {
				leaving = append(leaving, name)
			}
			servers = append(servers, server)
			if server.Weight > 0 && server.State == table.ServerServing && !slices.Contains(leaving, name) {
				usable = append(usable, name)
			}
		}
		exclude := rapid.SliceOfDistinct(rapid.SampledFrom(serverNames), rapid.ID[string]).Draw(t, "exclude")
		usable = slices.DeleteFunc(usable, func(name string) bool { return slices.Contains(exclude, name) })
		excluded := func(s table.Server) bool { return slices.Contains(leaving, s.Name) }
		current := newTable(servers...)
		for _, balancer := range []loadbalancer.Balancer{
			loadbalancer.NewRandom(current, excluded), loadbalancer.NewBestOfTwo(current, excluded),
		} {
			permit, err := balancer.Acquire(context.Background(), loadbalancer.Request{Service: "s", Exclude: exclude})
			if len(usable) == 0 {
				gomega.NewWithT(t).Expect(err).To(gomega.Equal(&loadbalancer.NoServerError{Service: "s"}))
				continue
			}
			gomega.NewWithT(t).Expect(usable).To(gomega.ContainElement(permit.Server.Name))
		}
	})
}

func TestFailedServerIsAvoidedWhileOthersAreUsable(t *testing.T) {
	g := gomega.NewWithT(t)
	balancer := loadbalancer.NewRandom(newTable(
		table.Server{Service: "s", Name: "a", Weight: 1}, table.Server{Service: "s", Name: "b", Weight: 1},
	), nil)
	permit, err := balancer.Acquire(t.Context(), loadbalancer.Request{Service: "s"})
	g.Expect(err).NotTo(gomega.HaveOccurred())
	permit.Release(loadbalancer.Result{Class: loadbalancer.ClassUnreachable})
	for range 50 {
		next, err := balancer.Acquire(t.Context(), loadbalancer.Request{Service: "s"})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(next.Server.Name).NotTo(gomega.Equal(permit.Server.Name))
	}
}
