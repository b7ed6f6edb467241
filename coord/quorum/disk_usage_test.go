package quorum_test

import (
	"bytes"
	"context"
	"encoding/base64"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/coord/quorum"
	"github.com/jacinthplank/jacinthplank/coord/wal"
)

// meteredFolder records the most bytes that a directory ever held.
type meteredFolder struct {
	wal.Folder
	path string

	mu   sync.Mutex
	peak int64
}

type meteredFile struct {
	wal.File
	folder *meteredFolder
}

func (f *meteredFolder) Create(name string) (wal.File, error) {
	file, err := f.Folder.Create(name)
	return meteredFile{file, f}, err
}

func (f *meteredFolder) Append(name string) (wal.File, error) {
	file, err := f.Folder.Append(name)
	return meteredFile{file, f}, err
}

func (f meteredFile) Write(p []byte) (int, error) {
	n, err := f.File.Write(p)
	f.folder.measure()
	return n, err
}

// measure adds up the sizes of the files. A file that is renamed or removed meanwhile
// is left out.
func (f *meteredFolder) measure() {
	var size int64
	_ = filepath.WalkDir(f.path, func(path string, e fs.DirEntry, err error) error {
		if err != nil || !e.Type().IsRegular() {
			return nil
		}
		if info, err := os.Stat(path); err == nil {
			size += info.Size()
		}
		return nil
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.peak = max(f.peak, size)
}

// lastCommand is a state machine whose state is the last command.
type lastCommand struct {
	mu   sync.Mutex
	data []byte
}

func (l *lastCommand) Apply(_ uint64, cmd []byte) []byte {
	_ = l.Restore(cmd)
	return nil
}

func (l *lastCommand) Snapshot() ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.data, nil
}

func (l *lastCommand) Restore(data []byte) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.data = data
	return nil
}

func openMetered(g *WithT, path string) *meteredFolder {
	opened, err := wal.OpenFolder(path)
	g.Expect(err).NotTo(HaveOccurred())
	return &meteredFolder{Folder: opened, path: path}
}

func startOnMeteredDisk(g *WithT, path string, logBytes int) (*quorum.Node, *lastCommand, *meteredFolder) {
	folder := openMetered(g, path)
	node, machine := startAlone(g, folder, logBytes)
	return node, machine, folder
}

// startAlone starts the only member of a quorum.
func startAlone(g *WithT, folder wal.Folder, logBytes int) (*quorum.Node, *lastCommand) {
	machine := &lastCommand{}
	node, err := quorum.Start(quorum.Options{
		Name: "a", Address: "a", Members: []quorum.Member{{Name: "a", Address: "a"}},
		Disk: folder, StateMachine: machine, LogBytes: logBytes,
	})
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(func() bool { return node.Status().IsLeader }).WithTimeout(10 * time.Second).Should(BeTrue())
	return node, machine
}

// TestDiskUsage proposes large commands on a disk of the file system and checks what
// the disk holds at most, also while the member starts again.
func TestDiskUsage(t *testing.T) {
	const logBytes, diskBytes = 8 << 20, 64_000_000
	for name, c := range map[string]struct {
		commands, commandBytes, maxBytes int
		awaitCompaction                  bool // each command waits for the log file that the previous one causes
	}{
		"configurations of the target size":   {300, base64.StdEncoding.EncodedLen(887_510), diskBytes / 2, false},
		"configurations of 1 MiB":             {100, base64.StdEncoding.EncodedLen(1 << 20), diskBytes / 2, false},
		"largest commands, one after another": {20, quorum.MaxCommandBytes, diskBytes, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			path := t.TempDir()
			node, _, folder := startOnMeteredDisk(g, path, logBytes)
			var last []byte
			for i := range c.commands {
				last = bytes.Repeat([]byte{byte(i)}, c.commandBytes)
				_, err := node.Propose(context.Background(), last)
				g.Expect(err).NotTo(HaveOccurred())
				if c.awaitCompaction {
					log := fmt.Sprintf("log-%016x", i+2)
					g.Eventually(folder.List).WithTimeout(10 * time.Second).Should(ContainElement(log))
				}
			}
			node.Stop()
			g.Expect(node.Status().Err).NotTo(HaveOccurred())

			node, machine, restarted := startOnMeteredDisk(g, path, logBytes)
			g.Expect(node.ReadIndex(context.Background())).To(Succeed())
			state, err := machine.Snapshot()
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(bytes.Equal(state, last)).To(BeTrue(), "the last command is in force after the start")
			node.Stop()
			t.Logf("peak of the disk: %d bytes in operation, %d bytes at a start", folder.peak, restarted.peak)
			g.Expect(max(folder.peak, restarted.peak)).To(BeNumerically("<", c.maxBytes))
		})
	}
}

// slowSnapshots is a folder on which the sync of a snapshot takes as long as delay.
type slowSnapshots struct {
	wal.Folder
	delay time.Duration
}

type slowFile struct {
	wal.File
	delay time.Duration
}

func (f slowSnapshots) Create(name string) (wal.File, error) {
	file, err := f.Folder.Create(name)
	if err != nil || !strings.HasPrefix(name, "snapshot-") {
		return file, err
	}
	return slowFile{file, f.delay}, nil
}

func (f slowFile) Sync() error {
	time.Sleep(f.delay)
	return f.File.Sync()
}

// TestSlowSnapshotsDoNotFillDisk guards against a log that grows without bound while a snapshot
// is being written: the disk fills up, and the next start needs as much room and memory again.
func TestSlowSnapshotsDoNotFillDisk(t *testing.T) {
	const logBytes, maxBytes = 8 << 20, 32_000_000
	for _, commandBytes := range []int{300 << 10, base64.StdEncoding.EncodedLen(1 << 20)} {
		t.Run(fmt.Sprint(commandBytes), func(t *testing.T) {
			g := NewWithT(t)
			metered := openMetered(g, t.TempDir())
			node, _ := startAlone(g, slowSnapshots{metered, 700 * time.Millisecond}, logBytes)
			var proposers sync.WaitGroup
			for i := range 4 { // configurations are changed by several operators at once
				proposers.Go(func() {
					for range 48 << 20 / commandBytes / 4 {
						_, err := node.Propose(context.Background(), bytes.Repeat([]byte{byte(i)}, commandBytes))
						g.Expect(err).NotTo(HaveOccurred())
					}
				})
			}
			proposers.Wait()
			node.Stop()
			g.Expect(node.Status().Err).NotTo(HaveOccurred())
			t.Logf("peak of the disk: %d bytes", metered.peak)
			g.Expect(metered.peak).To(BeNumerically("<", maxBytes))
		})
	}
}
