package table

import (
	"testing"

	"github.com/onsi/gomega"
)

// TestWeight guards against workspaces without a cap that get no share, and against weights in
// a table without workspaces, which would change the order of requests there.
func TestWeight(t *testing.T) {
	g := gomega.NewWithT(t)
	small, large, free := Workspace{Name: "small", RatePerSecond: 10}, Workspace{Name: "large", RatePerSecond: 30}, Workspace{Name: "free"}
	s := Compile(Document{Workspaces: []Workspace{small, large, free}})
	g.Expect(s.Weight(&small)).To(gomega.Equal(0.5))
	g.Expect(s.Weight(&large)).To(gomega.Equal(1.5))
	g.Expect(s.Weight(&free)).To(gomega.Equal(1.0))
	g.Expect(s.Weight(nil)).To(gomega.Equal(1.0))
	g.Expect(Compile(Document{Workspaces: []Workspace{free}}).Weight(&free)).To(gomega.Equal(1.0))
	g.Expect(Compile(Document{}).Weight(nil)).To(gomega.BeZero())
}
