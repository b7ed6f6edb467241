// Package membership implements decentralized fleet membership and failure
// detection without all-to-all heartbeats.
//
// Each member sends heartbeats to a few watchers. Watchers are assigned by
// rendezvous hashing, so members agree on them without coordination. A heartbeat
// and its response carry only records that the other side has not seen yet; once
// the fleet has converged they consist of a header only. A watcher that misses
// heartbeats suspects the member, and a member suspected by a majority of its
// watchers is marked dead. A live member that learns it was marked dead refutes
// this by raising its incarnation.
//
// The package does no I/O: callers transport Message values between members and
// pass in the current time.
package membership

import "slices"

// State is the lifecycle state of a member.
type State uint8

// States, in order of precedence: within an incarnation a later state replaces
// an earlier one.
const (
	Alive   State = iota
	Leaving       // draining: accepts no new work, completes accepted work
	Dead          // its heartbeats stopped
	Left          // left the fleet deliberately
)

func (s State) String() string {
	return [...]string{"alive", "leaving", "dead", "left"}[s]
}

// Gone reports whether the member is dead or has left.
func (s State) Gone() bool { return s >= Dead }

// Record describes one member.
type Record struct {
	Name          string
	Address       string // IP:port
	FailureDomain string
	Watcher       bool   // accepts heartbeats from other members
	Facts         []byte // opaque to this package
	Incarnation   uint64 // increases with each start
	State         State
	Sequence      uint64   // increases with each change within an incarnation and state
	Suspects      []string // watchers that miss heartbeats, sorted
}

// newer reports whether r replaces o. Equal records are not newer, and neither
// are records that differ only in Suspects: their suspects are merged instead.
func (r *Record) newer(o *Record) bool {
	if r.Incarnation != o.Incarnation {
		return r.Incarnation > o.Incarnation
	}
	if r.State != o.State {
		return r.State > o.State
	}
	return r.Sequence > o.Sequence
}

// sameVersion reports whether r and o are the same version of a member.
func (r *Record) sameVersion(o *Record) bool {
	return r.Incarnation == o.Incarnation && r.State == o.State && r.Sequence == o.Sequence
}

// union returns the sorted union of two sorted lists, and whether it is longer
// than a.
func union(a, b []string) ([]string, bool) {
	out := slices.Clone(a)
	for _, name := range b {
		if i, found := slices.BinarySearch(out, name); !found {
			out = slices.Insert(out, i, name)
		}
	}
	return out, len(out) > len(a)
}

// Message is the content of a heartbeat and of its response.
type Message struct {
	From     Record   // of the sender
	Table    uint64   // identity of the sender's table, which scopes its positions
	Head     uint64   // position in the sender's change log after Records
	Records  []Record // changes that the receiver has not acknowledged
	Ack      uint64   // position up to which the sender has the receiver's changes
	AckTable uint64   // identity of the table that Ack refers to
}
