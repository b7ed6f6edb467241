package quorum

import (
	"errors"
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	quorumv1 "github.com/jacinthplank/jacinthplank/coord/gen/jacinthplank/quorum/v1"
	"github.com/jacinthplank/jacinthplank/coord/wal"
)

// TestUnusableContentIsRefused guards against a disk that fails for good without being refused,
// so that its entry never empties it: checksums match, but the content makes no log.
func TestUnusableContentIsRefused(t *testing.T) {
	gap, err := proto.Marshal(&quorumv1.Batch{Entries: entriesToProto(sameEntries(9, 9, []byte("x")))})
	if err != nil {
		t.Fatal(err)
	}
	for name, damage := range map[string]func(*storage) error{
		"batch that can't be decoded": func(s *storage) error { return s.log.Append([]byte{0xff}) },
		"entries after a gap":         func(s *storage) error { return s.log.Append(gap) },
		"snapshot that can't be decoded": func(s *storage) error {
			return wal.WriteFile(s.folder, string(s.identity), snapshotName(3), []byte{0xff})
		},
		"identity that can't be decoded": func(s *storage) error {
			return wal.WriteFile(s.folder, "", identityFile, []byte{0xff})
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			folder := wal.NewMemoryFolder()
			s, _, err := openStorage(folder, "d1", simulatedTail)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(s.write([]Ready{{Entries: sameEntries(1, 5, []byte("x"))}})).To(Succeed())
			saveSnapshot(g, s, 3)
			g.Expect(damage(s)).To(Succeed())
			g.Expect(s.close()).To(Succeed())
			_, _, err = openStorage(folder, "d2", simulatedTail)
			var corrupt *wal.CorruptError
			g.Expect(errors.As(err, &corrupt)).To(BeTrue(), "%v", err)
		})
	}
}
