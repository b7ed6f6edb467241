// Package announce keeps a registry of announced endpoints: which run of which
// endpoint holds which address, and whether it accepts requests. Announcements may
// arrive late or twice, come from an endpoint that is gone, or contradict each
// other; the latest announcement in the endpoint's own order applies.
//
// The package does no I/O; callers pass in the time.
package announce

import (
	"cmp"
	"slices"
	"time"
)

// State is the state that an endpoint announces.
type State uint8

// Endpoint states in lifecycle order.
const (
	Ready    State = iota
	Draining       // finishes running requests and accepts no new ones
	Left           // stopped for good
)

// String returns the name used in logs.
func (s State) String() string {
	if s > Left {
		return "unknown"
	}
	return [...]string{"ready", "draining", "left"}[s]
}

// Endpoint is an announcement of an endpoint.
type Endpoint struct {
	ID            string        `json:"id"`
	Service       string        `json:"service"`
	Address       string        `json:"address"` // IP:port
	FailureDomain string        `json:"failure_domain"`
	Version       string        `json:"version"`
	Slots         int           `json:"slots"`
	State         State         `json:"state"`
	Cold          time.Duration `json:"cold"` // remaining time in which the endpoint is slow after its start
	StartedAtMs   int64         `json:"born"` // start time of the endpoint, Unix milliseconds; 0 if unknown
	Sequence      int64         `json:"sequence"`
}

// Run identifies one run of an endpoint, from its start to its end.
type Run struct {
	ID          string
	StartedAtMs int64 // as in Endpoint
}

// Record is an endpoint's latest announcement and the time at which it was made.
type Record struct {
	Endpoint
	At time.Time // on the monotonic clock of this process
}

// retention is how long an endpoint that left is kept, so that its late
// announcements are not taken for a new endpoint. It exceeds the delay of any
// announcement delivered after a network partition heals.
const retention = 10 * time.Minute

// Registry holds the endpoints known to one entry. It is not safe for concurrent use.
//
// Invariants: an address belongs to at most one endpoint that has not left; a run
// that left never becomes active again.
type Registry struct {
	endpoints map[string]*Record
	addresses map[string]string // endpoint ID by address
	version   uint64
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{endpoints: map[string]*Record{}, addresses: map[string]string{}}
}

// ApplyResult is the effect of an announcement.
type ApplyResult uint8

// Results of Apply.
const (
	Stale     ApplyResult = iota // older than the known state, or without effect
	Refreshed                    // only the time was updated
	Changed                      // the endpoint is new, its state, service, address or start time changed, or it is cold for longer
)

// Apply applies an announcement made at the given time.
func (r *Registry) Apply(e Endpoint, at time.Time) ApplyResult {
	previous := r.endpoints[e.ID]
	if e.State == Left {
		return r.applyLeft(e, previous, at)
	}
	if previous != nil && !followsPrevious(e, previous.Endpoint) {
		return Stale
	}
	if !r.mayClaimAddress(e) {
		return Stale
	}
	if previous != nil && previous.Address != e.Address {
		r.releaseAddress(previous)
	}
	r.evictHolder(e, at)
	r.addresses[e.Address] = e.ID
	result := Refreshed
	if previous == nil || previous.State != e.State || previous.Address != e.Address || previous.Service != e.Service ||
		previous.StartedAtMs != e.StartedAtMs || isColdForLonger(e, at, previous) {
		result = Changed
		r.version++
	}
	if previous != nil && previous.At.After(at) {
		at = previous.At
	}
	r.endpoints[e.ID] = &Record{Endpoint: e, At: at}
	return result
}

// coldTolerance is the difference between two announcements of the same end of a cold time
// that is due to their ways.
const coldTolerance = 500 * time.Millisecond

// isColdForLonger reports whether e, announced at the given time, is cold after the time that
// was announced before.
func isColdForLonger(e Endpoint, at time.Time, previous *Record) bool {
	return e.Cold > 0 && at.Add(e.Cold).Sub(previous.ColdUntil()) > coldTolerance
}

// ColdUntil returns the end of the time for which the endpoint is cold, the time of the
// announcement if it was warm.
func (r *Record) ColdUntil() time.Time { return r.At.Add(max(r.Cold, 0)) }

// followsPrevious reports whether e is a later announcement of the same endpoint or
// a copy of the previous one, which refreshes the time.
func followsPrevious(e, previous Endpoint) bool {
	if e.StartedAtMs != previous.StartedAtMs {
		return e.StartedAtMs > previous.StartedAtMs
	}
	if previous.State == Left || e.State < previous.State {
		return false
	}
	return e.Sequence >= previous.Sequence
}

// mayClaimAddress reports whether e may take its address. Of two endpoints, the one
// that started later wins.
func (r *Registry) mayClaimAddress(e Endpoint) bool {
	holder := r.endpoints[r.addresses[e.Address]]
	return holder == nil || holder.ID == e.ID || holder.State == Left || e.StartedAtMs >= holder.StartedAtMs
}

// evictHolder marks another endpoint with the same address as left.
func (r *Registry) evictHolder(e Endpoint, at time.Time) {
	holder := r.endpoints[r.addresses[e.Address]]
	if holder == nil || holder.ID == e.ID || holder.State == Left {
		return
	}
	holder.State = Left
	holder.At = at
	r.version++
}

func (r *Registry) applyLeft(e Endpoint, previous *Record, at time.Time) ApplyResult {
	if previous == nil || previous.State == Left || (e.StartedAtMs != 0 && e.StartedAtMs < previous.StartedAtMs) {
		return Stale
	}
	previous.State = Left
	previous.At = at
	r.releaseAddress(previous)
	r.version++
	return Changed
}

func (r *Registry) releaseAddress(h *Record) {
	if r.addresses[h.Address] == h.ID {
		delete(r.addresses, h.Address)
	}
}

// Get returns the endpoint with the given ID.
func (r *Registry) Get(id string) (Record, bool) {
	h := r.endpoints[id]
	if h == nil {
		return Record{}, false
	}
	return *h, true
}

// Version increases with every change of the registry.
func (r *Registry) Version() uint64 { return r.version }

// All returns every endpoint, including those that left, sorted by ID.
func (r *Registry) All() []Record {
	out := make([]Record, 0, len(r.endpoints))
	for _, h := range r.endpoints {
		out = append(out, *h)
	}
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Ready returns the endpoints of a service that accept requests, sorted by ID.
func (r *Registry) Ready(service string) []Record {
	var out []Record
	for _, h := range r.endpoints {
		if h.Service == service && h.State == Ready {
			out = append(out, *h)
		}
	}
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// ReadyAddresses returns the id of the endpoint that accepts requests at each address.
func (r *Registry) ReadyAddresses() map[string]string {
	out := make(map[string]string, len(r.addresses))
	for address, id := range r.addresses {
		if h := r.endpoints[id]; h != nil && h.State == Ready {
			out[address] = id
		}
	}
	return out
}

// Expire removes endpoints that left, or stopped announcing themselves, longer than
// retention ago.
func (r *Registry) Expire(now time.Time) {
	for id, h := range r.endpoints {
		if now.Sub(h.At) > retention {
			r.releaseAddress(h)
			delete(r.endpoints, id)
			r.version++
		}
	}
}
