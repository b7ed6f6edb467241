// Package source reads the repository's own Go files, for tests that compare
// pages with code.
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

// Root returns the folder of the repository.
func Root(t testing.TB) string {
	t.Helper()
	folder, err := os.Getwd()
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	for {
		if _, err := os.Stat(filepath.Join(folder, "go.work")); err == nil {
			return folder
		}
		parent := filepath.Dir(folder)
		gomega.NewWithT(t).Expect(parent).NotTo(gomega.Equal(folder), "no go.work above the test")
		folder = parent
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

var metricName = regexp.MustCompile(`jacinthplank_[a-z0-9_]*[a-z0-9]`)

// Metrics returns the name of every metric in the Go files that are no tests
// and not generated.
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
		for _, name := range metricName.FindAllString(string(data), -1) {
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
