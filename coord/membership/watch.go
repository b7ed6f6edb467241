package membership

import (
	"cmp"
	"slices"
	"time"
)

// Partners returns the names of this member's watchers, to which it sends
// heartbeats.
func (t *Table) Partners() []string {
	self := t.options.Self.Name
	return rank(watcher{self, t.records[self].hash}, t.watchers(), t.options.Watchers)
}

// Expire suspects watched members whose heartbeats stopped, marks members dead
// that a majority of their watchers suspect, and removes members that have been
// gone for the retention time. It returns the changes.
//
// A member that has received no message within the timeout adds no suspicions:
// it is more likely to be isolated itself.
func (t *Table) Expire(now time.Time) []Change {
	t.refreshWatched(now)
	var changes []Change
	if !t.isIsolated(now) {
		changes = t.suspect(changes, now)
	}
	changes = t.markDead(changes)
	t.dropExpired(now)
	return changes
}

// isIsolated reports whether this member has partners but has received no message
// within the timeout.
func (t *Table) isIsolated(now time.Time) bool {
	return len(t.Partners()) > 0 && now.Sub(t.lastReceived) > t.options.Timeout
}

// suspect adds this member to the suspects of watched members whose heartbeats
// are overdue.
func (t *Table) suspect(changes []Change, now time.Time) []Change {
	self := t.options.Self.Name
	for name, since := range t.watchedSince {
		e := t.records[name]
		last := e.lastHeard
		if since.After(last) {
			last = since
		}
		if e.State.Gone() || now.Sub(last) <= t.options.Timeout {
			continue
		}
		suspects, added := union(e.Suspects, []string{self})
		if !added {
			continue
		}
		r := e.Record
		r.Suspects = suspects
		changes = append(changes, t.put(r, ""))
	}
	return changes
}

// markDead marks members dead that a majority of their watchers suspect.
func (t *Table) markDead(changes []Change) []Change {
	watchers := t.watchers()
	for _, e := range t.records {
		if e.State.Gone() || len(e.Suspects) == 0 {
			continue
		}
		assigned := rank(watcher{e.Name, e.hash}, watchers, t.options.Watchers)
		if 2*countCommon(e.Suspects, assigned) <= len(assigned) {
			continue
		}
		r := e.Record
		r.State = Dead
		changes = append(changes, t.put(r, ""))
	}
	return changes
}

// dropExpired removes members that have been gone for the retention time.
func (t *Table) dropExpired(now time.Time) {
	for name, e := range t.records {
		switch {
		case !e.State.Gone():
			e.goneSince = time.Time{}
		case e.goneSince.IsZero():
			e.goneSince = now
		case now.Sub(e.goneSince) > t.options.Retention:
			delete(t.records, name)
			delete(t.peers, name)
			delete(t.watchedSince, name)
		}
	}
}

// refreshWatched updates which members this one watches if the set of watchers or
// members has changed.
func (t *Table) refreshWatched(now time.Time) {
	if !t.watchersChanged && len(t.changedMembers) == 0 {
		return
	}
	watchers := t.watchers()
	if t.watchersChanged {
		for name := range t.records {
			t.updateWatched(name, watchers, now)
		}
	}
	for _, name := range t.changedMembers {
		t.updateWatched(name, watchers, now)
	}
	t.watchersChanged, t.changedMembers = false, nil
}

// updateWatched starts or stops watching the named member as its watcher
// assignment requires.
func (t *Table) updateWatched(name string, watchers []watcher, now time.Time) {
	self := t.options.Self.Name
	e := t.records[name]
	if e == nil || e.State.Gone() || name == self || !slices.Contains(rank(watcher{name, e.hash}, watchers, t.options.Watchers), self) {
		delete(t.watchedSince, name)
		return
	}
	if _, watching := t.watchedSince[name]; !watching {
		t.watchedSince[name] = now
	}
}

// watchers returns the present members that accept heartbeats.
func (t *Table) watchers() []watcher {
	var out []watcher
	for name, e := range t.records {
		if e.Watcher && !e.State.Gone() {
			out = append(out, watcher{name, e.hash})
		}
	}
	return out
}

// watcher is a member name with its hash.
type watcher struct {
	name string
	hash uint64
}

type weightedWatcher struct {
	name   string
	weight uint64
}

// rank returns the k watchers with the highest rendezvous weight for a member,
// excluding the member itself.
func rank(member watcher, watchers []watcher, k int) []string {
	best := make([]weightedWatcher, 0, k+1)
	for _, w := range watchers {
		if w.name == member.name {
			continue
		}
		r := weightedWatcher{w.name, rendezvousWeight(member.hash, w.hash)}
		if len(best) == k && r.weight < best[k-1].weight {
			continue
		}
		i, _ := slices.BinarySearchFunc(best, r, compareWeight)
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

func compareWeight(a, b weightedWatcher) int {
	if a.weight != b.weight {
		return cmp.Compare(b.weight, a.weight)
	}
	return cmp.Compare(a.name, b.name)
}

// rendezvousWeight combines two hashes into a weight with the splitmix64
// finalizer.
func rendezvousWeight(member, watcher uint64) uint64 {
	x := member*0x9E3779B97F4A7C15 ^ watcher
	x = (x ^ x>>30) * 0xBF58476D1CE4E5B9
	x = (x ^ x>>27) * 0x94D049BB133111EB
	return x ^ x>>31
}

func countCommon(names, set []string) int {
	n := 0
	for _, name := range names {
		if slices.Contains(set, name) {
			n++
		}
	}
	return n
}
