package quorum_test

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"regexp"
	"runtime"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/coord/quorum"
	"github.com/jacinthplank/jacinthplank/coord/wal"
)

// startMemoryFolder is set for the process that TestMemoryOfStart measures.
const startMemoryFolder = "QUORUM_TEST_START_FOLDER"

// peakMemory returns the most memory that the heap of this process has held, in bytes, without
// the memory of the race detector.
func peakMemory() int64 {
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapSys)
}

// TestStartInProcess is run by TestMemoryOfStart in a process of its own.
func TestStartInProcess(t *testing.T) {
	folder := os.Getenv(startMemoryFolder)
	if folder == "" {
		return // this is not that process
	}
	g := NewWithT(t)
	before := peakMemory()
	node, err := quorum.Start(quorum.Options{
		Name: "a", Address: "a", Members: []quorum.Member{{Name: "a", Address: "a"}},
		Folder: folder, StateMachine: &lastCommand{}, LogBytes: 8 << 20,
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(func() error { return node.ReadIndex(context.Background()) }).WithTimeout(10 * time.Second).Should(Succeed())
	fmt.Printf("grown by %d bytes\n", peakMemory()-before)
	node.Stop()
}

// TestMemoryOfStart guards against a member whose start needs more memory than its process
// has, so that it ends again and again. Processes of the platform have 184 MB, of which the
// start may take a third. The log is the largest one that a member writes.
func TestMemoryOfStart(t *testing.T) {
	const logBytes, commandBytes, maxBytes = 8 << 20, 1 << 20, 184 << 20 / 3
	g := NewWithT(t)
	path := t.TempDir()
	opened, err := wal.OpenFolder(path)
	g.Expect(err).NotTo(HaveOccurred())
	node, _ := startAlone(g, slowSnapshots{opened, 3 * time.Second}, logBytes)
	deadline := time.Now().Add(2 * time.Second)
	for time.Now().Before(deadline) {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		_, _ = node.Propose(ctx, bytes.Repeat([]byte("x"), commandBytes))
		cancel()
	}
	// The copy is what a kill while the snapshot is written leaves.
	killed := t.TempDir()
	g.Expect(os.CopyFS(killed+"/data", os.DirFS(path))).To(Succeed())
	node.Stop()
	log, err := os.Stat(killed + "/data/log-0000000000000001")
	g.Expect(err).NotTo(HaveOccurred())

	child := exec.Command(os.Args[0], "-test.run", "^TestStartInProcess$", "-test.v")
	child.Env = append(os.Environ(), startMemoryFolder+"="+killed+"/data", "GOMEMLIMIT=138MiB")
	out, err := child.CombinedOutput()
	g.Expect(err).NotTo(HaveOccurred(), string(out))
	found := regexp.MustCompile(`grown by (\d+) bytes`).FindStringSubmatch(string(out))
	g.Expect(found).NotTo(BeNil(), string(out))
	taken, err := strconv.ParseInt(found[1], 10, 64)
	g.Expect(err).NotTo(HaveOccurred())
	t.Logf("log of %d bytes: a start takes %d bytes", log.Size(), taken)
	g.Expect(log.Size()).To(BeNumerically(">", 3*logBytes/2))
	g.Expect(taken).To(BeNumerically("<", maxBytes))
}
