// Package powerloss records which changes of a folder are not synced, and takes them back as a
// loss of power would after the process has been killed. It is meant for builds for tests.
//
// The record and a hard link to each file are kept in a folder inside the recorded one, so that
// they survive SIGKILL and are wiped together with it.
package powerloss

import (
	"os"
	"slices"
	"sync"

	"github.com/jacinthplank/jacinthplank/coord/wal"
)

// folder is a wal.Folder that records what is not synced.
type folder struct {
	wal.Folder
	mu      sync.Mutex // held during each change, but not during syncs
	journal *journal
}

// OpenFolder opens a directory like wal.OpenFolder and records what is not synced.
func OpenFolder(path string) (wal.Folder, error) {
	opened, err := wal.OpenFolder(path)
	if err != nil {
		return nil, err
	}
	j, err := openJournal(path)
	if err == nil {
		err = j.reconcile()
	}
	if err != nil {
		_ = opened.Close() // nothing was written
		return nil, err
	}
	return &folder{Folder: opened, journal: j}, nil
}

// change records a change before it is made: a process that is killed in between leaves a change
// that a loss of power may or may not keep.
func (f *folder) change(record func(s *state), apply func() error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.journal.state.clone()
	record(&f.journal.state)
	err := f.journal.write()
	if err == nil {
		err = apply()
	}
	if err != nil {
		f.journal.state = before
		_ = f.journal.write() // the failure of the change is returned
	}
	return err
}

// Create implements wal.Folder.
func (f *folder) Create(name string) (wal.File, error) {
	var opened wal.File
	var id uint64
	err := f.change(func(s *state) { id = s.create(name) }, func() error {
		// A new file, as the content of the old one may come back.
		err := os.Remove(f.journal.realPath(name))
		if err != nil && !os.IsNotExist(err) {
			return err
		}
		if opened, err = f.Folder.Create(name); err != nil {
			return err
		}
		return f.journal.link(name, id)
	})
	if err != nil {
		return nil, err
	}
	return &file{File: opened, folder: f, id: id}, nil
}

// Append implements wal.Folder.
func (f *folder) Append(name string) (wal.File, error) {
	opened, err := f.Folder.Append(name)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	return &file{File: opened, folder: f, id: f.journal.state.Names[name]}, nil
}

// Rename implements wal.Folder.
func (f *folder) Rename(from, to string) error {
	return f.change(func(s *state) { s.rename(from, to) }, func() error { return f.Folder.Rename(from, to) })
}

// Remove implements wal.Folder.
func (f *folder) Remove(name string) error {
	return f.change(func(s *state) { s.remove(name) }, func() error { return f.Folder.Remove(name) })
}

// Sync implements wal.Folder.
func (f *folder) Sync() error {
	f.mu.Lock()
	synced, changes := f.journal.state.clone().Names, len(f.journal.state.Changes)
	f.mu.Unlock()
	if err := f.Folder.Sync(); err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.journal.state.Durable = synced
	f.journal.state.Changes = slices.Clone(f.journal.state.Changes[changes:])
	if err := f.journal.write(); err != nil {
		return err
	}
	return f.journal.removeUnused()
}

// Close implements wal.Folder.
func (f *folder) Close() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	_ = f.journal.file.Close() // it is complete after each write
	return f.Folder.Close()
}

// file is an open file of a folder.
type file struct {
	wal.File
	folder *folder
	id     uint64
}

// Write implements wal.File.
func (f *file) Write(p []byte) (n int, err error) {
	err = f.folder.change(func(s *state) {
		content := s.Files[f.id]
		content.Ends = append(content.Ends, content.size()+int64(len(p)))
	}, func() error {
		n, err = f.File.Write(p)
		return err
	})
	return n, err
}

// Truncate implements wal.File.
func (f *file) Truncate(size int64) error {
	j := f.folder.journal
	f.folder.mu.Lock()
	content := j.state.Files[f.id]
	saves := content.Truncated == nil && size < content.Synced
	synced := content.Synced
	f.folder.mu.Unlock()
	if saves {
		if err := j.saveSynced(f.id, synced); err != nil {
			return err
		}
	}
	return f.folder.change(func(s *state) { s.Files[f.id].truncate(size, saves) }, func() error { return f.File.Truncate(size) })
}

// Sync implements wal.File.
func (f *file) Sync() error {
	f.folder.mu.Lock()
	size := f.folder.journal.state.Files[f.id].size()
	f.folder.mu.Unlock()
	if err := f.File.Sync(); err != nil {
		return err
	}
	f.folder.mu.Lock()
	defer f.folder.mu.Unlock()
	f.folder.journal.state.syncFile(f.id, size)
	return f.folder.journal.write()
}
