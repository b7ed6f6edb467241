package mesh

import (
	"fmt"
	"testing"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/coord/membership"
	"github.com/jacinthplank/jacinthplank/coord/quorum"
	pb "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
)

// diskFleet is what a leader that started long ago sees of a fleet in which every entry has a disk.
type diskFleet struct {
	*Mesh
	t          *testing.T
	reconciler *memberReconciler
	now        time.Time
}

func newDiskFleet(t *testing.T, size int) *diskFleet {
	m := idleMesh("leader", nil)
	t.Cleanup(m.Stop)
	m.document.Number = 1
	f := &diskFleet{Mesh: m, t: t, reconciler: newMemberReconciler(m.quorum), now: time.Now()}
	for i := range size {
		f.start(i, 1)
		f.report(i, 1, "disk")
	}
	return f
}

func diskEntryName(i int) string { return fmt.Sprintf("entry-%03d", i) }

// start lets the leader hear of an entry's process.
func (f *diskFleet) start(i int, incarnation uint64) {
	record := &pb.MemberRecord{
		Name: diskEntryName(i), Address: diskEntryName(i), Watcher: true, Incarnation: incarnation,
		Facts: &pb.MemberFacts{Duties: []string{dutyControl}},
	}
	_, err := f.gossip.Exchange(f.t.Context(), connect.NewRequest(&pb.ExchangeRequest{Heartbeat: &pb.Heartbeat{From: record}}))
	NewWithT(f.t).Expect(err).NotTo(HaveOccurred())
}

// report lets the leader learn an entry's disk.
func (f *diskFleet) report(i int, incarnation uint64, disk quorum.DiskIdentity) {
	from := facts{Name: diskEntryName(i), Address: diskEntryName(i), Incarnation: incarnation, Disk: disk}
	_, err := f.serveSync(f.t.Context(), &syncRequest{From: from})
	NewWithT(f.t).Expect(err).NotTo(HaveOccurred())
}

// look lets the leader look at the members once and returns the calls before their turn, by name.
func (f *diskFleet) look() map[string]int {
	f.reconciler.diskEntries(f.now)
	f.now = f.now.Add(reconcileInterval)
	f.mu.Lock()
	defer f.mu.Unlock()
	calls := map[string]int{}
	for name, p := range f.peers {
		if p.due {
			calls[name]++
			p.due = false // as if it was called
		}
	}
	return calls
}

// lookFor looks at the members for a time and returns the calls, and the most of one look.
func (f *diskFleet) lookFor(d time.Duration) (calls map[string]int, most int) {
	calls = map[string]int{}
	for end := f.now.Add(d); f.now.Before(end); {
		once := f.look()
		for name, n := range once {
			calls[name] += n
		}
		most = max(most, len(once))
	}
	return calls, most
}

// Guards against a leader that calls entries whose disks it knows, which took a bench's score in
// large fleets, or one whose disk stays unknown, for ever.
func TestLeaderCallsFewEntriesForTheirDisks(t *testing.T) {
	const size = 120
	t.Run("idle", func(t *testing.T) {
		g := NewWithT(t)
		f := newDiskFleet(t, size)
		calls, _ := f.lookFor(time.Minute)
		g.Expect(calls).To(BeEmpty())
	})
	t.Run("one restarts", func(t *testing.T) {
		g := NewWithT(t)
		f := newDiskFleet(t, size)
		f.start(7, 2)
		g.Expect(f.look()).To(Equal(map[string]int{diskEntryName(7): 1}), "called at once")
		f.report(7, 2, "") // its member has not started yet
		calls, _ := f.lookFor(2 * time.Second)
		g.Expect(calls).To(Equal(map[string]int{diskEntryName(7): 2}), "once a second")
		f.report(7, 2, "new")
		calls, _ = f.lookFor(time.Minute)
		g.Expect(calls).To(BeEmpty())
		f.start(7, 3)
		g.Expect(f.look()).To(Equal(map[string]int{diskEntryName(7): 1}), "another process")
	})
	t.Run("one doesn't open its disk", func(t *testing.T) {
		g := NewWithT(t)
		f := newDiskFleet(t, size)
		f.start(7, 2)
		calls, _ := f.lookFor(time.Minute)
		g.Expect(calls).To(Equal(map[string]int{diskEntryName(7): maxDiskCalls}))
	})
	t.Run("one is down", func(t *testing.T) {
		g := NewWithT(t)
		f := newDiskFleet(t, size)
		f.start(7, 2)
		record := &pb.MemberRecord{
			Name: diskEntryName(7), Address: diskEntryName(7), Watcher: true, Incarnation: 2, State: uint32(membership.Left),
			Facts: &pb.MemberFacts{Duties: []string{dutyControl}},
		}
		_, err := f.gossip.Exchange(t.Context(), connect.NewRequest(&pb.ExchangeRequest{Heartbeat: &pb.Heartbeat{From: record}}))
		g.Expect(err).NotTo(HaveOccurred())
		calls, _ := f.lookFor(time.Minute)
		g.Expect(calls).To(BeEmpty())
	})
	t.Run("all restart", func(t *testing.T) {
		g := NewWithT(t)
		f := newDiskFleet(t, size)
		for i := range size {
			f.start(i, 2)
		}
		calls, most := f.lookFor(size / maxDiskCallsOnce * reconcileInterval)
		g.Expect(most).To(Equal(maxDiskCallsOnce))
		g.Expect(calls).To(HaveLen(size), "one that doesn't answer doesn't hold up the others")
	})
}
