package wal

import (
	"errors"
	"io/fs"
	"maps"
	"slices"
	"sync"
)

// MemoryFolder is an in-memory Folder that simulates a disk across crashes:
// unsynced data may be lost, wholly or in part. It is meant for tests and for
// members whose state need not survive a restart.
type MemoryFolder struct {
	mu           sync.Mutex
	files        map[string]*memoryFile
	durableFiles map[string]*memoryFile
	nameChanges  []nameChange // since the last sync of the folder
	faultHook    func(operation, name string) error
}

type memoryFile struct {
	data   []byte
	synced int   // bytes that survive a crash
	ends   []int // of the writes since the last sync, as offsets in data
	// truncated is the synced content before a truncation that has not been synced, nil
	// without one.
	truncated []byte
}

// nameChange is a file that was created, renamed or removed.
type nameChange struct {
	from, to string // empty if there is none
	file     *memoryFile
}

// NewMemoryFolder returns an empty folder.
func NewMemoryFolder() *MemoryFolder {
	return &MemoryFolder{files: map[string]*memoryFile{}, durableFiles: map[string]*memoryFile{}}
}

// Crash simulates a crash. For each file, keep gets the number of unsynced bytes
// and returns how many of them, from the first one on, survive. Files opened
// before the crash must not be used afterwards.
func (m *MemoryFolder) Crash(keep func(unsynced int) int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.files = map[string]*memoryFile{}
	for _, name := range slices.Sorted(maps.Keys(m.durableFiles)) {
		old := m.durableFiles[name]
		size := old.synced + keep(len(old.data)-old.synced)
		m.files[name] = &memoryFile{data: slices.Clone(old.data[:size]), synced: size}
	}
	m.durableFiles, m.nameChanges = maps.Clone(m.files), nil
}

// CrashWrites simulates a loss of power in which each write since the last sync of its file
// is present, missing or torn, independently of the others. keep gets the size of a write
// and returns the part of it that survives. What is missing before a part that survives
// reads as zeros. Files opened before the crash must not be used afterwards.
func (m *MemoryFolder) CrashWrites(keep func(size int) (from, to int)) {
	m.PowerLoss(keep, func() bool { return false }, func() bool { return true })
}

// PowerLoss is CrashWrites in which each file that was created, renamed or removed since the
// last sync of the folder, and each truncation since the last sync of its file, is kept or
// lost independently of the others, too.
func (m *MemoryFolder) PowerLoss(keep func(size int) (from, to int), keepName, keepTruncation func() bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	names := maps.Clone(m.durableFiles)
	for _, c := range m.nameChanges {
		if !keepName() {
			continue
		}
		delete(names, c.from)
		if c.to != "" {
			names[c.to] = c.file
		}
	}
	m.files = map[string]*memoryFile{}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		data := names[name].survivingData(keep, keepTruncation)
		m.files[name] = &memoryFile{data: data, synced: len(data)}
	}
	m.durableFiles, m.nameChanges = maps.Clone(m.files), nil
}

// survivingData returns the content after a loss of power.
func (f *memoryFile) survivingData(keep func(size int) (from, to int), keepTruncation func() bool) []byte {
	data := slices.Clone(f.data[:f.synced])
	if f.truncated != nil && !keepTruncation() {
		data = slices.Clone(f.truncated)
	}
	start := f.synced
	for _, end := range f.ends {
		if from, to := keep(end - start); from < to {
			data = append(data, make([]byte, max(0, start+to-len(data)))...)
			copy(data[start+from:], f.data[start+from:start+to])
		}
		start = end
	}
	return data
}

// Corrupt inverts one byte of a file.
func (m *MemoryFolder) Corrupt(name string, offset int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.files[name].data[offset] ^= 0xff
}

// List implements Folder.
func (m *MemoryFolder) List() ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.files)), nil
}

// ReadFile implements Folder.
func (m *MemoryFolder) ReadFile(name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f, ok := m.files[name]
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
	m.files[name] = f
	m.nameChanges = append(m.nameChanges, nameChange{to: name, file: f})
	return &memoryHandle{folder: m, file: f, name: name}, nil
}

// Append implements Folder.
func (m *MemoryFolder) Append(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f, ok := m.files[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return &memoryHandle{folder: m, file: f, name: name}, nil
}

// Rewrite implements Folder.
func (m *MemoryFolder) Rewrite(name string) error {
	m.mu.Lock()
	f, ok := m.files[name]
	m.mu.Unlock()
	if !ok {
		return fs.ErrNotExist
	}
	if err := m.fault("rewrite", name); err != nil {
		return err
	}
	return (&memoryHandle{folder: m, file: f, name: name}).Sync()
}

// Rename implements Folder.
func (m *MemoryFolder) Rename(from, to string) error {
	if err := m.fault("rename", from); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	f, ok := m.files[from]
	if !ok {
		return fs.ErrNotExist
	}
	delete(m.files, from)
	m.files[to] = f
	m.nameChanges = append(m.nameChanges, nameChange{from: from, to: to, file: f})
	return nil
}

// Remove implements Folder.
func (m *MemoryFolder) Remove(name string) error {
	if err := m.fault("remove", name); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if _, ok := m.files[name]; !ok {
		return fs.ErrNotExist
	}
	delete(m.files, name)
	m.nameChanges = append(m.nameChanges, nameChange{from: name})
	return nil
}

// Sync implements Folder.
func (m *MemoryFolder) Sync() error {
	if err := m.fault("sync_folder", ""); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.durableFiles, m.nameChanges = maps.Clone(m.files), nil
	return nil
}

// Close implements Folder.
func (m *MemoryFolder) Close() error { return nil }

func (m *MemoryFolder) fault(operation, name string) error {
	m.mu.Lock()
	fault := m.faultHook
	m.mu.Unlock()
	if fault == nil {
		return nil
	}
	return fault(operation, name)
}

// SetFault sets a hook that is called before each modification and may return an
// error or block. The operation is one of create, write, rewrite, truncate, sync,
// rename, remove and sync_folder. SetFault(nil) removes the hook.
func (m *MemoryFolder) SetFault(fault func(operation, name string) error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.faultHook = fault
}

type memoryHandle struct {
	folder *MemoryFolder
	file   *memoryFile
	name   string
}

// ErrPartialWrite, returned by the fault hook, makes a write store only the first
// half of its data.
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
	h.file.ends = append(h.file.ends, len(h.file.data))
	return len(p), err
}

// Sync implements File.
func (h *memoryHandle) Sync() error {
	if err := h.folder.fault("sync", h.name); err != nil {
		return err
	}
	h.folder.mu.Lock()
	defer h.folder.mu.Unlock()
	h.file.synced, h.file.ends, h.file.truncated = len(h.file.data), nil, nil
	return nil
}

// Truncate implements File.
func (h *memoryHandle) Truncate(size int64) error {
	if err := h.folder.fault("truncate", h.name); err != nil {
		return err
	}
	h.folder.mu.Lock()
	defer h.folder.mu.Unlock()
	if h.file.truncated == nil && int(size) < h.file.synced {
		h.file.truncated = slices.Clone(h.file.data[:h.file.synced])
	}
	h.file.data = h.file.data[:size]
	h.file.synced = min(h.file.synced, len(h.file.data))
	h.file.ends = slices.DeleteFunc(h.file.ends, func(end int) bool { return end > len(h.file.data) })
	return nil
}

// Close implements File.
func (h *memoryHandle) Close() error { return nil }
