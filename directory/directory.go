// Package directory holds this daemon's view of the endpoints. Endpoints announce
// themselves. An announcement is also a heartbeat: a member whose heartbeats stop
// is dropped when its lease expires. Backlogs arrive with announcements and with
// answers.
//
// Readers take no lock and do not allocate: they get shared, immutable slices that
// are replaced when an endpoint joins, changes or leaves.
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

// Heartbeat and lease parameters.
const (
	// Heartbeat is the interval between announcements.
	Heartbeat = time.Second
	// DefaultLease is the default time without a heartbeat or backlog after which
	// a member is dropped.
	DefaultLease = 3 * Heartbeat
	// tombstoneRetentionLeases is how long the tombstone of a dropped member is
	// kept, as a multiple of the lease.
	tombstoneRetentionLeases = 20
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
	current    atomic.Pointer[snapshot]
}

// tombstone prevents a late announcement from adding a dropped endpoint again.
type tombstone struct {
	incarnation uint64
	sequence    uint64
	leaving     bool
	droppedAt   time.Time
}

// snapshot is the immutable view that readers get.
type snapshot struct {
	all          []*Member
	byName       map[string]*Member
	models       map[string][]*Member
	services     map[string][]*Member
	namesByModel map[string][]string
}

// New returns an empty Directory that drops members after lease without a
// heartbeat or backlog. A lease of 0 means DefaultLease.
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

// Announce applies an announcement. It reports whether the announcement was newer
// than the last one of the endpoint; an older one is ignored.
func (d *Directory) Announce(now time.Time, e Endpoint) bool {
	d.mu.Lock()
	defer d.mu.Unlock()

	old := d.members[e.Name]
	if d.isStale(old, &e) {
		staleAnnouncements.Inc()
		return false
	}
	e.Backlog.Endpoint = e.Name
	switch {
	case old == nil || old.Incarnation != e.Incarnation:
		d.add(now, e)
	case old.sameDescription(&e):
		old.state.sequence.Store(e.Sequence)
		old.renewLease(now)
		old.applyAnnouncement(now, e.Backlog)
	default:
		updated := old.withAnnouncement(e)
		updated.state.sequence.Store(e.Sequence)
		updated.renewLease(now)
		updated.applyAnnouncement(now, e.Backlog)
		d.members[e.Name] = updated
		d.rebuild()
	}
	return true
}

// isStale reports whether e is not newer than the last announcement of the
// endpoint, whose member is old or nil.
func (d *Directory) isStale(old *Member, e *Endpoint) bool {
	if old != nil {
		latest := Endpoint{Incarnation: old.Incarnation, Sequence: old.state.sequence.Load()}
		return !e.isNewerThan(&latest)
	}
	t, found := d.tombstones[e.Name]
	if !found {
		return false
	}
	return !e.isNewerThan(&Endpoint{Incarnation: t.incarnation, Sequence: t.sequence})
}

// add inserts a new endpoint or a new incarnation of a known one.
func (d *Directory) add(now time.Time, e Endpoint) {
	m := newMember(now, e)
	if t, found := d.tombstones[e.Name]; found && t.incarnation == e.Incarnation && t.leaving {
		m.state.leaving.Store(true)
	}
	delete(d.tombstones, e.Name)
	d.members[e.Name] = m
	d.rebuild()
}

// Observe applies a backlog that arrived with an answer.
func (d *Directory) Observe(now time.Time, b submit.Backlog) {
	m := d.Get(b.Endpoint)
	if m == nil {
		return
	}
	m.renewLease(now)
	m.setBacklog(now, b)
}

// Remove drops an endpoint immediately, for example after its last announcement.
func (d *Directory) Remove(now time.Time, name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if m := d.members[name]; m != nil {
		d.drop(now, m)
		d.rebuild()
	}
}

// Expire drops the members whose lease has expired and returns them, sorted by
// name.
func (d *Directory) Expire(now time.Time) []*Member {
	d.mu.Lock()
	defer d.mu.Unlock()

	var expired []*Member
	for _, m := range d.members {
		if now.Sub(m.LastSeen()) > d.lease {
			expired = append(expired, m)
		}
	}
	for _, m := range expired {
		d.drop(now, m)
		expiredMembers.Inc()
	}
	for name, t := range d.tombstones {
		if now.Sub(t.droppedAt) > tombstoneRetentionLeases*d.lease {
			delete(d.tombstones, name)
		}
	}
	if len(expired) > 0 {
		d.rebuild()
	}
	slices.SortFunc(expired, byName)
	return expired
}

func (d *Directory) drop(now time.Time, m *Member) {
	delete(d.members, m.Name)
	d.tombstones[m.Name] = tombstone{
		incarnation: m.Incarnation,
		sequence:    m.state.sequence.Load(),
		leaving:     m.Leaving(),
		droppedAt:   now,
	}
}

// Get returns the member with the given name, or nil.
func (d *Directory) Get(name string) *Member { return d.current.Load().byName[name] }

// All returns all members, sorted by name. The slice is shared and must not be
// modified.
func (d *Directory) All() []*Member { return d.current.Load().all }

// Model returns the members that serve a model, given the name that engines use
// for it. The slice is shared and must not be modified.
func (d *Directory) Model(name string) []*Member { return d.current.Load().models[name] }

// EndpointsByModel returns the names of the endpoints that serve each model. The
// map is shared and must not be modified.
func (d *Directory) EndpointsByModel() map[string][]string { return d.current.Load().namesByModel }

// Service returns the members that front a plain service. The slice is shared and
// must not be modified.
func (d *Directory) Service(name string) []*Member { return d.current.Load().services[name] }

// rebuild replaces the current snapshot. The caller must hold d.mu.
func (d *Directory) rebuild() {
	v := &snapshot{
		byName:       make(map[string]*Member, len(d.members)),
		models:       map[string][]*Member{},
		services:     map[string][]*Member{},
		namesByModel: map[string][]string{},
	}
	for name, m := range d.members {
		v.all = append(v.all, m)
		v.byName[name] = m
	}
	slices.SortFunc(v.all, byName)
	for _, m := range v.all {
		if m.Service != "" {
			v.services[m.Service] = append(v.services[m.Service], m)
		}
		for _, model := range m.Models {
			v.models[model] = append(v.models[model], m)
			v.namesByModel[model] = append(v.namesByModel[model], m.Name)
		}
	}
	d.current.Store(v)
}

func byName(a, b *Member) int { return strings.Compare(a.Name, b.Name) }
