package wal

import (
	"path/filepath"
	"testing"

	. "github.com/onsi/gomega"
)

// TestNewFoldersAreSynced guards against a disk that is lost as a whole with the power: a new
// data folder whose name in its parent was never synced.
func TestNewFoldersAreSynced(t *testing.T) {
	g := NewWithT(t)
	root := t.TempDir()
	var synced []string
	record := func(path string) error {
		synced = append(synced, path)
		return nil
	}
	path := filepath.Join(root, "new", "data")
	g.Expect(createFolders(path, record)).To(Succeed())
	g.Expect(path).To(BeADirectory())
	g.Expect(synced).To(ConsistOf(root, filepath.Join(root, "new")))

	synced = nil
	g.Expect(createFolders(path, record)).To(Succeed())
	g.Expect(synced).To(BeEmpty(), "nothing was created")
}
