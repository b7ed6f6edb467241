package quorum_test

import (
	"bytes"
	"errors"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync/atomic"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/coord/wal"
)

var errNoPower = errors.New("no power")

// powerDisk is a disk that loses power. With a path it is a directory of the file system, and
// model decides what a loss of power leaves of it.
type powerDisk struct {
	model *wal.MemoryFolder
	path  string
}

func newPowerDisk(path string) *powerDisk {
	return &powerDisk{wal.NewMemoryFolder(), path}
}

func (d *powerDisk) open(g *WithT) wal.Folder {
	if d.path == "" {
		return d.model
	}
	folder, err := wal.OpenFolder(d.path)
	g.Expect(err).NotTo(HaveOccurred(), "the lock of an earlier start is held")
	return &mirroredFolder{folder, d.model}
}

// failAfter lets the disk fail each operation after the given number of them.
func (d *powerDisk) failAfter(operations int64) {
	var left atomic.Int64
	left.Store(operations)
	d.model.SetFault(func(string, string) error {
		n := left.Add(-1)
		if n < 0 {
			return errNoPower
		}
		if n%3 == 0 {
			time.Sleep(time.Duration(rand.IntN(500)) * time.Microsecond)
		}
		return nil
	})
}

// losePower keeps any part of each write, truncation and name that was not synced.
func (d *powerDisk) losePower(g *WithT, random *rand.Rand) {
	d.model.SetFault(nil)
	d.checkFiles(g)
	keep := func(size int) (from, to int) {
		switch random.IntN(4) {
		case 0:
			return 0, 0
		case 1:
			return 0, size
		}
		from = random.IntN(size + 1)
		return from, from + random.IntN(size-from+1)
	}
	isKept := func() bool { return random.IntN(2) == 1 }
	d.model.PowerLoss(keep, isKept, isKept)
	if d.path == "" {
		return
	}
	g.Expect(os.RemoveAll(d.path)).To(Succeed())
	g.Expect(os.Mkdir(d.path, 0o700)).To(Succeed())
	for name, data := range d.files(g) {
		g.Expect(os.WriteFile(filepath.Join(d.path, name), data, 0o600)).To(Succeed())
	}
}

func (d *powerDisk) files(g *WithT) map[string][]byte {
	names, err := d.model.List()
	g.Expect(err).NotTo(HaveOccurred())
	files := map[string][]byte{}
	for _, name := range names {
		files[name], err = d.model.ReadFile(name)
		g.Expect(err).NotTo(HaveOccurred())
	}
	return files
}

// checkFiles guards against a directory that differs from the model of it.
func (d *powerDisk) checkFiles(g *WithT) {
	if d.path == "" {
		return
	}
	files := d.files(g)
	entries, err := os.ReadDir(d.path)
	g.Expect(err).NotTo(HaveOccurred())
	for _, e := range entries {
		if e.Name() == "lock" {
			continue
		}
		data, err := os.ReadFile(filepath.Join(d.path, e.Name()))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(bytes.Equal(data, files[e.Name()])).To(BeTrue(), "content of %s", e.Name())
		delete(files, e.Name())
	}
	g.Expect(files).To(BeEmpty())
}

// mirroredFolder does each modification in its model first, which may fail it, and then in the
// directory, which is what is read.
type mirroredFolder struct {
	wal.Folder
	model *wal.MemoryFolder
}

func (f *mirroredFolder) Create(name string) (wal.File, error) {
	return mirror(name, f.model.Create, f.Folder.Create)
}

func (f *mirroredFolder) Append(name string) (wal.File, error) {
	return mirror(name, f.model.Append, f.Folder.Append)
}

func mirror(name string, open ...func(name string) (wal.File, error)) (wal.File, error) {
	model, err := open[0](name)
	if err != nil {
		return nil, err
	}
	file, err := open[1](name)
	return &mirroredFile{file, model}, err
}

func (f *mirroredFolder) Rewrite(name string) error {
	return inTurn(func() error { return f.model.Rewrite(name) }, func() error { return f.Folder.Rewrite(name) })
}

func (f *mirroredFolder) Rename(from, to string) error {
	return inTurn(func() error { return f.model.Rename(from, to) }, func() error { return f.Folder.Rename(from, to) })
}

func (f *mirroredFolder) Remove(name string) error {
	return inTurn(func() error { return f.model.Remove(name) }, func() error { return f.Folder.Remove(name) })
}

func (f *mirroredFolder) Sync() error { return inTurn(f.model.Sync, f.Folder.Sync) }

func inTurn(steps ...func() error) error {
	for _, step := range steps {
		if err := step(); err != nil {
			return err
		}
	}
	return nil
}

type mirroredFile struct {
	wal.File
	model wal.File
}

func (f *mirroredFile) Write(p []byte) (int, error) {
	if n, err := f.model.Write(p); err != nil {
		return n, err
	}
	return f.File.Write(p)
}

func (f *mirroredFile) Sync() error { return inTurn(f.model.Sync, f.File.Sync) }

func (f *mirroredFile) Truncate(size int64) error {
	return inTurn(func() error { return f.model.Truncate(size) }, func() error { return f.File.Truncate(size) })
}
