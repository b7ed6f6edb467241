package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Partners returns the names of the members that this one sends heartbeats to:
// its watchers.
func (t *Table) Partners() []string {
	return rank(t.options.Self.Name, t.watchers(), t.options.Watchers)
}

// Expire suspects the watched members whose heartbeats stopped, marks as dead
// those that most of their watchers suspect, and forgets those that have long
// been gone. It returns the changes.
//
// A member that hears from none of its own partners holds its judgement: it is
// more likely cut off itself.
func (t *Table) Expire(now time.Time) []Change {
	t.rewatch(now)
	var changes []Change
	if !t.cutOff(now) {
		changes = t.suspect(changes, now)
	}
	changes = t.bury(changes)
	t.forget(now)
	return changes
}

func (t *Table) cutOff(now time.Time) bool {
	return len(t.Partners()) > 0 && now.Sub(t.exchanged) > t.options.Timeout
}

// suspect adds this member's suspicion where heartbeats are missing.
func (t *Table) suspect(changes []Change, now time.Time) []Change {
	self := t.options.Self.Name
	for name, since := range t.watched {
		e := t.records[name]
		last := e.heard
		if since.After(last) {
			last = since
		}
		if e.State.Gone() || now.Sub(last) <= t.options.Timeout {
			continue
		}
		suspects, more := join(e.Suspects, []string{self})
		if !more {
			continue
		}
		r := e.Record
		r.Suspects = suspects
		changes = append(changes, t.put(r, ""))
	}
	return changes
}

// bury marks as dead the members that most of their watchers suspect.
func (t *Table) bury(changes []Change) []Change {
	watchers := t.watchers()
	for _, e := range t.records {
		if e.State.Gone() || len(e.Suspects) == 0 {
			continue
		}
		mine := rank(e.Name, watchers, t.options.Watchers)
		if 2*countIn(e.Suspects, mine) <= len(mine) {
			continue
		}
		r := e.Record
		r.State = Dead
		changes = append(changes, t.put(r, ""))
	}
	return changes
}

// forget drops members that have been gone for the retention time.
func (t *Table) forget(now time.Time) {
	for name, e := range t.records {
		switch {
		case !e.State.Gone():
			e.gone = time.Time{}
		case e.gone.IsZero():
			e.gone = now
		case now.Sub(e.gone) > t.options.Retention:
			delete(t.records, name)
			delete(t.peers, name)
		}
	}
}

// rewatch works out anew which members this one watches, when the set of
// watchers or members has changed.
func (t *Table) rewatch(now time.Time) {
	if !t.stale {
		return
	}
	t.stale = false
	watchers := t.watchers()
	watched := make(map[string]time.Time, len(t.watched))
	for name, e := range t.records {
		if e.State.Gone() || name == t.options.Self.Name {
			continue
		}
		if !slices.Contains(rank(name, watchers, t.options.Watchers), t.options.Self.Name) {
			continue
		}
		since, already := t.watched[name]
		if !already {
			since = now
		}
		watched[name] = since
	}
	t.watched = watched
}

// watchers returns the names of the members that take heartbeats.
func (t *Table) watchers() []string {
	var out []string
	for name, e := range t.records {
		if e.Watcher && !e.State.Gone() {
			out = append(out, name)
		}
	}
	return out
}

type ranked struct {
	name   string
	weight uint64
}

// rank returns the k watchers with the highest rendezvous weight for a member,
// the member itself left out.
func rank(member string, watchers []string, k int) []string {
	best := make([]ranked, 0, k+1)
	for _, name := range watchers {
		if name == member {
			continue
		}
		r := ranked{name, weight(member, name)}
		i, _ := slices.BinarySearchFunc(best, r, heavier)
		if i == k {
			continue
		}
		best = slices.Insert(best, i, r)
		best = best[:min(len(best), k)]
	}
	out := make([]string, len(best))
	for i, r := range best {
		out[i] = r.name
	}
	return out
}

func heavier(a, b ranked) int {
	if a.weight != b.weight {
		return cmp.Compare(b.weight, a.weight)
	}
	return cmp.Compare(a.name, b.name)
}

func weight(member, watcher string) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(member)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(watcher)
	return d.Sum64()
}

func countIn(names, set []string) int {
	n := 0
	for _, name := range names {
		if slices.Contains(set, name) {
			n++
		}
	}
	return n
}
