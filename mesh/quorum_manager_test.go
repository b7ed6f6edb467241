package mesh

import (
	"bytes"
	"context"
	"encoding/base64"
	"log/slog"
	"os"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/coord/document"
	"github.com/jacinthplank/jacinthplank/coord/quorum"
	"github.com/jacinthplank/jacinthplank/coord/wal"
	"github.com/jacinthplank/jacinthplank/delta"
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

// TestDiskOfQuorumMember puts documents of the target size and checks what the disk
// holds after each, once a snapshot that it causes is complete: the log and the part of it
// that is retained before a snapshot, a command that exceeds the limit, two snapshots.
func TestDiskOfQuorumMember(t *testing.T) {
	g := NewWithT(t)
	var lines bytes.Buffer
	m := newFoundingMesh(t, &lines)
	defer m.Stop()
	g.Expect(m.quorum.ensureNode()).To(BeTrue())
	g.Eventually(func() bool { return m.quorum.currentNode().Status().IsLeader }).WithTimeout(10 * time.Second).Should(BeTrue())
	const puts, bodyBytes = 40, 887_510
	maxDiskBytes := logBytes + logBytes/2 + 3*base64.StdEncoding.EncodedLen(bodyBytes)
	for i := range puts {
		d := document.Document{Number: uint64(i + 1), Body: bytes.Repeat([]byte{byte(i)}, bodyBytes)}
		encoded, err := delta.Encode(nil, d.Body)
		g.Expect(err).NotTo(HaveOccurred())
		resp, err := m.quorum.servePut(t.Context(), &putRequest{Number: d.Number, Encoded: encoded})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(resp.Answer).To(Equal(&document.Answer{Verdict: document.Accepted, Number: d.Number}))
		g.Eventually(func() int64 { return folderBytes(g, m.options.DataFolder) }).WithTimeout(5*time.Second).
			Should(BeNumerically("<", maxDiskBytes), "after put %d", i)
	}
}

func TestPutRefusesTooLargeDocument(t *testing.T) {
	g := NewWithT(t)
	var lines bytes.Buffer
	m := newFoundingMesh(t, &lines)
	defer m.Stop()
	g.Expect(m.quorum.ensureNode()).To(BeTrue())
	g.Eventually(func() bool { return m.quorum.currentNode().Status().IsLeader }).WithTimeout(10 * time.Second).Should(BeTrue())
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	_, err := m.Put(ctx, document.Document{Number: 1, Body: make([]byte, 6_300_000)})
	g.Expect(err).To(MatchError(ContainSubstring("document too large: 6300000 bytes, the limit is 6000000 bytes")))
	g.Expect(err).NotTo(MatchError(ErrOutcomeUnknown))
	g.Expect(ctx.Err()).NotTo(HaveOccurred(), "the call ends at once")
}

// folderBytes returns the size of the files in a folder, except for those that are
// renamed or removed meanwhile.
func folderBytes(g *WithT, path string) int64 {
	entries, err := os.ReadDir(path)
	g.Expect(err).NotTo(HaveOccurred())
	var size int64
	for _, e := range entries {
		if info, err := e.Info(); err == nil {
			size += info.Size()
		}
	}
	return size
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
