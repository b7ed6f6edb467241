package wal

import (
	"io"
	"os"
	"path/filepath"
	"syscall"

	"github.com/gravitational/trace"
)

// Folder is the port to a disk: the files of one folder.
type Folder interface {
	// List returns the names of the files.
	List() ([]string, error)
	// ReadFile returns the whole content. The error of a missing file is
	// fs.ErrNotExist.
	ReadFile(name string) ([]byte, error)
	// Create makes an empty file, or empties the one that is there.
	Create(name string) (File, error)
	// Append opens a file to write at its end.
	Append(name string) (File, error)
	// Rename replaces to by from.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(name string) error
	// Sync makes created, renamed and removed names last.
	Sync() error
	// Close releases the folder.
	Close() error
}

// File is an open file.
type File interface {
	io.WriteCloser
	// Sync makes what was written last.
	Sync() error
	// Truncate cuts the file to size bytes.
	Truncate(size int64) error
}

// Permissions of what OpenFolder and its files make.
const (
	folderMode = 0o700
	fileMode   = 0o600
	lockName   = "lock"
)

// directory is a Folder on a file system.
type directory struct {
	path string
	lock *os.File
}

// OpenFolder opens a folder of the file system, which is made when it is
// missing. It is locked against other processes until Close.
func OpenFolder(path string) (Folder, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, trace.Wrap(err)
	}
	lock, err := os.OpenFile(filepath.Join(path, lockName), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if err := syscall.Flock(int(lock.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = lock.Close()
		return nil, trace.Wrap(err, "%s is in use by another process", path)
	}
	return &directory{path: path, lock: lock}, nil
}

// List implements Folder.
func (d *directory) List() ([]string, error) {
	entries, err := os.ReadDir(d.path)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var names []string
	for _, e := range entries {
		if e.Type().IsRegular() && e.Name() != lockName {
			names = append(names, e.Name())
		}
	}
	return names, nil
}

// ReadFile implements Folder.
func (d *directory) ReadFile(name string) ([]byte, error) {
	return os.ReadFile(d.file(name))
}

// Create implements Folder.
func (d *directory) Create(name string) (File, error) {
	return os.OpenFile(d.file(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, fileMode)
}

// Append implements Folder.
func (d *directory) Append(name string) (File, error) {
	return os.OpenFile(d.file(name), os.O_WRONLY|os.O_APPEND, fileMode)
}

// Rename implements Folder.
func (d *directory) Rename(from, to string) error {
	return os.Rename(d.file(from), d.file(to))
}

// Remove implements Folder.
func (d *directory) Remove(name string) error { return os.Remove(d.file(name)) }

// Sync implements Folder.
func (d *directory) Sync() error {
	f, err := os.Open(d.path)
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = f.Close() }()
	return trace.Wrap(f.Sync())
}

// Close implements Folder.
func (d *directory) Close() error { return d.lock.Close() }

func (d *directory) file(name string) string { return filepath.Join(d.path, name) }
