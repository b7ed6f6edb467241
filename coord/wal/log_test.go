package wal_test

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/jacinthplank/jacinthplank/coord/wal"
)

const (
	salt     = "0123456789abcdef"
	fileName = "log-0000000000000001"
)

// written returns a folder with a log of the given batches and the size of the
// file after each of them.
func written(g *WithT, batches ...string) (*wal.MemoryFolder, []int) {
	folder := wal.NewMemoryFolder()
	log, err := wal.Create(folder, salt, []byte(batches[0]))
	g.Expect(err).NotTo(HaveOccurred())
	sizes := []int{int(log.Size())}
	for _, b := range batches[1:] {
		g.Expect(log.Append([]byte(b))).To(Succeed())
		sizes = append(sizes, int(log.Size()))
	}
	return folder, sizes
}

func reopen(folder wal.Folder) ([]string, *wal.Log, error) {
	log, batches, err := wal.Open(folder, salt)
	var out []string
	for _, b := range batches {
		out = append(out, string(b))
	}
	return out, log, err
}

// cut leaves the first size bytes of the log file.
func cut(g *WithT, folder *wal.MemoryFolder, size int) {
	file, err := folder.Append(fileName)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(file.Truncate(int64(size))).To(Succeed())
}

func TestTornLastWriteIsCutAtEveryByte(t *testing.T) {
	g := NewWithT(t)
	_, sizes := written(g, "first", "second", "third")
	for size := sizes[1]; size < sizes[2]; size++ {
		folder, _ := written(g, "first", "second", "third")
		cut(g, folder, size)

		batches, log, err := reopen(folder)
		g.Expect(err).NotTo(HaveOccurred(), "cut to %d bytes", size)
		g.Expect(batches[:2]).To(Equal([]string{"first", "second"}))
		g.Expect(log.Append([]byte("again"))).To(Succeed())
		batches, _, err = reopen(folder)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(batches[len(batches)-1]).To(Equal("again"))
	}
}

func TestDamageOfAcknowledgedBytesIsRefused(t *testing.T) {
	g := NewWithT(t)
	_, sizes := written(g, "first", "second", "third")
	const markSize = 13
	lastBatchEnd := sizes[2] - markSize
	for offset := range lastBatchEnd {
		folder, _ := written(g, "first", "second", "third")
		folder.Corrupt(fileName, offset)

		_, _, err := reopen(folder)
		var corrupt *wal.CorruptError
		g.Expect(errors.As(err, &corrupt)).To(BeTrue(), "byte %d: %v", offset, err)
		g.Expect(corrupt.File).To(Equal(fileName))
		g.Expect(int(corrupt.Offset)).To(BeNumerically("<=", offset))
	}
}

func TestBatchThatLooksLikeFramesIsNoFrame(t *testing.T) {
	g := NewWithT(t)
	inner, sizes := written(g, "first", "second")
	content, err := inner.ReadFile(fileName)
	g.Expect(err).NotTo(HaveOccurred())

	// A torn write that holds copies of valid frames is cut all the same.
	folder, outer := written(g, "first", string(content))
	cut(g, folder, outer[0]+sizes[1])
	batches, _, err := reopen(folder)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(batches).To(Equal([]string{"first"}))
}

func TestFailedDiskIsNotUsedAgain(t *testing.T) {
	for _, operation := range []string{"write", "sync"} {
		for _, cause := range []error{errors.New("no space left"), wal.ErrPartialWrite} {
			g := NewWithT(t)
			folder, _ := written(g, "first")
			_, log, err := reopen(folder)
			g.Expect(err).NotTo(HaveOccurred())
			folder.SetFault(func(op, _ string) error {
				if op == operation {
					return cause
				}
				return nil
			})
			g.Expect(log.Append([]byte("lost"))).To(MatchError(ContainSubstring(fileName)))
			folder.SetFault(nil)
			g.Expect(log.Append([]byte("late"))).NotTo(Succeed())
			g.Expect(log.Rotate([]byte("late"))).NotTo(Succeed())

			folder.Crash(func(atRisk int) int { return atRisk })
			batches, _, err := reopen(folder)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(batches).NotTo(ContainElement("late"))
		}
	}
}

