package membership

import (
	"cmp"
	"slices"
	"time"
)

// Partners returns the names of the members that this one sends heartbeats to:
// its watchers.
func (t *Table) Partners() []string {
	self := t.options.Self.Name
	return rank(watcher{self, t.records[self].hash}, t.watchers(), t.options.Watchers)
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
		mine := rank(watcher{e.Name, e.hash}, watchers, t.options.Watchers)
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
			delete(t.watched, name)
		}
	}
}

// rewatch works out anew which members this one watches, when the set of
// watchers or members has changed.
func (t *Table) rewatch(now time.Time) {
	if !t.stale && len(t.moved) == 0 {
		return
	}
	watchers := t.watchers()
	if t.stale {
		for name := range t.records {
			t.judge(name, watchers, now)
		}
	}
	for _, name := range t.moved {
		t.judge(name, watchers, now)
	}
	t.stale, t.moved = false, nil
}

// judge notes whether this member watches another.
func (t *Table) judge(name string, watchers []watcher, now time.Time) {
	self := t.options.Self.Name
	e := t.records[name]
	if e == nil || e.State.Gone() || name == self || !slices.Contains(rank(watcher{name, e.hash}, watchers, t.options.Watchers), self) {
		delete(t.watched, name)
		return
	}
	if _, already := t.watched[name]; !already {
		t.watched[name] = now
	}
}

// watchers returns the members that take heartbeats.
func (t *Table) watchers() []watcher {
	var out []watcher
	for name, e := range t.records {
		if e.Watcher && !e.State.Gone() {
			out = append(out, watcher{name, e.hash})
		}
	}
	return out
}

// watcher is a member that takes heartbeats, with the hash of its name.
type watcher struct {
	name string
	hash uint64
}

type ranked struct {
	name   string
	weight uint64
}

// rank returns the k watchers with the highest rendezvous weight for a member,
// the member itself left out.
func rank(member watcher, watchers []watcher, k int) []string {
	best := make([]ranked, 0, k+1)
	for _, w := range watchers {
		if w.name == member.name {
			continue
		}
		r := ranked{w.name, mix(member.hash, w.hash)}
		if len(best) == k && r.weight < best[k-1].weight {
			continue
		}
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

// mix joins two hashes to a weight, by the finalizer of splitmix64.
func mix(member, watcher uint64) uint64 {
	x := member*0x9E3779B97F4A7C15 ^ watcher
	x = (x ^ x>>30) * 0xBF58476D1CE4E5B9
	x = (x ^ x>>27) * 0x94D049BB133111EB
	return x ^ x>>31
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
