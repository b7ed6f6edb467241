// Package ledger accounts for every block of one engine's memory. Blocks are
// assigned to attempts by leases with a deadline. The ledger is a pure state
// machine: it takes the time as an argument and does no I/O. Its owner calls the
// engine and reports the results to the ledger.
//
// A lease is Reserved, then Committed when the attempt is passed to the engine,
// then Releasing when the attempt has ended. It is freed only when the engine
// confirms the release or no longer lists the attempt. Every step is idempotent by
// the attempt's key. Freed keys are retained, so that late messages neither free
// memory twice nor reserve it again.
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

// States of a lease, in order.
const (
	Reserved  State = iota // memory is set aside; the engine has not been called
	Committed              // the attempt was passed to the engine
	Releasing              // the attempt has ended; the engine has not confirmed the release
)

// Lease is the memory assigned to one attempt.
type Lease struct {
	Key      engine.Key
	Blocks   int
	Deadline time.Time
	State    State
}

// Config configures a Ledger.
type Config struct {
	Blocks            int           // memory blocks of the engine
	OrphanGrace       time.Duration // age at which memory without a lease is freed
	FreedKeyRetention time.Duration // how long freed keys are retained
}

// Ledger tracks the memory of one engine. It is not safe for concurrent use.
type Ledger struct {
	cfg      Config
	leases   map[engine.Key]*Lease
	orphans  map[engine.Key]*orphan
	freed    map[engine.Key]time.Time
	freedLog []freedRecord // all records of freed, oldest first
	used     int           // blocks held by leases
	orphaned int           // blocks held by orphans
}

// freedRecord records when a key was freed.
type freedRecord struct {
	key engine.Key
	at  time.Time
}

// orphan is memory that the engine holds without a lease.
type orphan struct {
	blocks int
	since  time.Time
}

// New returns a Ledger for an engine that holds no memory.
func New(cfg Config) *Ledger {
	return &Ledger{
		cfg:     cfg,
		leases:  make(map[engine.Key]*Lease),
		orphans: make(map[engine.Key]*orphan),
		freed:   make(map[engine.Key]time.Time),
	}
}

// Free returns the number of blocks that can be reserved. It is never negative.
func (l *Ledger) Free() int { return max(l.cfg.Blocks-l.used-l.orphaned, 0) }

// Used returns the number of blocks held by leases.
func (l *Ledger) Used() int { return l.used }

// Orphaned returns the number of blocks that the engine holds without a lease.
func (l *Ledger) Orphaned() int { return l.orphaned }

// Lease returns the lease of k, and whether there is one.
func (l *Ledger) Lease(k engine.Key) (Lease, bool) {
	lease := l.leases[k]
	if lease == nil {
		return Lease{}, false
	}
	return *lease, true
}

// Reserve reserves blocks for k until deadline. A repeated call for the same key
// and number of blocks only extends the deadline. A key that was released is
// refused while it is retained.
func (l *Ledger) Reserve(k engine.Key, blocks int, deadline time.Time) error {
	if _, freed := l.freed[k]; freed {
		return outcome.Refuse(outcome.CodeConflict, step, "attempt %d of request %s was already released", k.Attempt, k.Request)
	}
	if lease := l.leases[k]; lease != nil {
		return l.extend(lease, blocks, deadline)
	}
	if l.orphans[k] != nil {
		return outcome.Refuse(outcome.CodeConflict, step, "the engine still holds memory of attempt %d of request %s", k.Attempt, k.Request)
	}
	if blocks > l.Free() {
		return outcome.Refuse(outcome.CodeMemoryReserved, step, "%d blocks requested, %d free", blocks, l.Free())
	}
	l.leases[k] = &Lease{Key: k, Blocks: blocks, Deadline: deadline}
	l.used += blocks
	return nil
}

func (l *Ledger) extend(lease *Lease, blocks int, deadline time.Time) error {
	if lease.State == Releasing || lease.Blocks != blocks {
		return outcome.Refuse(outcome.CodeConflict, step, "attempt %d of request %s holds a different lease", lease.Key.Attempt, lease.Key.Request)
	}
	if deadline.After(lease.Deadline) {
		lease.Deadline = deadline
	}
	return nil
}

