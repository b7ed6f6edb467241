// Package membership keeps the list of members of a fleet without a central
// place and without every member talking to every other.
//
// Each member sends heartbeats to a few watchers, chosen by rendezvous hashing
// so that all members agree on them without talking. What goes along a
// heartbeat, both ways, is only what the other side has not seen yet: at rest
// nothing but a header. A watcher that misses heartbeats suspects the member,
// and a member that most of its watchers suspect is dead. A live member that
// hears so of itself comes back under a higher incarnation.
//
// The package does no input or output: callers carry Message values between
// members and pass the time in.
package membership

import "slices"

// State is what is known of a member's life.
type State uint8

// States, in the order in which one replaces another within an incarnation.
const (
	Alive   State = iota
	Leaving       // takes no new work, finishes what it has
	Dead          // its heartbeats stopped
	Left          // it said good-bye
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"alive", "leaving", "dead", "left"}[s]
}

// Gone reports whether the member is no longer there.
func (s State) Gone() bool { return s >= Dead }

// Record is what is known of one member.
type Record struct {
	Name          string
	Address       string // IP:port
	FailureDomain string
	Watcher       bool   // takes heartbeats of others
	Facts         []byte // opaque to this package
	Incarnation   uint64 // grows with each start
	State         State
	Sequence      uint64   // grows with each change within an incarnation and state
	Suspects      []string // watchers that miss heartbeats, sorted
}

// newer reports whether r replaces o. Equal records are not newer, and neither
// are records that differ in their suspects only: those are joined.
func (r *Record) newer(o *Record) bool {
	if r.Incarnation != o.Incarnation {
		return r.Incarnation > o.Incarnation
	}
	if r.State != o.State {
		return r.State > o.State
	}
	return r.Sequence > o.Sequence
}

// version reports whether r and o are the same version of a member.
func (r *Record) version(o *Record) bool {
	return r.Incarnation == o.Incarnation && r.State == o.State && r.Sequence == o.Sequence
}

// join returns the sorted union of two sorted lists, and whether it is longer
// than the first.
func join(a, b []string) ([]string, bool) {
	out := slices.Clone(a)
	for _, name := range b {
		if i, found := slices.BinarySearch(out, name); !found {
			out = slices.Insert(out, i, name)
		}
	}
	return out, len(out) > len(a)
}

// Message is what one member sends another with a heartbeat, and gets back.
type Message struct {
	From     Record   // the sender itself
	Table    uint64   // identity of the sender's table: positions belong to it
	Head     uint64   // position in the sender's changes after Records
	Records  []Record // changes that the receiver has not acknowledged
	Ack      uint64   // position in the receiver's changes that the sender has
	AckTable uint64   // identity of the table that Ack belongs to
}
