// Package directory holds this daemon's view of the endpoints. Endpoints
// announce themselves: an announcement is also a heartbeat, and a member whose
// heartbeats stop is dropped when its lease runs out. Backlogs arrive with
// announcements and on every answer.
//
// Readers take no lock and allocate nothing: they get shared slices that are
// replaced, never changed, when an endpoint joins, changes or leaves.
package directory

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthplank/jacinthplank/submit"
)

// Lease arithmetic of the directory.
const (
	// Heartbeat is the usual time between two announcements.
	Heartbeat = time.Second
	// DefaultLease is the time without a sign of life after which a member is dropped.
	DefaultLease = 3 * Heartbeat
	// tombstoneLeases is how many leases a dropped incarnation is remembered.
	tombstoneLeases = 20
)

var (
	staleAnnouncements = metrics.NewCounter("jacinthplank_directory_stale_announcements_total")
	expiredMembers     = metrics.NewCounter("jacinthplank_directory_expired_total")
)

// Directory is the set of known endpoints. It is safe for concurrent use.
type Directory struct {
	lease time.Duration

	mu         sync.Mutex // held by writers
	members    map[string]*Member
	tombstones map[string]tombstone
	current    atomic.Pointer[view]
}

// tombstone keeps a late announcement from bringing back an endpoint that left.
type tombstone struct {
	incarnation uint64
	sequence    uint64
	leaving     bool
	at          time.Time
}

// view is what readers see. It never changes.
type view struct {
	all      []*Member
	names    map[string]*Member
	models   map[string][]*Member
	services map[string][]*Member
	byModel  map[string][]string
}

// New returns an empty directory whose members are dropped after lease without
// a sign of life. A lease of 0 stands for DefaultLease.
func New(lease time.Duration) *Directory {
	if lease <= 0 {
		lease = DefaultLease
	}
	d := &Directory{
		lease:      lease,
		members:    map[string]*Member{},
		tombstones: map[string]tombstone{},
	}
	d.rebuild()
	return d
}

// Announce takes one announcement and reports whether it was newer than what
// the directory had.
func (d *Directory) Announce(now time.Time, e Endpoint) bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	old := d.members[e.Name]
	if d.stale(old, &e) {
		staleAnnouncements.Inc()
		return false
	}
	e.Backlog.Endpoint = e.Name
	switch {
	case old == nil || old.Incarnation != e.Incarnation:
		d.join(now, e)
	case old.same(&e):
		old.live.sequence.Store(e.Sequence)
		old.touch(now)
		old.announced(now, e.Backlog)
	default:
		next := old.changed(e)
		next.live.sequence.Store(e.Sequence)
		next.touch(now)
		next.announced(now, e.Backlog)
		d.members[e.Name] = next
		d.rebuild()
	}
	return true
}

// stale reports whether e is no newer than what is known of the endpoint.
func (d *Directory) stale(old *Member, e *Endpoint) bool {
	if old != nil {
		known := Endpoint{Incarnation: old.Incarnation, Sequence: old.live.sequence.Load()}
		return !e.newer(&known)
	}
	t, gone := d.tombstones[e.Name]
	if !gone {
		return false
	}
	return !e.newer(&Endpoint{Incarnation: t.incarnation, Sequence: t.sequence})
}

// join adds a new endpoint or a new incarnation of a known one.
func (d *Directory) join(now time.Time, e Endpoint) {
	m := newMember(now, e)
	if t, gone := d.tombstones[e.Name]; gone && t.incarnation == e.Incarnation && t.leaving {
		m.live.leaving.Store(true)
	}
	delete(d.tombstones, e.Name)
	d.members[e.Name] = m
	d.rebuild()
}

// Observe takes a backlog that rode on an answer.
func (d *Directory) Observe(now time.Time, b submit.Backlog) {
	m := d.Get(b.Endpoint)
	if m == nil {
		return
	}
	m.touch(now)
	m.observe(now, b)
}

// Leave drops an endpoint at once, for example after its last announcement.
func (d *Directory) Leave(now time.Time, name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if m := d.members[name]; m != nil {
		d.drop(now, m)
		d.rebuild()
	}
}

// Expire drops the members whose lease ran out and returns them.
func (d *Directory) Expire(now time.Time) []*Member {
	d.mu.Lock()
	defer d.mu.Unlock()

	var gone []*Member
	for _, m := range d.members {
		if now.Sub(m.Seen()) > d.lease {
			gone = append(gone, m)
		}
	}
	for _, m := range gone {
		d.drop(now, m)
		expiredMembers.Inc()
	}
	for name, t := range d.tombstones {
		if now.Sub(t.at) > tombstoneLeases*d.lease {
			delete(d.tombstones, name)
		}
	}
	if len(gone) > 0 {
		d.rebuild()
	}
	slices.SortFunc(gone, byName)
	return gone
}

func (d *Directory) drop(now time.Time, m *Member) {
	delete(d.members, m.Name)
	d.tombstones[m.Name] = tombstone{
		incarnation: m.Incarnation,
		sequence:    m.live.sequence.Load(),
		leaving:     m.Leaving(),
		at:          now,
	}
}

// Get returns the member of that name, nil when there is none.
func (d *Directory) Get(name string) *Member { return d.current.Load().names[name] }

// All returns every member by name. The slice is shared: don't change it.
func (d *Directory) All() []*Member { return d.current.Load().all }

// Model returns the members that serve a model, by the engines' own name of
// it. The slice is shared: don't change it.
func (d *Directory) Model(name string) []*Member { return d.current.Load().models[name] }

// Models returns the names of the endpoints of each model. The map is shared:
// don't change it.
func (d *Directory) Models() map[string][]string { return d.current.Load().byModel }

// Service returns the members in front of a plain service. The slice is
// shared: don't change it.
func (d *Directory) Service(name string) []*Member { return d.current.Load().services[name] }

// rebuild replaces the view. The caller holds the lock.
func (d *Directory) rebuild() {
	v := &view{
		names:    make(map[string]*Member, len(d.members)),
		models:   map[string][]*Member{},
		services: map[string][]*Member{},
		byModel:  map[string][]string{},
	}
	for name, m := range d.members {
		v.all = append(v.all, m)
		v.names[name] = m
	}
	slices.SortFunc(v.all, byName)
	for _, m := range v.all {
		if m.Service != "" {
			v.services[m.Service] = append(v.services[m.Service], m)
		}
		for _, model := range m.Models {
			v.models[model] = append(v.models[model], m)
			v.byModel[model] = append(v.byModel[model], m.Name)
		}
	}
	d.current.Store(v)
}

func byName(a, b *Member) int { return strings.Compare(a.Name, b.Name) }
