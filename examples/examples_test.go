package examples_test

import (
	"os"
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/fleet"
	"github.com/jacinthplank/jacinthplank/internal/golden"
	"github.com/jacinthplank/jacinthplank/plan"
	"github.com/jacinthplank/jacinthplank/questionnaire"
	"github.com/jacinthplank/jacinthplank/settings"
)

var expectedSizes = map[string]struct{ drafting, registry, domains, accounts int }{
	"cantabrica":   {15, 3, 3, 10},
	"kilimo-barua": {20, 3, 3, 10},
}

// TestGeneratedFilesAreUpToDate checks that the generated files match the current
// output of package plan and that there are no others beside them.
func TestGeneratedFilesAreUpToDate(t *testing.T) {
	for name := range expectedSizes {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			answers, err := questionnaire.Load(filepath.Join(name, "answers.toml"))
			g.Expect(err).NotTo(HaveOccurred())
			golden.ExpectFile(t, filepath.Join(name, "answers.toml"), answers.Text())

			files, err := plan.Files(answers)
			g.Expect(err).NotTo(HaveOccurred())
			expected := map[string]bool{}
			for _, f := range files {
				golden.ExpectFile(t, filepath.Join(name, "generated", f.Path), f.Text)
				expected[filepath.Join(name, "generated", f.Path)] = true
			}
			present, err := filepath.Glob(filepath.Join(name, "generated", "*", "*"))
			g.Expect(err).NotTo(HaveOccurred())
			for _, path := range present {
				g.Expect(expected).To(HaveKey(path))
			}
		})
	}
}

func TestGeneratedFilesAreAccepted(t *testing.T) {
	for name, size := range expectedSizes {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			c, err := fleet.Load(filepath.Join(name, "generated", plan.ConfigurationFile))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(c.FailureDomains).To(HaveLen(size.domains))
			g.Expect(c.Accounts).To(HaveLen(size.accounts))
			g.Expect(c.Models[0].Endpoints).To(Equal(size.drafting))

			registry, members := 0, 0
			paths, err := filepath.Glob(filepath.Join(name, "generated", plan.DaemonsFolder, "*.toml"))
			g.Expect(err).NotTo(HaveOccurred())
			for _, path := range paths {
				text, err := os.ReadFile(path)
				g.Expect(err).NotTo(HaveOccurred())
				d, err := settings.Parse(path, text)
				g.Expect(err).NotTo(HaveOccurred())
				if d.Endpoint.Service != "" {
					registry++
				}
				if d.Has(settings.DutyControl) {
					members++
				}
			}
			g.Expect(registry).To(Equal(size.registry))
			g.Expect(members).To(Equal(3))
		})
	}
}
