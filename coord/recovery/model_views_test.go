package recovery_test

import (
	"time"

	"github.com/jacinthplank/jacinthplank/coord/quorum"
	"github.com/jacinthplank/jacinthplank/coord/recovery"
)

// syncInterval is the time within which an entry syncs with each other one, in a fleet of 26 entries.
const syncInterval = 1200 * time.Millisecond

// view is what a process knows of another entry. It may be out of date: the disk is the one of
// the last sync, also after that process has ended.
type view struct {
	address      string
	disk         quorum.DiskIdentity
	process      int // that the entry was last heard of with
	left         bool
	lastResponse time.Time
	nextSync     time.Time
}

// meet syncs with the entries that are due.
func (e *entry) meet() {
	now := time.Now()
	if now.Before(e.meetsAt) {
		return
	}
	for _, p := range e.model.peers(e) {
		if p == e || now.Before(p.meetsAt) {
			continue
		}
		own, other := e.diskNow(), p.diskNow()
		delay := e.model.duration(syncInterval)
		e.model.mu.Lock()
		v := e.viewOf(p)
		if now.After(v.nextSync) {
			v.sync(other, now)
			v.nextSync = now.Add(syncInterval/2 + delay)
			p.viewOf(e).sync(own, now)
		}
		e.model.mu.Unlock()
	}
}

// viewOf returns the view of an entry. The first one of a process ends that of the process before
// it, but for the disk. The caller holds the lock of the model.
func (e *entry) viewOf(p *entry) *view {
	v := e.views[p.name]
	if v == nil {
		v = &view{}
		e.views[p.name] = v
	}
	if v.process < p.process {
		v.process, v.left, v.address = p.process, false, p.address
	}
	return v
}

func (v *view) sync(disk quorum.DiskIdentity, now time.Time) {
	v.disk, v.lastResponse = disk, now
}

func (e *entry) diskNow() quorum.DiskIdentity {
	if n := e.currentNode(); n != nil {
		return n.Status().DiskIdentity
	}
	return ""
}

// disks returns the disks of the entries that this one knows.
func (e *entry) disks(now time.Time) map[string]recovery.Disk {
	e.model.mu.Lock()
	defer e.model.mu.Unlock()
	out := map[string]recovery.Disk{}
	for name, v := range e.views {
		out[name] = recovery.Disk{
			Member: quorum.Member{Name: name, Address: v.address, Disk: v.disk},
			Left:   v.left, Silent: now.Sub(v.lastResponse) > recovery.GoneTimeout,
		}
	}
	return out
}

// leave ends a process as SIGTERM does: the leadership is handed over, requests end, and the
// others are told.
func (e *entry) leave() {
	if n := e.currentNode(); n != nil {
		n.TransferLeadership()
	}
	time.Sleep(e.model.duration(2 * time.Second))
	for _, p := range e.model.peers(e) {
		e.model.mu.Lock()
		if p != e {
			p.viewOf(e).left = true
		}
		e.model.mu.Unlock()
	}
	e.kill(false)
}
