package quorum

import (
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
