package wal

import (
	"errors"
	"io/fs"
	"maps"
	"slices"
	"sync"
)

// MemoryFolder is a Folder in memory that behaves like a disk across crashes:
// what was not synced may be lost, in part too. It serves tests and members
// that need not survive a restart.
type MemoryFolder struct {
	mu      sync.Mutex
	names   map[string]*memoryFile
	durable map[string]*memoryFile
	inject  func(operation, name string) error
}

type memoryFile struct {
	data   []byte
	synced int // bytes that last
}

// NewMemoryFolder returns an empty folder.
func NewMemoryFolder() *MemoryFolder {
	return &MemoryFolder{names: map[string]*memoryFile{}, durable: map[string]*memoryFile{}}
}

// Crash loses what was not synced, but for the first bytes of each file that
// keep allows: it gets the number of bytes at risk and returns how many stay.
// Open files of before the crash must not be used any more.
func (m *MemoryFolder) Crash(keep func(atRisk int) int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.names = map[string]*memoryFile{}
	for _, name := range slices.Sorted(maps.Keys(m.durable)) {
		old := m.durable[name]
		size := old.synced + keep(len(old.data)-old.synced)
		m.names[name] = &memoryFile{data: slices.Clone(old.data[:size]), synced: size}
	}
	m.durable = maps.Clone(m.names)
}

// Corrupt changes one byte of a file.
func (m *MemoryFolder) Corrupt(name string, offset int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.names[name].data[offset] ^= 0xff
}

// List implements Folder.
func (m *MemoryFolder) List() ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.names)), nil
}

// ReadFile implements Folder.
func (m *MemoryFolder) ReadFile(name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f, ok := m.names[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(f.data), nil
}

// Create implements Folder.
func (m *MemoryFolder) Create(name string) (File, error) {
	if err := m.fault("create", name); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	f := &memoryFile{}
	m.names[name] = f
	return &memoryHandle{folder: m, file: f, name: name}, nil
}

// Append implements Folder.
func (m *MemoryFolder) Append(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f, ok := m.names[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return &memoryHandle{folder: m, file: f, name: name}, nil
}

// Rename implements Folder.
func (m *MemoryFolder) Rename(from, to string) error {
	if err := m.fault("rename", from); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	f, ok := m.names[from]
	if !ok {
		return fs.ErrNotExist
	}
	delete(m.names, from)
	m.names[to] = f
	return nil
}

// Remove implements Folder.
func (m *MemoryFolder) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	delete(m.names, name)
	return nil
}

// Sync implements Folder.
func (m *MemoryFolder) Sync() error {
	if err := m.fault("sync_folder", ""); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.durable = maps.Clone(m.names)
	return nil
}

// Close implements Folder.
func (m *MemoryFolder) Close() error { return nil }

func (m *MemoryFolder) fault(operation, name string) error {
	m.mu.Lock()
	fault := m.inject
	m.mu.Unlock()
	if fault == nil {
		return nil
	}
	return fault(operation, name)
}

// SetFault sets a function that is asked before each change and may return an
// error or block. The operation is one of create, write, sync, rename and
// sync_folder. Nil removes it.
func (m *MemoryFolder) SetFault(fault func(operation, name string) error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.inject = fault
}

type memoryHandle struct {
	folder *MemoryFolder
	file   *memoryFile
	name   string
}

// ErrPartialWrite as an injected fault makes a write stop half way.
var ErrPartialWrite = errors.New("wal: partial write")

// Write implements File.
func (h *memoryHandle) Write(p []byte) (int, error) {
	err := h.folder.fault("write", h.name)
	if errors.Is(err, ErrPartialWrite) {
		p = p[:len(p)/2]
	} else if err != nil {
		return 0, err
	}
	h.folder.mu.Lock()
	defer h.folder.mu.Unlock()
	h.file.data = append(h.file.data, p...)
	return len(p), err
}

// Sync implements File.
func (h *memoryHandle) Sync() error {
	if err := h.folder.fault("sync", h.name); err != nil {
		return err
	}
	h.folder.mu.Lock()
	defer h.folder.mu.Unlock()
	h.file.synced = len(h.file.data)
	return nil
}

// Truncate implements File.
func (h *memoryHandle) Truncate(size int64) error {
	h.folder.mu.Lock()
	defer h.folder.mu.Unlock()
	h.file.data = h.file.data[:size]
	h.file.synced = min(h.file.synced, len(h.file.data))
	return nil
}

// Close implements File.
func (h *memoryHandle) Close() error { return nil }
