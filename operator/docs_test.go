package operator

import (
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/internal/source"
)

// command lines in the pages: those after a prompt, and those in backquotes.
var (
	promptLine = regexp.MustCompile(`(?m)^\s*\$ jacinthplank (.*)$`)
	quotedLine = regexp.MustCompile("`jacinthplank ([^`]+)`")
)

func pages(t *testing.T) map[string]string {
	t.Helper()
	g := NewWithT(t)
	paths, err := filepath.Glob(filepath.Join(source.Root(t), "docs", "operators", "*.md"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(len(paths)).To(BeNumerically(">=", 9))
	read := map[string]string{}
	for _, path := range paths {
		text, err := os.ReadFile(path)
		g.Expect(err).NotTo(HaveOccurred())
		read[filepath.Base(path)] = string(text)
	}
	return read
}

// Every command in the operators' pages is taken by the real parser. A command
// in running text may leave its arguments out.
func TestCommandsInThePagesParse(t *testing.T) {
	g := NewWithT(t)
	found := 0
	for page, text := range pages(t) {
		for _, match := range promptLine.FindAllStringSubmatch(text, -1) {
			_, _, err := parse(strings.Fields(match[1]))
			g.Expect(err).NotTo(HaveOccurred(), "%s: %s", page, match[0])
			found++
		}
		for _, match := range quotedLine.FindAllStringSubmatch(text, -1) {
			_, _, err := parse(strings.Fields(match[1]))
			if err != nil {
				g.Expect(err.Error()).To(ContainSubstring("is required"), "%s: %s", page, match[0])
			}
		}
	}
	g.Expect(found).To(BeNumerically(">", 20))
}

func TestLinksInThePagesLead(t *testing.T) {
	g := NewWithT(t)
	folder := filepath.Join(source.Root(t), "docs", "operators")
	for page, text := range pages(t) {
		for _, match := range regexp.MustCompile(`\]\(([^)]+\.md)\)`).FindAllStringSubmatch(text, -1) {
			_, err := os.Stat(filepath.Join(folder, match[1]))
			g.Expect(err).NotTo(HaveOccurred(), page)
		}
	}
}

func TestEveryCodeStandsInErrors(t *testing.T) {
	g := NewWithT(t)
	text := pages(t)["errors.md"]
	for _, code := range source.OutcomeCodes(t) {
		g.Expect(text).To(ContainSubstring("| `" + code + "` |"))
	}
}

func TestEveryMetricStandsInCounters(t *testing.T) {
	g := NewWithT(t)
	named := regexp.MustCompile("(?m)^\\| `(jacinthplank_[a-z0-9_]+)` \\|").FindAllStringSubmatch(pages(t)["counters.md"], -1)
	var inPage []string
	for _, match := range named {
		inPage = append(inPage, match[1])
	}
	inCode := source.Metrics(t)
	g.Expect(without(inCode, inPage)).To(BeEmpty(), "metrics that counters.md lacks")
	g.Expect(without(inPage, inCode)).To(BeEmpty(), "metrics that only counters.md has")
}

// without returns the names that are not among the others.
func without(names, others []string) []string {
	var left []string
	for _, name := range names {
		if !slices.Contains(others, name) {
			left = append(left, name)
		}
	}
	return left
}
