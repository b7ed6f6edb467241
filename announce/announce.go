// Package announce keeps the endpoints that announced themselves: which start of
// which endpoint holds which address, and whether it takes work. Announcements
// may be late, come twice, come from an endpoint that is gone, or contradict
// each other; what an endpoint said last, in its own order, holds.
//
// The package does no I/O; times are passed in.
package announce

import (
	"cmp"
	"slices"
	"time"
)

// State is what an endpoint says of itself.
type State uint8

// States in the order in which an endpoint passes through them.
const (
	Ready    State = iota
	Draining       // finishes what it has and takes nothing new
	Left           // gone for good
)

// String returns the name used in logs.
func (s State) String() string { return [...]string{"ready", "draining", "left"}[s] }

// Endpoint is one announcement, and the latest one of an endpoint.
type Endpoint struct {
	ID            string        `json:"id"`
	Service       string        `json:"service"`
	Address       string        `json:"address"` // IP:port
	FailureDomain string        `json:"failure_domain"`
	Version       string        `json:"version"`
	Slots         int           `json:"slots"`
	State         State         `json:"state"`
	Cold          time.Duration `json:"cold"` // for how long it is still slow after its start
	StartedAtMs   int64         `json:"born"` // start of the endpoint, Unix milliseconds; 0 when not told
	Sequence      int64         `json:"sequence"`
}

// Record is an endpoint with the time at which it last announced itself.
type Record struct {
	Endpoint
	At time.Time // by the steady clock of this process
}

// retention is how long an endpoint that left is remembered, so that its late
// announcements are not taken for a new one. It is longer than any delay of an
// announcement that a mended partition may let through.
const retention = 10 * time.Minute

// Registry is what one entry knows. It is not safe for concurrent use.
//
// Invariants: an address belongs to at most one endpoint that has not left; a
// start that left never comes back.
type Registry struct {
	endpoints map[string]*Record
	addresses map[string]string // id that holds an address
	version   uint64
}

// New returns an empty registry.
func New() *Registry {
	return &Registry{endpoints: map[string]*Record{}, addresses: map[string]string{}}
}

// ApplyResult tells what an announcement did.
type ApplyResult uint8

// Verdicts.
const (
	Stale     ApplyResult = iota // older than what is known
	Refreshed                    // nothing new but the time
	Changed                      // the endpoint is new, or has another state or address
)

// Apply takes an announcement that was made at a time.
func (r *Registry) Apply(e Endpoint, at time.Time) ApplyResult {
	old := r.endpoints[e.ID]
	if e.State == Left {
		return r.leave(e, old, at)
	}
	if old != nil && !follows(e, old.Endpoint) {
		return Stale
	}
	if !r.mayHold(e) {
		return Stale
	}
	if old != nil && old.Address != e.Address {
		r.release(old)
	}
	r.supersede(e, at)
	r.addresses[e.Address] = e.ID
	verdict := Refreshed
	if old == nil || old.State != e.State || old.Address != e.Address || old.Service != e.Service || old.StartedAtMs != e.StartedAtMs {
		verdict = Changed
		r.version++
	}
	if old != nil && old.At.After(at) {
		at = old.At
	}
	r.endpoints[e.ID] = &Record{Endpoint: e, At: at}
	return verdict
}

// follows reports whether e is a later announcement of the same endpoint. The
// same announcement twice follows, so that a second copy refreshes the time.
func follows(e, old Endpoint) bool {
	if e.StartedAtMs != old.StartedAtMs {
		return e.StartedAtMs > old.StartedAtMs
	}
	if old.State == Left || e.State < old.State {
		return false
	}
	return e.Sequence >= old.Sequence
}

// mayHold reports whether e may take its address: the later start wins.
func (r *Registry) mayHold(e Endpoint) bool {
	holder := r.endpoints[r.addresses[e.Address]]
	return holder == nil || holder.ID == e.ID || holder.State == Left || e.StartedAtMs >= holder.StartedAtMs
}

// supersede marks another endpoint at the same address as gone.
func (r *Registry) supersede(e Endpoint, at time.Time) {
	holder := r.endpoints[r.addresses[e.Address]]
	if holder == nil || holder.ID == e.ID || holder.State == Left {
		return
	}
	holder.State = Left
	holder.At = at
	r.version++
}

func (r *Registry) leave(e Endpoint, old *Record, at time.Time) ApplyResult {
	if old == nil || old.State == Left || (e.StartedAtMs != 0 && e.StartedAtMs < old.StartedAtMs) {
		return Stale
	}
	old.State = Left
	old.At = at
	r.release(old)
	r.version++
	return Changed
}

func (r *Registry) release(h *Record) {
	if r.addresses[h.Address] == h.ID {
		delete(r.addresses, h.Address)
	}
}

// Get returns an endpoint by id.
func (r *Registry) Get(id string) (Record, bool) {
	h := r.endpoints[id]
	if h == nil {
		return Record{}, false
	}
	return *h, true
}

// Version grows with every change of the set.
func (r *Registry) Version() uint64 { return r.version }

// All returns every endpoint by id, those that left included.
func (r *Registry) All() []Record {
	out := make([]Record, 0, len(r.endpoints))
	for _, h := range r.endpoints {
		out = append(out, *h)
	}
	slices.SortFunc(out, func(a, b Record) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// Ready returns the endpoints of a service that take work, by id.
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

// Expire drops endpoints that left long ago, and those that fell silent that
// long ago without a word.
func (r *Registry) Expire(now time.Time) {
	for id, h := range r.endpoints {
		if now.Sub(h.At) > retention {
			r.release(h)
			delete(r.endpoints, id)
			r.version++
		}
	}
}
