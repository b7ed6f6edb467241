// Package source reads the repository's own Go files, for tests that compare the
// documentation with the code.
package source

import (
	"go/ast"
	"go/parser"
	"go/token"
	"os"
	"path/filepath"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"testing"

	"github.com/onsi/gomega"
)

// Root returns the root directory of the repository.
func Root(t testing.TB) string {
	t.Helper()
	dir, err := os.Getwd()
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	for {
		if _, err := os.Stat(filepath.Join(dir, "go.work")); err == nil {
			return dir
		}
		parent := filepath.Dir(dir)
		gomega.NewWithT(t).Expect(parent).NotTo(gomega.Equal(dir), "no go.work in any parent directory of the test")
		dir = parent
	}
}

// OutcomeCodes returns every failure code that package outcome declares.
func OutcomeCodes(t testing.TB) []string {
	t.Helper()
	path := filepath.Join(Root(t), "outcome", "outcome.go")
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	var codes []string
	ast.Inspect(file, func(node ast.Node) bool {
		spec, ok := node.(*ast.ValueSpec)
		if !ok || spec.Type == nil || len(spec.Values) != 1 {
			return true
		}
		name, isName := spec.Type.(*ast.Ident)
		value, isText := spec.Values[0].(*ast.BasicLit)
		if isName && isText && name.Name == "Code" {
			code, _ := strconv.Unquote(value.Value)
			codes = append(codes, code)
		}
		return true
	})
	gomega.NewWithT(t).Expect(codes).NotTo(gomega.BeEmpty())
	return codes
}

var metricNamePattern = regexp.MustCompile(`jacinthplank_[a-z0-9_]*[a-z0-9]`)

// Metrics returns the sorted names of all metrics in the Go files, without tests
// and generated code.
func Metrics(t testing.TB) []string {
	t.Helper()
	seen := map[string]bool{}
	err := filepath.WalkDir(Root(t), func(path string, entry os.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if entry.IsDir() && (entry.Name() == "gen" || strings.HasPrefix(entry.Name(), ".")) {
			return filepath.SkipDir
		}
		if filepath.Ext(path) != ".go" || strings.HasSuffix(path, "_test.go") {
			return nil
		}
		data, err := os.ReadFile(path)
		for _, name := range metricNamePattern.FindAllString(string(data), -1) {
			seen[name] = true
		}
		return err
	})
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	names := make([]string, 0, len(seen))
	for name := range seen {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}
