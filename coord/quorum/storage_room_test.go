package quorum

import (
	"bytes"
	"syscall"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/coord/wal"
)

// limitedFolder is a disk that is full once its files have limit bytes.
type limitedFolder struct {
	*wal.MemoryFolder
	limit int
}

type limitedFile struct {
	wal.File
	folder *limitedFolder
}

func (f *limitedFolder) used() int {
	names, _ := f.List()
	size := 0
	for _, name := range names {
		data, _ := f.ReadFile(name)
		size += len(data)
	}
	return size
}

func (f *limitedFolder) limited(file wal.File, err error) (wal.File, error) {
	return limitedFile{file, f}, err
}

func (f *limitedFolder) Create(name string) (wal.File, error) {
	return f.limited(f.MemoryFolder.Create(name))
}

func (f *limitedFolder) Append(name string) (wal.File, error) {
	return f.limited(f.MemoryFolder.Append(name))
}

func (f limitedFile) Write(p []byte) (int, error) {
	room := max(0, f.folder.limit-f.folder.used())
	if len(p) <= room {
		return f.File.Write(p)
	}
	n, _ := f.File.Write(p[:room])
	return n, syscall.ENOSPC
}

// TestStartNeedsNoRoom guards against a member that fails for good because its disk has no room
// for a second copy of its log. The disk fills up during an append, a rotation or a snapshot.
func TestStartNeedsNoRoom(t *testing.T) {
	large := bytes.Repeat([]byte("x"), 1000)
	for name, fill := range map[string]func(*storage) error{
		"append": func(s *storage) error {
			return s.write([]Ready{{Entries: sameEntries(21, 22, large)}})
		},
		"rotation": func(s *storage) error {
			_, err := s.compact(&Snapshot{Index: 12, Term: 1})
			return err
		},
		"snapshot": func(s *storage) error {
			return s.writeSnapshot(&Snapshot{Index: 20, Term: 1, Data: large})
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			folder := &limitedFolder{wal.NewMemoryFolder(), 1 << 20}
			s, _, err := openStorage(folder, "d1", simulatedTail)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(s.write([]Ready{{Entries: sameEntries(1, 20, large)}})).To(Succeed())
			saveSnapshot(g, s, 10)
			g.Expect(s.writeSnapshot(&Snapshot{Index: 12, Term: 1})).To(Succeed())
			folder.limit = folder.used() + 500
			g.Expect(fill(s)).To(MatchError(syscall.ENOSPC))
			g.Expect(s.close()).To(Succeed())

			for range 2 {
				s, saved, err := openStorage(folder, "d2", simulatedTail)
				g.Expect(err).NotTo(HaveOccurred(), "start on a full disk")
				g.Expect(saved.Snapshot.Index).To(Equal(uint64(10)))
				g.Expect(s.entries.lastIndex()).To(Equal(uint64(20)))
				g.Expect(s.write([]Ready{{HardState: &HardState{Term: 7}}})).To(Succeed(), "a vote needs little room")
				g.Expect(s.close()).To(Succeed())
				losePower(folder.MemoryFolder, func(options int) int { return options - 1 })
			}
			folder.limit = folder.used()
			_, _, err = openStorage(folder, "d2", simulatedTail)
			g.Expect(err).To(MatchError(syscall.ENOSPC), "a member that can't vote must be silent")

			folder.limit = 1 << 20
			s, saved, err := openStorage(folder, "d2", simulatedTail)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(saved.HardState.Term).To(Equal(uint64(7)))
			g.Expect(s.write([]Ready{{Entries: sameEntries(21, 22, large)}})).To(Succeed())
			saveSnapshot(g, s, 22)
			g.Expect(snapshotFiles(g, folder)).To(ConsistOf(snapshotName(22)))
		})
	}
}

// TestStartRemovesUnreferencedSnapshots guards against snapshots that pile up on the disk: each
// kill between the write of a snapshot and the compaction of the log leaves one.
func TestStartRemovesUnreferencedSnapshots(t *testing.T) {
	g := NewWithT(t)
	folder := wal.NewMemoryFolder()
	s, _, err := openStorage(folder, "d1", simulatedTail)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.write([]Ready{{Entries: sameEntries(1, 9, []byte("x"))}})).To(Succeed())
	saveSnapshot(g, s, 3)
	for index := uint64(5); index < 9; index++ {
		g.Expect(s.writeSnapshot(&Snapshot{Index: index, Term: 1})).To(Succeed())
		s, _, err = openStorage(folder, "d2", simulatedTail)
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(snapshotFiles(g, folder)).To(ConsistOf(snapshotName(3)))
}

// TestReplacedEntriesDoNotFillDisk guards against a log that grows without bound while entries
// are replaced or terms change and nothing is committed, so that no snapshot is taken.
func TestReplacedEntriesDoNotFillDisk(t *testing.T) {
	g := NewWithT(t)
	const logBytes = 1 << 10
	folder := wal.NewMemoryFolder()
	s, saved, err := openStorage(folder, "d1", simulatedTail)
	g.Expect(err).NotTo(HaveOccurred())
	n := newNode(Options{Name: "a", StateMachine: nil, LogBytes: logBytes}.withDefaults(), s, saved)
	for term := uint64(1); term <= 200; term++ {
		r := Ready{Sequence: term, HardState: &HardState{Term: term}}
		if term%2 == 0 {
			r.Entries = []Entry{{Index: 1, Term: term, Data: bytes.Repeat([]byte("x"), 100)}}
		}
		g.Expect(n.writeGroup([]diskTask{{ready: r}})).To(Succeed())
		g.Expect(s.log.Size()).To(BeNumerically("<", (maxLogShare+1)*logBytes))
	}
	s, saved, err = openStorage(folder, "d2", simulatedTail)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(saved.HardState.Term).To(Equal(uint64(200)))
	g.Expect(s.entries.lastTerm()).To(Equal(uint64(200)))
}
