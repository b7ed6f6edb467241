// Package golden compares text with files in testdata. The flag -update rewrites
// the files before the comparison.
package golden

import (
	"flag"
	"os"
	"path/filepath"
	"testing"

	"github.com/onsi/gomega"
)

var update = flag.Bool("update", false, "write the golden files")

// Expect compares got with the file testdata/name of the package under test.
func Expect(t testing.TB, name, got string) {
	t.Helper()
	ExpectFile(t, filepath.Join("testdata", name), got)
}

// ExpectFile compares got with the file at path.
func ExpectFile(t testing.TB, path, got string) {
	t.Helper()
	g := gomega.NewWithT(t)
	if *update {
		g.Expect(os.MkdirAll(filepath.Dir(path), 0o755)).To(gomega.Succeed())
		g.Expect(os.WriteFile(path, []byte(got), 0o644)).To(gomega.Succeed())
	}
	want, err := os.ReadFile(path)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(got).To(gomega.Equal(string(want)), path)
}
