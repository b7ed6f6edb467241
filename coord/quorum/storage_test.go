package quorum

import (
	"errors"
	"slices"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/coord/wal"
)

// openTestStorage opens the disk in a directory of the file system.
func openTestStorage(g *WithT, path string, tail tailLimits) (*storage, PersistedState) {
	folder, err := wal.OpenFolder(path)
	g.Expect(err).NotTo(HaveOccurred())
	s, saved, err := openStorage(folder, "d1", tail)
	g.Expect(err).NotTo(HaveOccurred())
	return s, saved
}

// sameEntries returns the entries from first to last, all with the same data.
func sameEntries(first, last uint64, data []byte) []Entry {
	var out []Entry
	for i := first; i <= last; i++ {
		out = append(out, Entry{Index: i, Term: 1, Kind: EntryCommand, Data: data})
	}
	return out
}

// saveSnapshot writes a snapshot at index and compacts the log.
func saveSnapshot(g *WithT, s *storage, index uint64) {
	snapshot := &Snapshot{Index: index, Term: 1, Data: []byte("state")}
	g.Expect(s.writeSnapshot(snapshot)).To(Succeed())
	isNew, err := s.compact(snapshot)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(isNew).To(BeTrue())
}

func TestCompactLimitsBytesOfTail(t *testing.T) {
	g := NewWithT(t)
	path := t.TempDir()
	tail := Options{}.withDefaults().tail()
	s, _ := openTestStorage(g, path, tail)
	// Entries of over 1 GiB in all, more than one batch of the log can hold.
	const last, entryBytes = 2100, 540_000
	g.Expect(s.truncateAndAppend(sameEntries(1, last, make([]byte, entryBytes)))).To(Succeed())
	saveSnapshot(g, s, last)
	g.Expect(s.log.Size()).To(BeNumerically("<=", tail.bytes))
	g.Expect(s.log.Size()).To(BeNumerically(">", tail.bytes-2*entryBytes))
	g.Expect(s.close()).To(Succeed())

	s, saved := openTestStorage(g, path, tail)
	g.Expect(saved.Snapshot.Index).To(Equal(uint64(last)))
	g.Expect(saved.Entries[len(saved.Entries)-1].Index).To(Equal(uint64(last)))
	g.Expect(s.close()).To(Succeed())
}

func TestCompactKeepsEntriesAfterSnapshot(t *testing.T) {
	g := NewWithT(t)
	s, _ := openTestStorage(g, t.TempDir(), tailLimits{entries: 3, bytes: 1000})
	g.Expect(s.truncateAndAppend(sameEntries(1, 20, make([]byte, 400)))).To(Succeed())
	saveSnapshot(g, s, 10)
	g.Expect(s.entries.baseIndex).To(Equal(uint64(8)), "two entries fit the bytes")
	g.Expect(s.entries.lastIndex()).To(Equal(uint64(20)))
	saveSnapshot(g, s, 20)
	g.Expect(s.entries.baseIndex).To(Equal(uint64(18)))
	g.Expect(s.truncateAndAppend(sameEntries(21, 30, make([]byte, 100)))).To(Succeed())
	saveSnapshot(g, s, 30)
	g.Expect(s.entries.baseIndex).To(Equal(uint64(27)), "three entries are the limit")
	g.Expect(s.truncateAndAppend(sameEntries(31, 31, make([]byte, 5000)))).To(Succeed())
	saveSnapshot(g, s, 31)
	g.Expect(s.entries.baseIndex).To(Equal(uint64(31)), "a single entry over the limit is dropped, too")
	g.Expect(s.close()).To(Succeed())
}

// TestStartShortensTail starts on a disk whose tail was limited by entries only.
func TestStartShortensTail(t *testing.T) {
	g := NewWithT(t)
	path := t.TempDir()
	s, _ := openTestStorage(g, path, tailLimits{entries: defaultTailLength, bytes: 1 << 30})
	data := make([]byte, 100_000)
	g.Expect(s.write([]Ready{{HardState: &HardState{Term: 1, Vote: "d1", Cluster: "d1"}, Entries: sameEntries(1, 300, data)}})).To(Succeed())
	saveSnapshot(g, s, 300)
	g.Expect(s.write([]Ready{{Entries: sameEntries(301, 305, data)}})).To(Succeed())
	g.Expect(s.log.Size()).To(BeNumerically(">", 30_000_000))
	g.Expect(s.close()).To(Succeed())

	s, saved := openTestStorage(g, path, tailLimits{entries: defaultTailLength, bytes: 1_050_000})
	g.Expect(saved.HardState).To(Equal(HardState{Term: 1, Vote: "d1", Cluster: "d1"}))
	g.Expect(saved.Snapshot.Index).To(Equal(uint64(300)))
	g.Expect(saved.BaseIndex).To(Equal(uint64(290)))
	g.Expect(saved.BaseTerm).To(Equal(uint64(1)))
	g.Expect(saved.Entries).To(Equal(sameEntries(291, 305, data)))
	g.Expect(s.log.Size()).To(BeNumerically("<", 1_600_000))
	g.Expect(s.close()).To(Succeed())
}