// Commit records that the attempt is about to be passed to the engine. It reports
// whether k holds a lease that is not being released; the engine may be called
// only if it does.
func (l *Ledger) Commit(k engine.Key) bool {
	lease := l.leases[k]
	if lease == nil || lease.State == Releasing {
		return false
	}
	lease.State = Committed
	return true
}

// Release ends a lease. A lease that was not committed is freed immediately.
// Release reports whether the engine must still cancel the attempt.
func (l *Ledger) Release(k engine.Key, now time.Time) (cancel bool) {
	lease := l.leases[k]
	if lease == nil {
		l.blockKey(k, now)
		return false
	}
	if lease.State == Reserved {
		l.free(k, now)
		return false
	}
	lease.State = Releasing
	return true
}

// blockKey records k, which has no lease, as freed, so that a late Reserve is
// refused.
func (l *Ledger) blockKey(k engine.Key, now time.Time) {
	if _, known := l.freed[k]; !known {
		l.recordFreed(k, now)
	}
}

func (l *Ledger) recordFreed(k engine.Key, now time.Time) {
	l.freed[k] = now
	l.freedLog = append(l.freedLog, freedRecord{k, now})
}

// prune removes the freed keys whose retention period has passed.
func (l *Ledger) prune(now time.Time) {
	expired := 0
	for _, record := range l.freedLog {
		if now.Sub(record.at) < l.cfg.FreedKeyRetention {
			break
		}
		if l.freed[record.key].Equal(record.at) {
			delete(l.freed, record.key)
		}
		expired++
	}
	l.freedLog = l.freedLog[expired:]
}

// Confirm records that the engine no longer holds memory for k. It is idempotent.
func (l *Ledger) Confirm(k engine.Key, now time.Time) {
	l.dropOrphan(k)
	if l.leases[k] != nil {
		l.free(k, now)
	}
}

func (l *Ledger) free(k engine.Key, now time.Time) {
	l.used -= l.leases[k].Blocks
	delete(l.leases, k)
	l.recordFreed(k, now)
}

// Expire releases the leases whose deadline has passed, and removes freed keys
// whose retention period has passed. It returns the keys that the engine must
// cancel.
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

// Releasing returns the keys whose release the engine has not yet confirmed.
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

// Reconcile compares the ledger with the holdings that the engine listed. releasing
// holds the keys that were being released before the engine was queried: those
// that it does not list are freed. Listed memory without a lease becomes an
// orphan. Reconcile returns the keys that the engine must cancel: releasing keys
// that it still lists, and orphans older than the grace period.
func (l *Ledger) Reconcile(releasing []engine.Key, holdings []engine.Holding, now time.Time) (overdue []engine.Key) {
	listed := make(map[engine.Key]int, len(holdings))
	for _, h := range holdings {
		listed[h.Key] += h.Blocks
	}
	for _, k := range releasing {
		lease := l.leases[k]
		if lease == nil || lease.State != Releasing {
			continue
		}
		if _, found := listed[k]; found {
			overdue = append(overdue, k)
			continue
		}
		l.free(k, now)
	}
	for k := range l.orphans {
		if _, found := listed[k]; !found {
			l.dropOrphan(k)
		}
	}
	for k, blocks := range listed {
		if l.leases[k] == nil && l.recordOrphan(k, blocks, now) {
			overdue = append(overdue, k)
		}
	}
	sortKeys(overdue)
	return overdue
}

// recordOrphan adds or updates an orphan and reports whether its grace period is
// over.
func (l *Ledger) recordOrphan(k engine.Key, blocks int, now time.Time) bool {
	o := l.orphans[k]
	if o == nil {
		o = &orphan{since: now}
		l.orphans[k] = o
	}
	l.orphaned += blocks - o.blocks
	o.blocks = blocks
	return now.Sub(o.since) >= l.cfg.OrphanGrace
}

func (l *Ledger) dropOrphan(k engine.Key) {
	if o := l.orphans[k]; o != nil {
		l.orphaned -= o.blocks
		delete(l.orphans, k)
	}
}

// NextDeadline returns the earliest deadline of the leases that are not releasing,
// or the zero time when there is none.
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
