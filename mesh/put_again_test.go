package mesh

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/coord/document"
)

// TestChangeSentAgainIsStoredOnce guards against a log that grows by the whole configuration with each
// attempt to put it while the first one is being stored: on slow links or disks the copies delay it
// further.
func TestChangeSentAgainIsStoredOnce(t *testing.T) {
	g := NewWithT(t)
	disks := []*faultyDisk{{}, {}, {}}
	f := newTestFleetWithDisks(t, testMembers+1, disks)
	leader := f.awaitLeader(g)
	f.put(g, leader, routesDocument(1, 20))
	node := leader.quorum.currentNode()
	before := node.Status()
	for _, d := range disks {
		d.syncTime.Store(int64(2500 * time.Millisecond))
	}
	for range 3 {
		ctx, cancel := context.WithTimeout(t.Context(), 900*time.Millisecond)
		_, _ = f.entries[testMembers].Put(ctx, routesDocument(2, 20))
		cancel()
	}
	after := node.Status()
	// A new leader appends an entry of its own, and may store the document itself.
	terms := after.Term - before.Term
	g.Expect(after.LastIndex - before.LastIndex).To(BeNumerically("<=", 1+2*terms))
	for _, d := range disks {
		d.syncTime.Store(0)
	}
	g.Eventually(func() (document.Answer, error) {
		ctx, cancel := context.WithTimeout(t.Context(), 900*time.Millisecond)
		defer cancel()
		return f.entries[testMembers].Put(ctx, routesDocument(2, 20))
	}).WithTimeout(acceptedAgain).Should(HaveField("Number", uint64(2)), f.describe)
	f.put(g, leader, routesDocument(3, 20))
}