// TestInstallLeavesSnapshotInProgress installs the leader's snapshot while an older
// one is being written.
func TestInstallLeavesSnapshotInProgress(t *testing.T) {
	g := NewWithT(t)
	folder := wal.NewMemoryFolder()
	s, _, err := openStorage(folder, "d1", simulatedTail)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.write([]Ready{{Entries: sameEntries(1, 5, []byte("x"))}})).To(Succeed())

	older := &Snapshot{Index: 5, Term: 1, Data: []byte("older")}
	reached, resume := make(chan struct{}), make(chan struct{})
	folder.SetFault(func(operation, name string) error {
		if operation == "sync" && strings.HasPrefix(name, snapshotName(older.Index)) {
			close(reached)
			<-resume
		}
		return nil
	})
	written := make(chan error)
	go func() { written <- s.writeSnapshot(older) }()
	<-reached
	newer := &Snapshot{Index: 9, Term: 1, Data: []byte("newer")}
	g.Expect(s.write([]Ready{{Snapshot: newer}})).To(Succeed())
	close(resume)
	g.Expect(<-written).To(Succeed())

	isNew, err := s.compact(older)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(isNew).To(BeFalse())
	g.Expect(snapshotFiles(g, folder)).To(ConsistOf(snapshotName(newer.Index)))
}

func TestStartRemovesIncompleteSnapshot(t *testing.T) {
	g := NewWithT(t)
	folder := wal.NewMemoryFolder()
	s, _, err := openStorage(folder, "d1", simulatedTail)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.write([]Ready{{Entries: sameEntries(1, 5, []byte("x"))}})).To(Succeed())
	saveSnapshot(g, s, 3)
	folder.SetFault(func(operation, _ string) error {
		if operation == "rename" {
			return errors.New("crash")
		}
		return nil
	})
	g.Expect(s.writeSnapshot(&Snapshot{Index: 5, Term: 1})).To(MatchError(ContainSubstring("crash")))
	folder.SetFault(nil)
	g.Expect(snapshotFiles(g, folder)).To(HaveLen(2))

	_, saved, err := openStorage(folder, "d2", simulatedTail)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(saved.Snapshot.Index).To(Equal(uint64(3)))
	g.Expect(snapshotFiles(g, folder)).To(ConsistOf(snapshotName(3)))
}

func snapshotFiles(g *WithT, folder wal.Folder) []string {
	names, err := folder.List()
	g.Expect(err).NotTo(HaveOccurred())
	return slices.DeleteFunc(names, func(name string) bool { return !strings.HasPrefix(name, snapshotPrefix) })
}

// countingFolder counts the open files.
type countingFolder struct {
	*wal.MemoryFolder
	open int
}

type countedFile struct {
	wal.File
	folder *countingFolder
}

func (f *countingFolder) counted(file wal.File, err error) (wal.File, error) {
	if err != nil {
		return nil, err
	}
	f.open++
	return countedFile{file, f}, nil
}

func (f *countingFolder) Create(name string) (wal.File, error) {
	return f.counted(f.MemoryFolder.Create(name))
}

func (f *countingFolder) Append(name string) (wal.File, error) {
	return f.counted(f.MemoryFolder.Append(name))
}

func (f countedFile) Close() error {
	f.folder.open--
	return f.File.Close()
}

func TestFailedStartClosesFiles(t *testing.T) {
	failOn := func(operation, prefix string) func(*countingFolder) {
		return func(f *countingFolder) {
			f.SetFault(func(op, name string) error {
				if op == operation && strings.HasPrefix(name, prefix) {
					return errors.New("no space left on device")
				}
				return nil
			})
		}
	}
	for name, c := range map[string]struct {
		isBlank bool
		damage  func(*countingFolder)
	}{
		"damaged snapshot":         {false, func(f *countingFolder) { f.Corrupt(snapshotName(3), 16) }},
		"missing snapshot":         {false, func(f *countingFolder) { _ = f.Remove(snapshotName(3)) }},
		"log cannot be created":    {false, failOn("create", "log-")},
		"log cannot be written":    {false, failOn("write", "log-")},
		"log cannot be renamed":    {false, failOn("rename", "log-")},
		"new disk without the log": {true, failOn("rename", "log-")},
		"new disk, identity full":  {true, failOn("rename", identityFile)},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			folder := &countingFolder{MemoryFolder: wal.NewMemoryFolder()}
			if !c.isBlank {
				s, _, err := openStorage(folder, "d1", simulatedTail)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(s.write([]Ready{{Snapshot: &Snapshot{Index: 3, Term: 1}}})).To(Succeed())
				g.Expect(folder.open).To(Equal(1))
				g.Expect(s.close()).To(Succeed())
			}
			g.Expect(folder.open).To(BeZero())
			c.damage(folder)
			_, _, err := openStorage(folder, "d1", simulatedTail)
			g.Expect(err).To(HaveOccurred())
			g.Expect(folder.open).To(BeZero())
		})
	}
}

// TestFailedFormatClosesLog fails a blank disk after its log was created.
func TestFailedFormatClosesLog(t *testing.T) {
	g := NewWithT(t)
	folder := &countingFolder{MemoryFolder: wal.NewMemoryFolder()}
	identities := 0
	folder.SetFault(func(op, name string) error {
		if op == "rename" && strings.HasPrefix(name, identityFile) {
			identities++
		}
		if identities == 2 {
			return errors.New("no space left on device")
		}
		return nil
	})
	_, _, err := openStorage(folder, "d1", simulatedTail)
	g.Expect(err).To(MatchError(ContainSubstring("no space left")))
	g.Expect(identities).To(Equal(2))
	g.Expect(folder.open).To(BeZero())
}
