package quorum_test

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"regexp"
	"runtime"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/coord/quorum"
	"github.com/jacinthplank/jacinthplank/coord/wal"
)

// startMemoryFolder is set for the process that TestMemoryOfStart measures.
const startMemoryFolder = "QUORUM_TEST_START_FOLDER"

// memory is what the heap of this process has taken so far, in bytes, without the memory of the
// race detector.
type memory struct {
	peak      int64 // held at once, with garbage that was not collected yet
	allocated int64 // in total, whenever the collector ran
}

func memoryTaken() memory {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return memory{int64(stats.HeapSys), int64(stats.TotalAlloc)}
}

// TestStartInProcess is run by TestMemoryOfStart in a process of its own.
func TestStartInProcess(t *testing.T) {
	folder := os.Getenv(startMemoryFolder)
	if folder == "" {
		return // this is not that process
	}
	g := NewWithT(t)
	before := memoryTaken()
	node, err := quorum.Start(quorum.Options{
		Name: "a", Address: "a", Members: []quorum.Member{{Name: "a", Address: "a"}},
		Folder: folder, StateMachine: &lastCommand{}, LogBytes: 8 << 20,
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(func() error { return node.ReadIndex(context.Background()) }).WithTimeout(10 * time.Second).Should(Succeed())
	after := memoryTaken()
	fmt.Printf("grown by %d bytes, allocated %d bytes\n", after.peak-before.peak, after.allocated-before.allocated)
	node.Stop()
}

// heldSnapshots is a folder on which the sync of a snapshot waits for release.
type heldSnapshots struct {
	wal.Folder
	release <-chan struct{}
}

type heldFile struct {
	wal.File
	release <-chan struct{}
}

func (f heldSnapshots) Create(name string) (wal.File, error) {
	file, err := f.Folder.Create(name)
	if err != nil || !strings.HasPrefix(name, "snapshot-") {
		return file, err
	}
	return heldFile{file, f.release}, nil
}

func (f heldFile) Sync() error {
	<-f.release
	return f.File.Sync()
}

// TestMemoryOfStart guards against a member whose start needs more memory than its process
// has, so that it ends again and again. Processes of the platform have 184 MB, of which the
// start may take a third. The log is the largest one that a member writes. What is allocated in
// total is bounded as well: how much of it is held at once depends on when the collector runs.
func TestMemoryOfStart(t *testing.T) {
	const logBytes, commandBytes, maxBytes = 8 << 20, 1 << 20, 184 << 20 / 3
	g := NewWithT(t)
	path := t.TempDir()
	opened, err := wal.OpenFolder(path)
	g.Expect(err).NotTo(HaveOccurred())
	release := make(chan struct{})
	node, _ := startAlone(g, heldSnapshots{opened, release}, logBytes)
	// Entries beyond twice the bytes wait for the snapshot.
	for logSize(g, path)+commandBytes+commandBytes/8 < 2*logBytes {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		_, err := node.Propose(ctx, bytes.Repeat([]byte("x"), commandBytes))
		cancel()
		g.Expect(err).NotTo(HaveOccurred())
	}
	// The copy is what a kill while the snapshot is written leaves.
	killed := t.TempDir()
	g.Expect(os.CopyFS(killed+"/data", os.DirFS(path))).To(Succeed())
	close(release)
	node.Stop()
	size := logSize(g, killed+"/data")

	child := exec.Command(os.Args[0], "-test.run", "^TestStartInProcess$", "-test.v")
	child.Env = append(os.Environ(), startMemoryFolder+"="+killed+"/data", "GOMEMLIMIT=138MiB")
	out, err := child.CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), string(out))
	var grown, allocated int64
	found := regexp.MustCompile(`grown by .* bytes`).FindString(string(out))
	_, err = fmt.Sscanf(found, "grown by %d bytes, allocated %d bytes", &grown, &allocated)
	g.Expect(err).NotTo(HaveOccurred(), string(out))
	t.Logf("log of %d bytes: a start takes %d bytes and allocates %d", size, grown, allocated)
	g.Expect(size).To(BeNumerically(">", 7*logBytes/4))
	g.Expect(grown).To(BeNumerically("<", maxBytes))
	g.Expect(allocated).To(BeNumerically("<", maxBytes))
}

// logSize returns the size of the first log in a folder.
func logSize(g *WithT, path string) int64 {
	info, err := os.Stat(path + "/log-0000000000000001")
	g.Expect(err).NotTo(HaveOccurred())
	return info.Size()
}
