package quorum_test

import (
	"errors"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/coord/quorum"
	"github.com/jacinthplank/jacinthplank/coord/wal"
)

// failingRestore is a state machine that restores no snapshot.
type failingRestore struct{ lastCommand }

func (*failingRestore) Restore([]byte) error { return errors.New("unknown format") }

// TestFailedStartUnlocksFolder guards against a failed start that keeps the lock of its folder:
// each later start in the same process would fail.
func TestFailedStartUnlocksFolder(t *testing.T) {
	g := NewWithT(t)
	path := t.TempDir()
	node, _, _ := startOnMeteredDisk(g, path, 1<<10)
	for range 8 {
		_, err := node.Propose(t.Context(), []byte(strings.Repeat("x", 1<<10)))
		g.Expect(err).NotTo(HaveOccurred())
	}
	node.Stop()
	valid := quorum.Options{Name: "a", Address: "a", Members: []quorum.Member{{Name: "a", Address: "a"}}, StateMachine: &lastCommand{}}
	for name, o := range map[string]quorum.Options{
		"without a name":                    {StateMachine: &lastCommand{}},
		"with a snapshot of another format": {Name: "a", Address: "a", StateMachine: &failingRestore{}},
	} {
		opened, err := wal.OpenFolder(path)
		g.Expect(err).NotTo(HaveOccurred(), name)
		o.Disk = opened
		_, err = quorum.Start(o)
		g.Expect(err).To(HaveOccurred(), name)
	}
	opened, err := wal.OpenFolder(path)
	g.Expect(err).NotTo(HaveOccurred(), "the lock is held after a failed start")
	valid.Disk = opened
	node, err = quorum.Start(valid)
	g.Expect(err).NotTo(HaveOccurred())
	node.Stop()
}
