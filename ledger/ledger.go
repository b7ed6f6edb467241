// Package ledger accounts for every block of one engine's memory. Each piece
// belongs to one attempt by a lease with a deadline. The ledger is a pure state
// machine: it takes the time as an argument and does no I/O; its owner calls the
// engine and tells what came of it.
//
// A lease is reserved, then committed when the engine is given the attempt, then
// releasing when the attempt is over, and is freed only when the engine confirms
// it or no longer lists it. Every step is idempotent by the attempt's key. A
// freed key is remembered, so that late messages neither free it twice nor bring
// it back.
package ledger

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/outcome"
)

const step = "endpoint.ledger"

// State is the state of a lease.
type State uint8

// States of a lease, in the order in which it passes them.
const (
	Reserved  State = iota // promised, the engine knows nothing of it
	Committed              // the engine was given the attempt
	Releasing              // over, not yet confirmed by the engine
)

// Lease is memory that belongs to one attempt.
type Lease struct {
	Key      engine.Key
	Blocks   int
	Deadline time.Time
	State    State
}

// Config bounds a ledger.
type Config struct {
	Blocks      int           // memory blocks of the engine
	OrphanGrace time.Duration // age at which memory that no lease explains is freed
	Remember    time.Duration // how long freed keys are remembered
}

// Ledger is the account of one engine's memory. It is not safe for concurrent
// use.
type Ledger struct {
	cfg     Config
	leases  map[engine.Key]*Lease
	orphans map[engine.Key]*orphan
	freed   map[engine.Key]time.Time
	order   []freedKey // every note of freed, oldest first
	used    int        // blocks of leases
	strayed int        // blocks of orphans
}

// freedKey is one note that a key was freed.
type freedKey struct {
	key engine.Key
	at  time.Time
}

// orphan is memory that the engine holds without a lease.
type orphan struct {
	blocks int
	since  time.Time
}

// New returns the ledger of an empty engine.
func New(cfg Config) *Ledger {
	return &Ledger{
		cfg:     cfg,
		leases:  make(map[engine.Key]*Lease),
		orphans: make(map[engine.Key]*orphan),
		freed:   make(map[engine.Key]time.Time),
	}
}

// Free returns the blocks that can be reserved. It is never negative.
func (l *Ledger) Free() int { return max(l.cfg.Blocks-l.used-l.strayed, 0) }

// Used returns the blocks of all leases.
func (l *Ledger) Used() int { return l.used }

// Orphaned returns the blocks that the engine holds without a lease.
func (l *Ledger) Orphaned() int { return l.strayed }

// Lease returns the lease of k.
func (l *Ledger) Lease(k engine.Key) (Lease, bool) {
	lease := l.leases[k]
	if lease == nil {
		return Lease{}, false
	}
	return *lease, true
}

// Reserve promises blocks to k until deadline. A second call for the same key
// and blocks changes nothing but a later deadline. A key that was released is
// refused for good.
func (l *Ledger) Reserve(k engine.Key, blocks int, deadline time.Time) error {
	if _, gone := l.freed[k]; gone {
		return outcome.Refuse(outcome.CodeConflict, step, "attempt %d of %s was released", k.Attempt, k.Request)
	}
	if lease := l.leases[k]; lease != nil {
		return l.extend(lease, blocks, deadline)
	}
	if l.orphans[k] != nil {
		return outcome.Refuse(outcome.CodeConflict, step, "the engine still holds attempt %d of %s", k.Attempt, k.Request)
	}
	if blocks > l.Free() {
		return outcome.Refuse(outcome.CodeMemoryReserved, step, "%d blocks asked, %d free", blocks, l.Free())
	}
	l.leases[k] = &Lease{Key: k, Blocks: blocks, Deadline: deadline}
	l.used += blocks
	return nil
}

func (l *Ledger) extend(lease *Lease, blocks int, deadline time.Time) error {
	if lease.State == Releasing || lease.Blocks != blocks {
		return outcome.Refuse(outcome.CodeConflict, step, "attempt %d of %s holds another lease", lease.Key.Attempt, lease.Key.Request)
	}
	if deadline.After(lease.Deadline) {
		lease.Deadline = deadline
	}
	return nil
}

// Commit notes that the engine is given the attempt. It reports whether k holds
// a lease that is not being released; only then may the engine be called.
func (l *Ledger) Commit(k engine.Key) bool {
	lease := l.leases[k]
	if lease == nil || lease.State == Releasing {
		return false
	}
	lease.State = Committed
	return true
}

