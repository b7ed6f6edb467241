package mesh

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/jacinthplank/jacinthplank/coord/membership"
	"github.com/jacinthplank/jacinthplank/coord/quorum"
	"github.com/jacinthplank/jacinthplank/coord/recovery"
	"github.com/jacinthplank/jacinthplank/gossip"
)

// Intervals and limits of quorum membership changes.
const (
	reconcileInterval = 500 * time.Millisecond
	changeTimeout     = time.Second
)

// Limits of the leader's calls, before their turn, to entries whose disk it doesn't know. Calls to
// all entries with a disk would cost a large fleet processor time that its requests need.
const (
	diskCallInterval = time.Second // between two to an entry
	maxDiskCalls     = 8           // to an entry's process; its turn comes anyway
	maxDiskCallsOnce = 4           // after one look at the members
)

// memberReconciler adjusts the quorum's members to the available entries with a disk.
// It acts on the leader only and makes one change at a time.
type memberReconciler struct {
	manager  *quorumManager
	nextRun  time.Time
	changed  atomic.Bool   // a change was made after which the next one may be due at once
	changing chan struct{} // holds a value while a change is in progress
	planner  recovery.Planner
	observer memberObserver
	refused  bool // the last change met one that was not committed yet; used while changing is held
}

func newMemberReconciler(c *quorumManager) *memberReconciler {
	return &memberReconciler{manager: c, changing: make(chan struct{}, 1), observer: memberObserver{manager: c}}
}

// reconcile starts the next change, if any is due.
func (k *memberReconciler) reconcile(ctx context.Context, now time.Time) {
	node := k.manager.currentNode()
	if node == nil || (now.Before(k.nextRun) && !k.changed.Swap(false)) {
		return
	}
	k.nextRun = now.Add(reconcileInterval)
	s := node.Status()
	if !s.IsLeader || !s.HasQuorum {
		k.planner.Reset()
		k.observer.reset()
		return
	}
	changes := k.plan(now, s)
	if len(changes) == 0 {
		return
	}
	reasons := k.observer.reasons(changes, s)
	select {
	case k.changing <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-k.changing }()
		k.applyChanges(ctx, node, changes, reasons)
	}()
}

func (k *memberReconciler) applyChanges(ctx context.Context, node *quorum.Node, changes []quorum.Change, reasons []string) {
	for i, change := range changes {
		changeCtx, cancel := context.WithTimeout(ctx, changeTimeout)
		err := node.ChangeMember(changeCtx, change)
		cancel()
		// The quorum's repair makes changes as well. They are committed long before the next
		// interval, which would be a part of the time in which a lost voter has to be replaced.
		wasRefused := k.refused
		k.refused = errors.Is(err, quorum.ErrChangePending)
		if !wasRefused || !k.refused {
			k.observer.logChange(node.Status(), change, reasons[i], err)
		}
		if err != nil {
			k.changed.Store(k.refused)
			return
		}
	}
	k.changed.Store(true)
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// plan returns the next change, or changes that must be made together.
func (k *memberReconciler) plan(now time.Time, s quorum.Status) []quorum.Change {
	m := k.manager.mesh
	view := k.diskEntries(now)
	k.planner.Tolerated = m.options.Tolerated.disks(m.gossip.Members(), m.options.Regions)
	k.observer.observe(now, s, view, recovery.WantedVoters(k.planner.Tolerated))
	return k.planner.Plan(now, s, view)
}

// diskEntries returns the known entries with a disk, by name. Entries that were lost
// before this process started are missing. Some of those whose disk is not known are called soon.
func (k *memberReconciler) diskEntries(now time.Time) map[string]recovery.Disk {
	m := k.manager.mesh
	records := m.gossip.Members()
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[string]recovery.Disk{}
	var unknown []*peer
	for _, r := range records {
		if !hasDisk(r) {
			continue
		}
		p := m.peers[r.Name]
		disk := recovery.Disk{Member: quorum.Member{Name: r.Name, Address: r.Address}}
		if p != nil {
			disk.Member.Disk = p.facts.Disk
			disk.Left = r.State == membership.Left
			disk.Silent = !p.lastResponse.IsZero() && now.Sub(p.lastResponse) > recovery.GoneTimeout
			if p.facts.Disk == "" && !r.State.Gone() {
				unknown = append(unknown, p)
			}
		}
		out[r.Name] = disk
	}
	m.callUnknownDisks(unknown, now)
	return out
}

// callUnknownDisks calls entries that have not told their disk before their turn, which comes
// after seconds in a large fleet, while a successor has to vote within four. memberChanged
// forgets the disk of an entry's earlier process. The caller holds the lock.
func (m *Mesh) callUnknownDisks(peers []*peer, now time.Time) {
	peers = slices.DeleteFunc(peers, func(p *peer) bool {
		return p.syncing || p.due || p.diskCalls >= maxDiskCalls || now.Sub(p.lastDiskCall) < diskCallInterval
	})
	slices.SortFunc(peers, func(a, b *peer) int {
		return cmp.Or(cmp.Compare(a.diskCalls, b.diskCalls), strings.Compare(a.name, b.name))
	})
	peers = peers[:min(len(peers), maxDiskCallsOnce)]
	for _, p := range peers {
		p.diskCalls++
		p.lastDiskCall = now
	}
	if len(peers) > 0 {
		m.notify(peers, len(peers))
	}
}

// dutiesOf returns the duties that a member reports.
func dutiesOf(r membership.Record) []string { return gossip.Facts(r).GetDuties() }
