package mesh

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/announce"
)

// TestEndpointsThatLeaveTogetherAreAnnouncedTogether guards against an entry that sends the same
// updates again while they are on their way: when many endpoints drain at once, each of their
// announcements sends those of the others to all entries, too, which fills the entry's link.
func TestEndpointsThatLeaveTogetherAreAnnouncedTogether(t *testing.T) {
	g := NewWithT(t)
	const endpoints, entries = 100, 6
	f := newTestFleet(t, entries)
	f.awaitLeader(g)
	announceAll := func(state announce.State, sequence int64) {
		var wg sync.WaitGroup
		for i := range endpoints {
			wg.Go(func() {
				e := endpoint(i)
				e.State, e.Sequence = state, e.Sequence+sequence
				ctx, cancel := context.WithTimeout(t.Context(), 800*time.Millisecond)
				defer cancel()
				f.entries[0].Announce(ctx, e)
			})
		}
		wg.Wait()
	}
	announceAll(announce.Ready, 1)
	for _, e := range f.entries {
		g.Eventually(func() int { return len(e.ReadyEndpoints("s")) }, "10s", "10ms").Should(Equal(endpoints))
	}
	time.Sleep(3 * time.Second)
	for _, e := range f.entries {
		e.syncDelay.Store(int64(40 * time.Millisecond)) // between failure domains
	}
	before, syncs := int64(0), f.syncs()
	for _, e := range f.entries {
		before += e.announced.Load()
	}
	started := time.Now()
	announceAll(announce.Draining, 2)
	for _, e := range f.entries {
		g.Eventually(func() int { return len(e.ReadyEndpoints("s")) }, "10s", "10ms").Should(BeZero())
	}
	took := time.Since(started)
	sent := -before
	for _, e := range f.entries {
		sent += e.announced.Load()
	}
	const announcementBytes = 300 // as JSON, at most
	t.Logf("%d bytes in %d syncs, took %v", sent, f.syncs()-syncs, took)
	g.Expect(sent).To(BeNumerically("<=", 10*endpoints*(entries-1)*announcementBytes))
}
