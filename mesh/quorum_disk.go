package mesh

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"

	"github.com/jacinthplank/jacinthplank/coord/quorum"
	"github.com/jacinthplank/jacinthplank/coord/recovery"
)

// identityFile is written by package quorum; it exists once a disk was used.
const identityFile = "identity"

// expendableTimeout bounds the question whether a disk may be emptied, during which no start
// is tried.
const expendableTimeout = 2 * memberCallTimeout

// DiskState is the state of an entry's disk as a disk of the quorum.
type DiskState string

// States of a disk.
const (
	DiskNone    DiskState = "none"    // the entry has no disk, or has not used it yet
	DiskBlank   DiskState = "blank"   // waits to learn of a quorum to join
	DiskRunning DiskState = "running" // its member runs
	DiskFailing DiskState = "failing" // reads or writes fail; the start of the member is retried
	DiskRefused DiskState = "refused" // synced data is damaged; emptied once no majority needs it
)

// DiskHealth is the state of an entry's disk and the reason for it.
type DiskHealth struct {
	State DiskState
	Err   error // of the last start or of the running member; nil while it runs
	Kept  error // why a refused disk was not emptied at the last attempt; nil before the first
}

func (h DiskHealth) isSameAs(other DiskHealth) bool {
	return h.State == other.State && errorText(h.Err) == errorText(other.Err) && errorText(h.Kept) == errorText(other.Kept)
}

// diskGauges are 1 for the state that this entry's disk is in and 0 for the others.
var diskGauges = map[DiskState]*metrics.Gauge{
	DiskNone:    metrics.NewGauge(`jacinthplank_mesh_quorum_disk{state="none"}`, nil),
	DiskBlank:   metrics.NewGauge(`jacinthplank_mesh_quorum_disk{state="blank"}`, nil),
	DiskRunning: metrics.NewGauge(`jacinthplank_mesh_quorum_disk{state="running"}`, nil),
	DiskFailing: metrics.NewGauge(`jacinthplank_mesh_quorum_disk{state="failing"}`, nil),
	DiskRefused: metrics.NewGauge(`jacinthplank_mesh_quorum_disk{state="refused"}`, nil),
}

var disksDiscarded = metrics.NewCounter("jacinthplank_mesh_quorum_disks_discarded_total")

// Disk returns the state of this entry's disk.
func (m *Mesh) Disk() DiskHealth {
	m.quorum.mu.Lock()
	defer m.quorum.mu.Unlock()
	return m.quorum.disk
}

// setDiskHealth records the state of the disk and logs a change of it or of its reason.
func (c *quorumManager) setDiskHealth(h DiskHealth) {
	c.mu.Lock()
	before := c.disk
	now := time.Now()
	if before.State != h.State {
		c.diskSince = now
	}
	c.disk = h
	since := c.diskSince
	c.mu.Unlock()
	if before.isSameAs(h) {
		return
	}
	setDiskGauges(h.State)
	c.logDisk(h, before.State, now.Sub(since))
}

func setDiskGauges(current DiskState) {
	for state, gauge := range diskGauges {
		value := 0.0
		if state == current {
			value = 1
		}
		gauge.Set(value)
	}
}

// hasUsedDisk reports whether a quorum member ran on this entry's disk before. It may be a
// voter, which starts at once.
func (c *quorumManager) hasUsedDisk() bool {
	_, err := os.Stat(filepath.Join(c.mesh.options.DataFolder, identityFile))
	return err == nil
}

func (c *quorumManager) startNode(contacts []quorum.Member) bool {
	folder, err := c.openFolder(c.mesh.options.DataFolder)
	if err != nil {
		c.setDiskHealth(DiskHealth{State: DiskFailing, Err: err})
		return false
	}
	o := c.mesh.options
	node, err := quorum.Start(quorum.Options{
		Name: o.Name, Address: o.Address, Members: contacts, Disk: folder,
		StateMachine: c.state, Transport: diskTransport{c.mesh.transport, &c.addresses}, Logger: c.log, Repair: true, FoundByMajority: true,
		PreferAsLeader: func(m quorum.Member) bool { return c.mesh.acceptsRequests(m.Name) },
		LogBytes:       c.logBytes,
		OnRecovered:    c.mesh.noteRecovered,
	})
	switch isRefused := c.refusals.Observe(err); {
	case isRefused:
		c.setDiskHealth(DiskHealth{State: DiskRefused, Err: err, Kept: c.mesh.Disk().Kept})
		return false
	case err != nil:
		c.setDiskHealth(DiskHealth{State: DiskFailing, Err: err})
		return false
	}
	c.mu.Lock()
	c.node, c.contacts = node, contacts
	c.mu.Unlock()
	c.addresses.note(facts{Disk: node.Status().DiskIdentity, Address: o.Address, Incarnation: c.mesh.incarnation})
	c.setDiskHealth(DiskHealth{State: DiskRunning})
	c.log.Info("quorum member started", "step", "mesh.core", "disk", node.Status().DiskIdentity, "members", len(contacts))
	return true
}

// emptyRefusedDisk empties a disk whose synced data is damaged, once the leader confirms that
// a majority holds all committed entries without it, and reports whether it did. The member
// then starts on a new disk and is replaced like one that lost its disk.
func (c *quorumManager) emptyRefusedDisk(ctx context.Context) bool {
	if !c.refusals.MayDiscard() {
		return false
	}
	health := c.mesh.Disk()
	if health.Kept = c.confirmExpendable(ctx); health.Kept == nil {
		health.Kept = c.discardDisk()
	}
	if health.Kept != nil {
		c.setDiskHealth(health)
		return false
	}
	c.refusals = recovery.Refusals{}
	disksDiscarded.Inc()
	c.log.Warn("damaged disk emptied", "step", "mesh.core", "error", errorText(health.Err))
	return true
}

func (c *quorumManager) discardDisk() error {
	c.starting.Lock()
	defer c.starting.Unlock()
	c.mu.Lock()
	c.discarded = true
	c.mu.Unlock()
	folder, err := c.openFolder(c.mesh.options.DataFolder)
	if err != nil {
		return err
	}
	return trace.NewAggregate(quorum.Discard(folder), folder.Close())
}

// confirmExpendable asks the leader whether this entry's disk may be emptied.
func (c *quorumManager) confirmExpendable(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, expendableTimeout)
	defer cancel()
	req := &expendableRequest{Member: c.mesh.options.Name}
	_, err := callMembers(ctx, c, func(ctx context.Context, address string) memberResult[struct{}] {
		if address == c.mesh.options.Address {
			return memberResult[struct{}]{err: errNoQuorum}
		}
		resp, err := callMember(ctx, c.mesh, address, procedureExpendable, c.serveExpendable, req)
		switch {
		case err != nil:
			return silentResult[struct{}](err)
		case resp.Expendable:
			return memberResult[struct{}]{leadership: resp.leadership}
		default:
			return memberResult[struct{}]{err: errors.New(resp.Failure), leadership: resp.leadership}
		}
	})
	return err
}

func (c *quorumManager) serveExpendable(ctx context.Context, req *expendableRequest) (*expendableResponse, error) {
	node := c.currentNode()
	if node == nil {
		return &expendableResponse{leadership: c.leadership(errNoMember), Failure: errNoMember.Error()}, nil
	}
	if err := node.ConfirmExpendable(ctx, req.Member); err != nil {
		return &expendableResponse{leadership: c.leadership(err), Failure: err.Error()}, nil
	}
	return &expendableResponse{Expendable: true, leadership: c.leadership(nil)}, nil
}
