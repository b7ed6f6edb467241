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

// Command lines in the documentation: after a shell prompt, and in backquotes.
var (
	promptLine = regexp.MustCompile(`(?m)^\s*\$ jacinthplank (.*)$`)
	quotedLine = regexp.MustCompile("`jacinthplank ([^`]+)`")
)

func operatorPages(t *testing.T) map[string]string {
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

// Every command in the operator documentation parses. A command in running text may
// omit its arguments.
func TestDocumentedCommandsParse(t *testing.T) {
	g := NewWithT(t)
	found := 0
	for page, text := range operatorPages(t) {
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

func TestDocumentedLinksResolve(t *testing.T) {
	g := NewWithT(t)
	folder := filepath.Join(source.Root(t), "docs", "operators")
	for page, text := range operatorPages(t) {
		for _, match := range regexp.MustCompile(`\]\(([^)]+\.md)\)`).FindAllStringSubmatch(text, -1) {
			_, err := os.Stat(filepath.Join(folder, match[1]))
			g.Expect(err).NotTo(HaveOccurred(), page)
		}
	}
}

func TestEveryErrorCodeIsDocumented(t *testing.T) {
	g := NewWithT(t)
	text := operatorPages(t)["errors.md"]
	for _, code := range source.OutcomeCodes(t) {
		g.Expect(text).To(ContainSubstring("| `" + code + "` |"))
	}
}

func TestEveryMetricIsDocumented(t *testing.T) {
	g := NewWithT(t)
	named := regexp.MustCompile("(?m)^\\| `(jacinthplank_[a-z0-9_]+)` \\|").FindAllStringSubmatch(operatorPages(t)["counters.md"], -1)
	var inPage []string
	for _, match := range named {
		inPage = append(inPage, match[1])
	}
	inCode := source.Metrics(t)
	g.Expect(difference(inCode, inPage)).To(BeEmpty(), "metrics missing from counters.md")
	g.Expect(difference(inPage, inCode)).To(BeEmpty(), "metrics in counters.md that the code does not define")
}

// difference returns the names that are not in others.
func difference(names, others []string) []string {
	var missing []string
	for _, name := range names {
		if !slices.Contains(others, name) {
			missing = append(missing, name)
		}
	}
	return missing
}