func TestCrashDuringRotateLeavesOneWholeLog(t *testing.T) {
	for _, operation := range []string{"create", "write", "sync", "rename", "sync_folder"} {
		for seed := range uint64(8) {
			g := NewWithT(t)
			random := rand.New(rand.NewPCG(seed, 0))
			folder, _ := written(g, "first", "second")
			_, log, err := reopen(folder)
			g.Expect(err).NotTo(HaveOccurred())
			folder.SetFault(func(op, _ string) error {
				if op == operation {
					return errors.New("power cut")
				}
				return nil
			})
			g.Expect(log.Rotate([]byte("all"))).NotTo(Succeed())
			folder.SetFault(nil)
			folder.Crash(func(atRisk int) int { return random.IntN(atRisk + 1) })
			batches, _, err := reopen(folder)
			g.Expect(err).NotTo(HaveOccurred(), "%s, seed %d", operation, seed)
			g.Expect(batches).To(Equal([]string{"first", "second"}), "%s, seed %d", operation, seed)
		}
	}
}

// TestAcknowledgedBatchesSurviveCrashes appends, rotates and crashes at random:
// what was acknowledged is there, in order, with at most one batch more.
func TestAcknowledgedBatchesSurviveCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		folder := wal.NewMemoryFolder()
		log, err := wal.Create(folder, salt, []byte("0"))
		g.Expect(err).NotTo(HaveOccurred())
		acknowledged := []string{"0"}
		for i := range rapid.IntRange(1, 40).Draw(t, "steps") {
			batch := fmt.Sprintf("%d-%s", i, rapid.StringN(0, 50, -1).Draw(t, "batch"))
			switch rapid.IntRange(0, 9).Draw(t, "action") {
			case 0:
				g.Expect(log.Rotate([]byte(batch))).To(Succeed())
				acknowledged = []string{batch}
			case 1:
				failed := rapid.SampledFrom([]string{"write", "sync"}).Draw(t, "failed")
				folder.SetFault(func(op, _ string) error {
					if op == failed {
						return wal.ErrPartialWrite
					}
					return nil
				})
				g.Expect(log.Append([]byte(batch))).NotTo(Succeed())
				folder.SetFault(nil)
				folder.Crash(func(atRisk int) int { return rapid.IntRange(0, atRisk).Draw(t, "kept") })
				var batches []string
				batches, log, err = reopen(folder)
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(batches[:len(acknowledged)]).To(Equal(acknowledged))
				g.Expect(len(batches)).To(BeNumerically("<=", len(acknowledged)+1))
				acknowledged = batches
			default:
				g.Expect(log.Append([]byte(batch))).To(Succeed())
				acknowledged = append(acknowledged, batch)
			}
		}
	})
}

func TestWriteFileIsWholeOrRefused(t *testing.T) {
	g := NewWithT(t)
	folder := wal.NewMemoryFolder()
	g.Expect(wal.WriteFile(folder, salt, "state", []byte("content"))).To(Succeed())
	g.Expect(wal.ReadFile(folder, salt, "state")).To(Equal([]byte("content")))
	folder.Corrupt("state", 15)
	_, err := wal.ReadFile(folder, salt, "state")
	var corrupt *wal.CorruptError
	g.Expect(errors.As(err, &corrupt)).To(BeTrue())
}

// TestFileSystem runs the log on a real folder, which one log has at a time.
func TestFileSystem(t *testing.T) {
	g := NewWithT(t)
	path := t.TempDir()
	folder, err := wal.OpenFolder(path)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = wal.OpenFolder(path)
	g.Expect(err).To(HaveOccurred())

	log, err := wal.Create(folder, salt, []byte("first"))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(log.Append([]byte("second"))).To(Succeed())
	g.Expect(log.Rotate([]byte("both"))).To(Succeed())
	g.Expect(log.Append([]byte("third"))).To(Succeed())
	g.Expect(log.Close()).To(Succeed())
	batches, _, err := reopen(folder)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(batches).To(Equal([]string{"both", "third"}))
	g.Expect(folder.Close()).To(Succeed())
}

func FuzzOpen(f *testing.F) {
	g := NewWithT(f)
	folder, _ := written(g, "first", "second")
	content, _ := folder.ReadFile(fileName)
	f.Add(content)
	f.Add(content[:len(content)-3])
	f.Fuzz(func(t *testing.T, data []byte) {
		folder := wal.NewMemoryFolder()
		file, _ := folder.Create(fileName)
		_, _ = file.Write(data)
		log, batches, err := wal.Open(folder, salt)
		if err == nil && (len(batches) == 0 || log.Size() > int64(len(data))) {
			t.Fatalf("%d batches, size %d of %d bytes", len(batches), log.Size(), len(data))
		}
	})
}