// Release ends a lease. One that was never committed is freed at once; it
// reports whether the engine must still be told to cancel.
func (l *Ledger) Release(k engine.Key, now time.Time) (cancel bool) {
	lease := l.leases[k]
	if lease == nil {
		l.forget(k, now)
		return false
	}
	if lease.State == Reserved {
		l.free(k, now)
		return false
	}
	lease.State = Releasing
	return true
}

// forget notes that k may never reserve, unless the engine holds it already.
func (l *Ledger) forget(k engine.Key, now time.Time) {
	if _, known := l.freed[k]; !known {
		l.remember(k, now)
	}
}

func (l *Ledger) remember(k engine.Key, now time.Time) {
	l.freed[k] = now
	l.order = append(l.order, freedKey{k, now})
}

// prune forgets the keys that were freed long ago.
func (l *Ledger) prune(now time.Time) {
	old := 0
	for _, f := range l.order {
		if now.Sub(f.at) < l.cfg.Remember {
			break
		}
		if l.freed[f.key].Equal(f.at) {
			delete(l.freed, f.key)
		}
		old++
	}
	l.order = l.order[old:]
}

// Confirm notes that the engine holds nothing for k any longer. It is
// idempotent.
func (l *Ledger) Confirm(k engine.Key, now time.Time) {
	l.dropOrphan(k)
	if l.leases[k] != nil {
		l.free(k, now)
	}
}

func (l *Ledger) free(k engine.Key, now time.Time) {
	l.used -= l.leases[k].Blocks
	delete(l.leases, k)
	l.remember(k, now)
}

// Expire ends the leases whose deadline has passed and forgets keys that were
// freed long ago. It returns the keys that the engine must be told to cancel.
func (l *Ledger) Expire(now time.Time) []engine.Key {
	var cancel []engine.Key
	for k, lease := range l.leases {
		if now.Before(lease.Deadline) || lease.State == Releasing {
			continue
		}
		if l.Release(k, now) {
			cancel = append(cancel, k)
		}
	}
	l.prune(now)
	sortKeys(cancel)
	return cancel
}

// Releasing returns the keys whose release the engine has not confirmed.
func (l *Ledger) Releasing() []engine.Key {
	var keys []engine.Key
	for k, lease := range l.leases {
		if lease.State == Releasing {
			keys = append(keys, k)
		}
	}
	sortKeys(keys)
	return keys
}

// Reconcile compares the ledger with what the engine lists. asked holds the
// releasing keys from before the engine was asked: of those, the ones that it
// does not list are freed. Memory that no lease explains becomes an orphan. It
// returns what the engine must be told to cancel: releasing keys that it still
// lists and orphans older than the grace.
func (l *Ledger) Reconcile(asked []engine.Key, held []engine.Holding, now time.Time) (overdue []engine.Key) {
	listed := make(map[engine.Key]int, len(held))
	for _, h := range held {
		listed[h.Key] += h.Blocks
	}
	for _, k := range asked {
		lease := l.leases[k]
		if lease == nil || lease.State != Releasing {
			continue
		}
		if _, there := listed[k]; there {
			overdue = append(overdue, k)
			continue
		}
		l.free(k, now)
	}
	for k := range l.orphans {
		if _, there := listed[k]; !there {
			l.dropOrphan(k)
		}
	}
	for k, blocks := range listed {
		if l.leases[k] == nil && l.stray(k, blocks, now) {
			overdue = append(overdue, k)
		}
	}
	sortKeys(overdue)
	return overdue
}

// stray notes an orphan and reports whether its grace is over.
func (l *Ledger) stray(k engine.Key, blocks int, now time.Time) bool {
	o := l.orphans[k]
	if o == nil {
		o = &orphan{since: now}
		l.orphans[k] = o
	}
	l.strayed += blocks - o.blocks
	o.blocks = blocks
	return now.Sub(o.since) >= l.cfg.OrphanGrace
}

func (l *Ledger) dropOrphan(k engine.Key) {
	if o := l.orphans[k]; o != nil {
		l.strayed -= o.blocks
		delete(l.orphans, k)
	}
}

// NextDeadline returns the earliest deadline of a lease that is not releasing,
// the zero time when there is none.
func (l *Ledger) NextDeadline() time.Time {
	var next time.Time
	for _, lease := range l.leases {
		if lease.State != Releasing && (next.IsZero() || lease.Deadline.Before(next)) {
			next = lease.Deadline
		}
	}
	return next
}

func sortKeys(keys []engine.Key) {
	slices.SortFunc(keys, func(a, b engine.Key) int {
		return cmp.Or(strings.Compare(a.Request, b.Request), cmp.Compare(a.Attempt, b.Attempt))
	})
}
