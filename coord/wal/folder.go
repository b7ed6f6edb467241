package wal

import (
	"errors"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"syscall"

	"github.com/gravitational/trace"
)

// Folder abstracts the files of one directory.
type Folder interface {
	// List returns the names of the files.
	List() ([]string, error)
	// ReadFile returns the content of a file, or fs.ErrNotExist when it is
	// missing.
	ReadFile(name string) ([]byte, error)
	// Create creates an empty file, truncating an existing one.
	Create(name string) (File, error)
	// Append opens an existing file for appending.
	Append(name string) (File, error)
	// Rewrite writes the content of a file again in place and syncs it. Needs no room.
	Rewrite(name string) error
	// Rename renames a file, replacing any existing file named to.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(name string) error
	// Sync makes created, renamed and removed names durable.
	Sync() error
	// Close releases the folder.
	Close() error
}

// File is an open file.
type File interface {
	io.WriteCloser
	// Sync makes the written data durable.
	Sync() error
	// Truncate shortens the file to size bytes.
	Truncate(size int64) error
}

// Permissions of created directories and files, and the name of the lock file.
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

// OpenFolder opens a directory of the file system and creates it when it is
// missing. The directory is locked against other processes until Close.
func OpenFolder(path string) (Folder, error) {
	if err := createFolders(path, syncFolder); err != nil {
		return nil, err
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

// createFolders creates a directory and its missing parents and makes their names durable.
func createFolders(path string, syncFolder func(path string) error) error {
	var created []string // the deepest first
	for p := filepath.Clean(path); ; p = filepath.Dir(p) {
		if _, err := os.Stat(p); !errors.Is(err, fs.ErrNotExist) {
			break
		}
		created = append(created, p)
	}
	if err := os.MkdirAll(path, folderMode); err != nil {
		return trace.Wrap(err)
	}
	for _, p := range created {
		if err := syncFolder(filepath.Dir(p)); err != nil && !isUnsyncable(err) {
			// The next attempt must find them missing, or it would not sync their parents.
			return trace.NewAggregate(err, removeFolders(created))
		}
	}
	return nil
}

// isUnsyncable reports whether a folder can't be synced at all: it may not be read, or its file
// system doesn't sync folders. Their names are then as durable as that file system makes them,
// which is better than no disk.
func isUnsyncable(err error) bool {
	return errors.Is(err, fs.ErrPermission) || errors.Is(err, errors.ErrUnsupported) || errors.Is(err, syscall.EINVAL)
}

func removeFolders(paths []string) error {
	for _, p := range paths {
		if err := os.Remove(p); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func syncFolder(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return trace.Wrap(err)
	}
	defer func() { _ = f.Close() }()
	return trace.Wrap(f.Sync())
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
	return os.ReadFile(d.filePath(name))
}

// Create implements Folder.
func (d *directory) Create(name string) (File, error) {
	return os.OpenFile(d.filePath(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, fileMode)
}

// Append implements Folder.
func (d *directory) Append(name string) (File, error) {
	return os.OpenFile(d.filePath(name), os.O_WRONLY|os.O_APPEND, fileMode)
}

// Rewrite implements Folder.
func (d *directory) Rewrite(name string) error {
	f, err := os.OpenFile(d.filePath(name), os.O_RDWR, fileMode)
	if err != nil {
		return trace.Wrap(err)
	}
	err = rewrite(f)
	return trace.NewAggregate(err, f.Close())
}

// rewriteBytes is the size of the parts in which a file is written again.
const rewriteBytes = 1 << 20

func rewrite(f *os.File) error {
	part := make([]byte, rewriteBytes)
	for offset := int64(0); ; {
		n, err := f.ReadAt(part, offset)
		if err != nil && err != io.EOF {
			return trace.Wrap(err)
		}
		if n == 0 {
			return trace.Wrap(f.Sync())
		}
		if _, err := f.WriteAt(part[:n], offset); err != nil {
			return trace.Wrap(err)
		}
		offset += int64(n)
	}
}

// Rename implements Folder.
func (d *directory) Rename(from, to string) error {
	return os.Rename(d.filePath(from), d.filePath(to))
}

// Remove implements Folder.
func (d *directory) Remove(name string) error { return os.Remove(d.filePath(name)) }

// Sync implements Folder.
func (d *directory) Sync() error { return syncFolder(d.path) }

// Close implements Folder.
func (d *directory) Close() error { return d.lock.Close() }

func (d *directory) filePath(name string) string { return filepath.Join(d.path, name) }
