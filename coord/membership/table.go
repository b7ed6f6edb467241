package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Options are the settings of a Table.
type Options struct {
	Self      Record
	Timeout   time.Duration // time without a heartbeat after which a watcher suspects
	Retention time.Duration // time for which members that are gone are remembered
	Watchers  int           // watchers for each member
}

// Defaults of Options.
const (
	DefaultTimeout   = 3 * time.Second
	DefaultRetention = 30 * time.Minute
	DefaultWatchers  = 3
)

// maxRecords bounds the records of one message.
const maxRecords = 512

// refuteInterval is the least time between two refutals of a suspicion that has
// no majority.
const refuteInterval = 30 * time.Second

// Table is one member's knowledge of all members. It is not safe for concurrent
// use.
//
// Invariants: every record's latest change stands exactly once in changes;
// positions in changes grow; a record is replaced only by a newer one.
type Table struct {
	options   Options
	identity  uint64
	records   map[string]*entry
	changes   []change
	head      uint64
	peers     map[string]*peer
	watched   map[string]time.Time // members that this one watches, since when
	stale     bool                 // the set of watchers has changed since watched was worked out
	moved     []string             // other members that came or went since
	exchanged time.Time            // last answer of any partner
	refuted   time.Time
}

// entry is a record with what only this table knows of it.
type entry struct {
	Record
	position uint64    // of its latest change
	source   string    // peer that told of it
	heard    time.Time // last message from the member itself
	hash     uint64    // of the name
	gone     time.Time // when it was first known to be gone
}

type change struct {
	position uint64
	name     string
}

// peer is how far two tables have told each other.
type peer struct {
	identity uint64 // of the peer's table
	seen     uint64 // position in the peer's changes that this table has
	acked    uint64 // position in this table's changes that the peer has
}

// Change tells that a member's record is new or was replaced.
type Change struct {
	Before *Record // nil when the member was not known
	After  Record
}

// New returns a table that knows its own member only. The incarnation of
// Options.Self must be higher than that of any earlier start.
func New(o Options) *Table {
	if o.Timeout <= 0 {
		o.Timeout = DefaultTimeout
	}
	if o.Retention <= 0 {
		o.Retention = DefaultRetention
	}
	if o.Watchers <= 0 {
		o.Watchers = DefaultWatchers
	}
	t := &Table{
		options:  o,
		identity: o.Self.Incarnation,
		records:  map[string]*entry{},
		peers:    map[string]*peer{},
		watched:  map[string]time.Time{},
	}
	t.put(o.Self, "")
	return t
}

// Self returns the member's own record.
func (t *Table) Self() Record { return t.records[t.options.Self.Name].Record }

// Get returns the record of a member.
func (t *Table) Get(name string) (Record, bool) {
	e, ok := t.records[name]
	if !ok {
		return Record{}, false
	}
	return e.Record, true
}

