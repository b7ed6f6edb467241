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

// newLog returns a folder with a log of the given batches and the file size
// after each batch.
func newLog(g *WithT, batches ...string) (*wal.MemoryFolder, []int) {
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

func openLog(folder wal.Folder) ([]string, *wal.Log, error) {
	log, batches, err := wal.Open(folder, salt)
	var out []string
	for _, b := range batches {
		out = append(out, string(b))
	}
	return out, log, err
}

// truncateLog truncates the log file to size bytes.
func truncateLog(g *WithT, folder *wal.MemoryFolder, size int) {
	file, err := folder.Append(fileName)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(file.Truncate(int64(size))).To(Succeed())
}

func TestOpenTruncatesTornLastWrite(t *testing.T) {
	g := NewWithT(t)
	_, sizes := newLog(g, "first", "second", "third")
	for size := sizes[1]; size < sizes[2]; size++ {
		folder, _ := newLog(g, "first", "second", "third")
		truncateLog(g, folder, size)

		batches, log, err := openLog(folder)
		g.Expect(err).NotTo(HaveOccurred(), "truncated to %d bytes", size)
		g.Expect(batches[:2]).To(Equal([]string{"first", "second"}))
		g.Expect(log.Append([]byte("again"))).To(Succeed())
		batches, _, err = openLog(folder)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(batches[len(batches)-1]).To(Equal("again"))
	}
}

func TestOpenRejectsCorruptAcknowledgedData(t *testing.T) {
	g := NewWithT(t)
	_, sizes := newLog(g, "first", "second", "third")
	const markSize = 13
	lastBatchEnd := sizes[2] - markSize
	for offset := range lastBatchEnd {
		folder, _ := newLog(g, "first", "second", "third")
		folder.Corrupt(fileName, offset)

		_, _, err := openLog(folder)
		var corrupt *wal.CorruptError
		g.Expect(errors.As(err, &corrupt)).To(BeTrue(), "byte %d: %v", offset, err)
		g.Expect(corrupt.File).To(Equal(fileName))
		g.Expect(int(corrupt.Offset)).To(BeNumerically("<=", offset))
	}
}

func TestOpenIgnoresFramesInsideTornBatch(t *testing.T) {
	g := NewWithT(t)
	inner, sizes := newLog(g, "first", "second")
	content, err := inner.ReadFile(fileName)
	g.Expect(err).NotTo(HaveOccurred())

	// A torn write is truncated even if its payload contains copies of valid frames.
	folder, outer := newLog(g, "first", string(content))
	truncateLog(g, folder, outer[0]+sizes[1])
	batches, _, err := openLog(folder)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(batches).To(Equal([]string{"first"}))
}

func TestLogRefusesWritesAfterDiskFailure(t *testing.T) {
	for _, operation := range []string{"write", "sync"} {
		for _, cause := range []error{errors.New("no space left"), wal.ErrPartialWrite} {
			g := NewWithT(t)
			folder, _ := newLog(g, "first")
			_, log, err := openLog(folder)
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

			folder.Crash(func(unsynced int) int { return unsynced })
			batches, _, err := openLog(folder)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(batches).NotTo(ContainElement("late"))
		}
	}
}

func TestCrashDuringRotateKeepsOldLog(t *testing.T) {
	for _, operation := range []string{"create", "write", "sync", "rename", "sync_folder"} {
		for seed := range uint64(8) {
			g := NewWithT(t)
			random := rand.New(rand.NewPCG(seed, 0))
			folder, _ := newLog(g, "first", "second")
			_, log, err := openLog(folder)
			g.Expect(err).NotTo(HaveOccurred())
			folder.SetFault(func(op, _ string) error {
				if op == operation {
					return errors.New("power failure")
				}
				return nil
			})
			g.Expect(log.Rotate([]byte("all"))).NotTo(Succeed())
			folder.SetFault(nil)
			folder.Crash(func(unsynced int) int { return random.IntN(unsynced + 1) })
			batches, _, err := openLog(folder)
			g.Expect(err).NotTo(HaveOccurred(), "%s, seed %d", operation, seed)
			g.Expect(batches).To(Equal([]string{"first", "second"}), "%s, seed %d", operation, seed)
		}
	}
}

// TestAcknowledgedBatchesSurviveCrashes appends, rotates and crashes at random.
// All acknowledged batches must survive in order, followed by at most one
// unacknowledged batch.
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
				failedOperation := rapid.SampledFrom([]string{"write", "sync"}).Draw(t, "failed")
				folder.SetFault(func(op, _ string) error {
					if op == failedOperation {
						return wal.ErrPartialWrite
					}
					return nil
				})
				g.Expect(log.Append([]byte(batch))).NotTo(Succeed())
				folder.SetFault(nil)
				folder.Crash(func(unsynced int) int { return rapid.IntRange(0, unsynced).Draw(t, "kept") })
				var batches []string
				batches, log, err = openLog(folder)
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

// countingFolder counts open files. Remove fails if removeErr is set.
type countingFolder struct {
	*wal.MemoryFolder
	open      int
	removeErr error
}

type countingFile struct {
	wal.File
	folder *countingFolder
}

func (f *countingFolder) Create(name string) (wal.File, error) {
	return f.count(f.MemoryFolder.Create(name))
}

func (f *countingFolder) Append(name string) (wal.File, error) {
	return f.count(f.MemoryFolder.Append(name))
}

func (f *countingFolder) Remove(name string) error {
	if f.removeErr != nil {
		return f.removeErr
	}
	return f.MemoryFolder.Remove(name)
}

func (f *countingFolder) count(file wal.File, err error) (wal.File, error) {
	if err != nil {
		return nil, err
	}
	f.open++
	return &countingFile{file, f}, nil
}

func (c *countingFile) Close() error {
	c.folder.open--
	return c.File.Close()
}

// failOn makes one operation of the folder fail.
func (f *countingFolder) failOn(operation string) {
	if operation == "remove" {
		f.removeErr = errors.New("broken")
		return
	}
	f.SetFault(func(op, _ string) error {
		if op == operation {
			return errors.New("broken")
		}
		return nil
	})
}

func TestFailedCreateReturnsNoLogAndNoOpenFile(t *testing.T) {
	for _, operation := range []string{"create", "write", "sync", "rename", "sync_folder", "remove"} {
		t.Run(operation, func(t *testing.T) {
			g := NewWithT(t)
			folder := &countingFolder{MemoryFolder: wal.NewMemoryFolder()}
			_, err := folder.MemoryFolder.Create("log-0000000000000009.tmp")
			g.Expect(err).NotTo(HaveOccurred())
			folder.failOn(operation)
			log, err := wal.Create(folder, salt, []byte("first"))
			g.Expect(err).To(HaveOccurred())
			g.Expect(log).To(BeNil())
			g.Expect(folder.open).To(BeZero())
		})
	}
}

func TestFailedRotateLeavesOnlyTheOldFileOpen(t *testing.T) {
	for _, operation := range []string{"create", "write", "sync", "rename", "sync_folder"} {
		t.Run(operation, func(t *testing.T) {
			g := NewWithT(t)
			folder := &countingFolder{MemoryFolder: wal.NewMemoryFolder()}
			log, err := wal.Create(folder, salt, []byte("first"))
			g.Expect(err).NotTo(HaveOccurred())
			folder.failOn(operation)
			g.Expect(log.Rotate([]byte("second"))).NotTo(Succeed())
			g.Expect(folder.open).To(Equal(1))
			g.Expect(log.Close()).To(Succeed())
			g.Expect(folder.open).To(BeZero())
		})
	}
}

func TestFailedOpenReturnsNoLogAndNoOpenFile(t *testing.T) {
	for _, operation := range []string{"sync", "remove"} {
		t.Run(operation, func(t *testing.T) {
			g := NewWithT(t)
			inner, _ := newLog(g, "first")
			_, err := inner.Create("log-0000000000000002.tmp")
			g.Expect(err).NotTo(HaveOccurred())
			folder := &countingFolder{MemoryFolder: inner}
			folder.failOn(operation)
			log, _, err := wal.Open(folder, salt)
			g.Expect(err).To(HaveOccurred())
			g.Expect(log).To(BeNil())
			g.Expect(folder.open).To(BeZero())
		})
	}
}

func TestReadFileDetectsCorruption(t *testing.T) {
	g := NewWithT(t)
	folder := wal.NewMemoryFolder()
	g.Expect(wal.WriteFile(folder, salt, "state", []byte("content"))).To(Succeed())
	g.Expect(wal.ReadFile(folder, salt, "state")).To(Equal([]byte("content")))
	folder.Corrupt("state", 15)
	_, err := wal.ReadFile(folder, salt, "state")
	var corrupt *wal.CorruptError
	g.Expect(errors.As(err, &corrupt)).To(BeTrue())
}

// TestLogOnFileSystem runs the log in a real directory, which must not be opened
// twice.
func TestLogOnFileSystem(t *testing.T) {
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
	batches, _, err := openLog(folder)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(batches).To(Equal([]string{"both", "third"}))
	g.Expect(folder.Close()).To(Succeed())
}

func FuzzOpen(f *testing.F) {
	g := NewWithT(f)
	folder, _ := newLog(g, "first", "second")
	content, _ := folder.ReadFile(fileName)
	f.Add(content)
	f.Add(content[:len(content)-3])
	f.Fuzz(func(t *testing.T, data []byte) {
		folder := wal.NewMemoryFolder()
		file, _ := folder.Create(fileName)
		_, _ = file.Write(data)
		log, batches, err := wal.Open(folder, salt)
		if err == nil && (len(batches) == 0 || log.Size() > int64(len(data))) {
			t.Fatalf("opened with %d batches and log size %d from %d bytes of input", len(batches), log.Size(), len(data))
		}
	})
}
