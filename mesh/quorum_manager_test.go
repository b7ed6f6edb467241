package mesh

import (
	"bytes"
	"log/slog"
	"sync"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/coord/quorum"
	"github.com/jacinthplank/jacinthplank/coord/wal"
)

// newFoundingMesh returns a mesh whose entry is the only founder of its quorum.
func newFoundingMesh(t *testing.T, lines *bytes.Buffer) *Mesh {
	const address = "127.0.0.1:1"
	m := New(Options{
		Name: "a", Address: address, Seeds: []string{address}, DataFolder: t.TempDir(), FirstStart: true,
		Log: slog.New(slog.NewTextHandler(lines, nil)),
	})
	m.quorum.founders = []quorum.Member{{Name: "a", Address: address}}
	return m
}

// expectFree expects that no member uses the mesh's folder.
func expectFree(g *WithT, m *Mesh) {
	folder, err := wal.OpenFolder(m.options.DataFolder)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(folder.Close()).To(Succeed())
}

func TestQuorumMemberIsNotStartedAfterStop(t *testing.T) {
	g := NewWithT(t)
	var lines bytes.Buffer
	m := newFoundingMesh(t, &lines)
	g.Expect(m.quorum.ensureNode()).To(BeTrue())
	g.Expect(m.quorum.currentNode()).NotTo(BeNil())
	m.Stop()
	expectFree(g, m)

	// The lock stands for the member that is still closing its files.
	folder, err := wal.OpenFolder(m.options.DataFolder)
	g.Expect(err).NotTo(HaveOccurred())
	defer folder.Close()
	g.Expect(m.quorum.ensureNode()).To(BeTrue())
	g.Expect(lines.String()).NotTo(ContainSubstring("level=ERROR"))
}

func TestStopWaitsForQuorumMemberThatStarts(t *testing.T) {
	for range 20 {
		g := NewWithT(t)
		var lines bytes.Buffer
		m := newFoundingMesh(t, &lines)
		var starts sync.WaitGroup
		starts.Go(func() { m.quorum.ensureNode() })
		m.Stop()
		starts.Wait()
		expectFree(g, m)
	}
}