// Members returns every known member by name, those that are gone included.
func (t *Table) Members() []Record {
	out := make([]Record, 0, len(t.records))
	for _, e := range t.records {
		out = append(out, e.Record)
	}
	slices.SortFunc(out, func(a, b Record) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Head grows with every change of the table.
func (t *Table) Head() uint64 { return t.head }

// SetFacts replaces what the member tells of itself.
func (t *Table) SetFacts(facts []byte) {
	self := t.Self()
	self.Facts = facts
	self.Sequence++
	t.put(self, "")
}

// SetState moves the member's own state on, to Leaving or Left. It never moves
// back within an incarnation.
func (t *Table) SetState(s State) {
	self := t.Self()
	if s <= self.State {
		return
	}
	self.State = s
	self.Sequence++
	t.put(self, "")
}

// Prepare returns the message to send to a member.
func (t *Table) Prepare(to string) Message {
	p := t.peer(to)
	m := Message{From: t.Self(), Table: t.identity, Ack: p.seen, AckTable: p.identity}
	m.Records, m.Head = t.changesAfter(p.acked, to)
	if e := t.records[to]; e != nil && (e.State.Gone() || len(e.Suspects) > 0) {
		// The member has to hear of it to be able to refute it.
		m.Records = append(m.Records, e.Record)
	}
	return m
}

// Receive takes a message and returns what it changed. Whoever got the message
// as a request answers with Prepare(m.From.Name).
func (t *Table) Receive(m Message, now time.Time) []Change {
	p := t.peer(m.From.Name)
	if p.identity != m.Table {
		*p = peer{identity: m.Table}
	}
	if m.AckTable == t.identity && m.Ack <= t.head {
		p.acked = max(p.acked, m.Ack)
	}
	var changes []Change
	for _, r := range append([]Record{m.From}, m.Records...) {
		changes = t.merge(changes, r, m.From.Name, now)
	}
	p.seen = max(p.seen, m.Head)
	t.records[m.From.Name].heard = now
	t.exchanged = now
	return changes
}

// Lost forgets how far a peer was told, for when an answer was not understood.
func (t *Table) Lost(name string) { delete(t.peers, name) }

func (t *Table) peer(name string) *peer {
	p := t.peers[name]
	if p == nil {
		p = &peer{}
		t.peers[name] = p
	}
	return p
}

// merge takes one record into the table.
func (t *Table) merge(changes []Change, r Record, source string, now time.Time) []Change {
	if r.Name == t.options.Self.Name {
		return t.refute(changes, r, now)
	}
	old := t.records[r.Name]
	switch {
	case old == nil || r.newer(&old.Record):
		return append(changes, t.put(r, source))
	case r.version(&old.Record):
		suspects, more := join(old.Suspects, r.Suspects)
		if !more {
			return changes
		}
		joined := old.Record
		joined.Suspects = suspects
		if len(suspects) > len(r.Suspects) {
			source = "" // the peer doesn't know all of them
		}
		return append(changes, t.put(joined, source))
	default:
		return changes
	}
}

// refute answers what others say of this member. One said to be gone comes back
// under a higher incarnation; a suspicion is answered by a higher sequence.
func (t *Table) refute(changes []Change, r Record, now time.Time) []Change {
	self := t.Self()
	if r.Incarnation < self.Incarnation || self.State == Left {
		return changes
	}
	switch {
	case r.Incarnation > self.Incarnation || (r.State.Gone() && r.State > self.State):
		self.Incarnation = r.Incarnation + 1
		self.Sequence++
	case len(r.Suspects) > 0 && r.Sequence >= self.Sequence && now.Sub(t.refuted) >= refuteInterval:
		t.refuted = now
		self.Sequence = r.Sequence + 1
	default:
		return changes
	}
	self.Suspects = nil
	return append(changes, t.put(self, ""))
}

// put stores r as the latest change.
func (t *Table) put(r Record, source string) Change {
	out := Change{After: r}
	e := t.records[r.Name]
	if e == nil {
		e = &entry{hash: xxhash.Sum64String(r.Name)}
		t.records[r.Name] = e
	} else {
		before := e.Record
		out.Before = &before
	}
	t.noteMove(out)
	t.head++
	e.Record = r
	e.position = t.head
	e.source = source
	t.changes = append(t.changes, change{t.head, r.Name})
	if len(t.changes) > 2*len(t.records)+maxRecords {
		t.compact()
	}
	return out
}

// noteMove notes a change that calls for another look at who watches whom.
func (t *Table) noteMove(c Change) {
	there := !c.After.State.Gone()
	was := c.Before != nil && !c.Before.State.Gone()
	watched := was && c.Before.Watcher
	watches := there && c.After.Watcher
	if watched != watches {
		t.stale = true
		return
	}
	if was != there {
		t.moved = append(t.moved, c.After.Name)
	}
}

// compact drops changes that a later change of the same member replaced.
func (t *Table) compact() {
	t.changes = slices.DeleteFunc(t.changes, func(c change) bool {
		e := t.records[c.name]
		return e == nil || e.position != c.position
	})
}

// changesAfter returns the changes after a position that did not come from the
// peer itself, and the position that they reach.
func (t *Table) changesAfter(after uint64, to string) ([]Record, uint64) {
	first, _ := slices.BinarySearchFunc(t.changes, after+1, func(c change, position uint64) int {
		return int(int64(c.position) - int64(position))
	})
	var out []Record
	reached := after
	for _, c := range t.changes[first:] {
		e := t.records[c.name]
		if e == nil || e.position != c.position || e.source == to || c.name == to || c.name == t.options.Self.Name {
			continue
		}
		if len(out) == maxRecords {
			return out, reached
		}
		out = append(out, e.Record)
		reached = c.position
	}
	return out, t.head
}
