package prove

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"
)

// TestRowsMatchTreeAndPage guards against rows that no longer match the tests,
// the source lines that they quote or docs/PROOFS.md.
func TestRowsMatchTreeAndPage(t *testing.T) {
	g := gomega.NewWithT(t)
	rows, err := Rows()
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(Check("../..", rows)).To(gomega.BeEmpty())
}

func TestCheckFindsFaults(t *testing.T) {
	g := gomega.NewWithT(t)
	root := t.TempDir()
	write := func(name, content string) {
		path := filepath.Join(root, name)
		g.Expect(os.MkdirAll(filepath.Dir(path), 0o750)).To(gomega.Succeed())
		g.Expect(os.WriteFile(path, []byte(content), 0o600)).To(gomega.Succeed())
	}
	write("p/a.go", "package p\nvar x, y = 1, 1\n")
	write("p/a_test.go", "package p\nfunc TestA(t *testing.T) {}\n")
	write("docs/PROOFS.md", "| `a` | m | `p` | `TestA` |\n| `gone` | m | `p` | `TestA` |\n")
	once := SwitchOff{Name: "x", Edits: []Edit{{File: "p/a.go", Old: "x, y", New: "x, z"}}}
	row := Row{ID: "a", Package: "p", Test: "TestA", Off: []SwitchOff{once}}
	g.Expect(Check(root, []Row{row})).To(gomega.HaveLen(1), "the row that is only in the page")

	twice := SwitchOff{Name: "y", Edits: []Edit{{File: "p/a.go", Old: "1", New: "2"}}}
	missing := Row{ID: "b", Package: "p", Test: "TestB", Off: []SwitchOff{twice}}
	g.Expect(Check(root, []Row{row, missing})).To(gomega.HaveLen(4), "no test, text twice, not in the page")
}

func TestRunPatternMatchesOnlyItsRows(t *testing.T) {
	g := gomega.NewWithT(t)
	rows := []Row{{Test: "TestScenarios/lost"}, {Test: "TestProofScenarios/once"}, {Test: "TestScenarios/killed"}}
	g.Expect(runPattern(rows)).To(gomega.Equal("^(TestProofScenarios|TestScenarios)$/^(killed|lost|once)$"))
	g.Expect(runPattern([]Row{{Test: "TestA"}})).To(gomega.Equal("^(TestA)$"))
	g.Expect(testPassed("testing: warning: no tests to run\nPASS\n", "TestA")).To(gomega.BeFalse())
	g.Expect(testPassed("--- PASS: TestAB (0.00s)\nPASS\n", "TestA")).To(gomega.BeFalse())
	g.Expect(testPassed("    --- PASS: TestA/b (0.00s)\nPASS\n", "TestA/b")).To(gomega.BeTrue())
	g.Expect(testFailed("FAIL\tp [build failed]\n", "TestA")).To(gomega.BeFalse())
}
