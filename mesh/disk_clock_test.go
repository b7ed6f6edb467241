package mesh

import (
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/coord/quorum"
)

// TestDiskIsFoundAfterItsClockWentBack guards against a disk that isn't reached any more: its entry
// returned at another address while its clock was seconds behind, so that the incarnation, which is
// the time of its start, is lower than that of the run before.
func TestDiskIsFoundAfterItsClockWentBack(t *testing.T) {
	g := NewWithT(t)
	var addresses diskAddresses
	addresses.note(facts{Name: "a", Disk: "d", Address: "10.0.0.1:1", Incarnation: 20_000_000})
	for range 3 {
		addresses.note(facts{Name: "a", Disk: "d", Address: "10.0.0.2:1", Incarnation: 17_000_000})
	}
	g.Expect(addresses.current(quorum.Member{Name: "a", Disk: "d"}).Address).To(Equal("10.0.0.2:1"))
}
