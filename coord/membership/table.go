package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Options configures a Table.
type Options struct {
	Self      Record
	Timeout   time.Duration // time without a heartbeat after which a watcher suspects a member
	Retention time.Duration // how long records of gone members are kept
	Watchers  int           // watchers per member
}

// Defaults for Options.
const (
	DefaultTimeout   = 3 * time.Second
	DefaultRetention = 30 * time.Minute
	DefaultWatchers  = 3
)

// maxRecords limits the number of records in one message.
const maxRecords = 512

// maxNumber is the highest incarnation or sequence that is received. A member exceeds what
// others tell of it in order to refute it, which has to stay possible.
const maxNumber = 1 << 63

// refuteInterval is the minimum time between refutations of suspicions that have
// no majority.
const refuteInterval = 30 * time.Second

// Table is one member's view of all members. It is not safe for concurrent use.
//
// Invariants: the latest change of every record appears exactly once in changes;
// positions in changes increase; a record is replaced only by a newer one.
type Table struct {
	options         Options
	identity        uint64
	records         map[string]*entry
	changes         []change
	head            uint64
	peers           map[string]*peer
	watchedSince    map[string]time.Time // start of watching, by name of the watched member
	watchersChanged bool                 // the set of watchers has changed since the last refreshWatched
	changedMembers  []string             // members other than watchers that have appeared or disappeared since the last refreshWatched
	lastReceived    time.Time            // last message from any member
	lastRefuted     time.Time
}

// entry is a record with bookkeeping local to this table.
type entry struct {
	Record
	position  uint64    // of its latest change
	source    string    // peer that sent the record; empty for local changes
	lastHeard time.Time // last message from the member itself
	hash      uint64    // of the name
	goneSince time.Time // when it was first found gone; zero while it is not
}

type change struct {
	position uint64
	name     string
}

// peer is the synchronization progress between this table and another.
type peer struct {
	identity uint64 // of the peer's table
	seen     uint64 // position up to which this table has the peer's changes
	acked    uint64 // position up to which the peer has this table's changes
}

// Change reports that a member's record was added or replaced.
type Change struct {
	Before *Record // nil for a new member
	After  Record
}

// New returns a table that contains only the member itself. The incarnation of
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
		options:      o,
		identity:     o.Self.Incarnation,
		records:      map[string]*entry{},
		peers:        map[string]*peer{},
		watchedSince: map[string]time.Time{},
	}
	t.put(o.Self, "")
	return t
}

// Self returns the member's own record.
func (t *Table) Self() Record { return t.records[t.options.Self.Name].Record }

// Get returns the record of the named member.
func (t *Table) Get(name string) (Record, bool) {
	e, ok := t.records[name]
	if !ok {
		return Record{}, false
	}
	return e.Record, true
}

// Members returns all known members, including those that are gone, sorted by
// name.
func (t *Table) Members() []Record {
	out := make([]Record, 0, len(t.records))
	for _, e := range t.records {
		out = append(out, e.Record)
	}
	slices.SortFunc(out, func(a, b Record) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Head returns the position of the latest change. It increases with every change
// of the table.
func (t *Table) Head() uint64 { return t.head }

// SetFacts replaces the facts that the member publishes about itself.
func (t *Table) SetFacts(facts []byte) {
	self := t.Self()
	self.Facts = facts
	self.Sequence++
	t.put(self, "")
}

// SetState advances the member's own state to Leaving or Left. The state never
// goes back within an incarnation.
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
		// The member must see this record to be able to refute it.
		m.Records = append(m.Records, e.Record)
	}
	return m
}

// Receive processes a message and returns the resulting changes. If the message
// was a request, the caller responds with Prepare(m.From.Name).
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
	if e := t.records[m.From.Name]; e != nil { // it may be new and have a number out of range
		e.lastHeard = now
	}
	t.lastReceived = now
	return changes
}

// ResetPeer discards the synchronization progress with a peer, for use after a
// malformed response.
func (t *Table) ResetPeer(name string) { delete(t.peers, name) }

func (t *Table) peer(name string) *peer {
	p := t.peers[name]
	if p == nil {
		p = &peer{}
		t.peers[name] = p
	}
	return p
}

// merge applies one received record to the table.
func (t *Table) merge(changes []Change, r Record, source string, now time.Time) []Change {
	if r.Incarnation > maxNumber || r.Sequence > maxNumber {
		return changes
	}
	r.Suspects = slices.Compact(slices.Sorted(slices.Values(r.Suspects))) // as union expects of both lists
	if r.Name == t.options.Self.Name {
		return t.refute(changes, r, now)
	}
	old := t.records[r.Name]
	switch {
	case old == nil || r.newer(&old.Record):
		return append(changes, t.put(r, source))
	case r.sameVersion(&old.Record):
		suspects, added := union(old.Suspects, r.Suspects)
		if !added {
			return changes
		}
		merged := old.Record
		merged.Suspects = suspects
		if len(suspects) > len(r.Suspects) {
			source = "" // the peer does not have all suspects, so the record must be sent to it
		}
		return append(changes, t.put(merged, source))
	default:
		return changes
	}
}

// refute handles a record of this member received from another. If it says that
// this member is gone, the incarnation is raised; if it contains suspicions, the
// sequence is raised.
func (t *Table) refute(changes []Change, r Record, now time.Time) []Change {
	self := t.Self()
	if r.Incarnation < self.Incarnation || self.State == Left {
		return changes
	}
	switch {
	case r.Incarnation > self.Incarnation || (r.State.Gone() && r.State > self.State):
		self.Incarnation = r.Incarnation + 1
		self.Sequence++
	case len(r.Suspects) > 0 && r.Sequence >= self.Sequence && now.Sub(t.lastRefuted) >= refuteInterval:
		t.lastRefuted = now
		self.Sequence = r.Sequence + 1
	default:
		return changes
	}
	self.Suspects = nil
	return append(changes, t.put(self, ""))
}

// put stores r and appends it to the change log.
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
	t.recordTopologyChange(out)
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

// recordTopologyChange records changes that affect which members this one
// watches.
func (t *Table) recordTopologyChange(c Change) {
	isPresent := !c.After.State.Gone()
	wasPresent := c.Before != nil && !c.Before.State.Gone()
	wasWatcher := wasPresent && c.Before.Watcher
	isWatcher := isPresent && c.After.Watcher
	if wasWatcher != isWatcher {
		t.watchersChanged = true
		return
	}
	if wasPresent != isPresent {
		t.changedMembers = append(t.changedMembers, c.After.Name)
	}
}

// compact removes changes superseded by a later change of the same member.
func (t *Table) compact() {
	t.changes = slices.DeleteFunc(t.changes, func(c change) bool {
		e := t.records[c.name]
		return e == nil || e.position != c.position
	})
}

// changesAfter returns the changes after a position that were not received from
// the peer itself, and the position up to which they are complete.
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
