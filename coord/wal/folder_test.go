package wal

import (
	"io/fs"
	"os"
	"path/filepath"
	"syscall"
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

// TestFailedSyncOfParentIsReported guards against a disk that is used although the name of its
// folder is not durable, now or at the next attempt.
func TestFailedSyncOfParentIsReported(t *testing.T) {
	g := NewWithT(t)
	root := t.TempDir()
	path := filepath.Join(root, "new", "data")
	attempts := 0
	failFor := func(parent string, err error) func(string) error {
		return func(p string) error {
			attempts++
			if p == parent {
				return &os.PathError{Op: "sync", Path: p, Err: err}
			}
			return nil
		}
	}
	for _, parent := range []string{root, filepath.Join(root, "new")} {
		g.Expect(createFolders(path, failFor(parent, syscall.EIO))).To(MatchError(syscall.EIO))
		g.Expect(filepath.Join(root, "new")).NotTo(BeAnExistingFile())
	}
	for _, err := range []error{fs.ErrPermission, syscall.EACCES, syscall.EINVAL, syscall.ENOTSUP} {
		attempts = 0
		g.Expect(createFolders(path, failFor(root, err))).To(Succeed(), "it can never be synced")
		g.Expect(attempts).To(Equal(2), "its other parent can")
		g.Expect(os.RemoveAll(filepath.Join(root, "new"))).To(Succeed())
	}
}
