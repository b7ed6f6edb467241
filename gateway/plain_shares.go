package gateway

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jacinthplank/jacinthplank/announce"
	"github.com/jacinthplank/jacinthplank/breaker"
	"github.com/jacinthplank/jacinthplank/spill"
)

// updateAge is the age of an announcement from which the spare capacity of an endpoint in
// another failure domain counts as zero, besides the time in which entries pass it on.
const updateAge = 2 * time.Second

// plainCandidate is an endpoint that may take a call.
type plainCandidate struct {
	record   announce.Record
	capacity float64 // calls that it serves in the time of the others
	isSlow   bool
	running  float64 // calls of all entries
}

// pickByShare returns the endpoint for a call by the shares of the failure domains. It
// returns false where all endpoints are in one domain, where they don't announce how many
// calls they take, or where none is known to be well. The caller must hold p.mu.
func (p *plainPicker) pickByShare(candidates []plainCandidate, domain string, late func(to string) float64, now time.Time) (announce.Record, bool) {
	var targets []spill.Target
	for _, c := range candidates {
		i := slices.IndexFunc(targets, func(t spill.Target) bool { return t.Domain == c.record.FailureDomain })
		if i < 0 {
			i, targets = len(targets), append(targets, spill.Target{Domain: c.record.FailureDomain, Late: late(c.record.FailureDomain)})
		}
		targets[i].Capacity += c.capacity
		targets[i].Running += c.running
		targets[i].IsSlow = targets[i].IsSlow || c.isSlow
	}
	if len(targets) == 0 {
		return announce.Record{}, false
	}
	service := candidates[0].record.Service
	if p.shares[service] == nil {
		p.shares[service] = &spill.Shares{}
	}
	chosen, ok := p.shares[service].Choose(domain, targets, now)
	if !ok {
		return announce.Record{}, false
	}
	best, found := plainCandidate{}, false
	offset := rand.IntN(len(candidates))
	for i := range candidates {
		c := candidates[(i+offset)%len(candidates)]
		if c.record.FailureDomain != chosen {
			continue
		}
		if !found || (c.running+1)/c.capacity < (best.running+1)/best.capacity {
			best, found = c, true
		}
	}
	return best.record, found
}

// candidates returns the endpoints that are known to be well; none if the shares don't apply.
// The caller must hold p.mu.
func (p *plainPicker) candidates(all []announce.Record, exclude []string, domain string, b *breaker.Set, states callStates, turn time.Duration, now time.Time) []plainCandidate {
	domains, known := map[string]bool{}, make([]spill.CallState, len(all))
	for i, h := range all {
		domains[h.FailureDomain] = true
		known[i] = states[h.ID]
		if h.Slots <= 0 {
			return nil
		}
	}
	if len(domains) < 2 {
		return nil
	}
	var out []plainCandidate
	slowness := spill.Slowness(known)
	for i, h := range all {
		age := now.Sub(h.At) - turn
		isStale := age > staleAfter || (h.FailureDomain != domain && age > updateAge)
		if slices.Contains(exclude, h.ID) || known[i].Failing || b.Blocked(now, h.ID) || isStale {
			continue
		}
		capacity := float64(h.Slots) / slowness[i]
		if known[i].OnTrial {
			capacity = min(capacity, 1)
		}
		out = append(out, plainCandidate{
			record: h, capacity: capacity, isSlow: slowness[i] >= spill.SlowFrom, running: float64(known[i].Running + p.inProgress[h.ID]),
		})
	}
	return out
}

// finish records the end of a call for the next report.
func (p *plainPicker) finish(id string, took time.Duration, hasFailed bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.ended[id]
	switch {
	case hasFailed:
		r.Failed++
	case took > 0:
		r.Calls++
		r.TookMs += float64(took) / float64(time.Millisecond)
	}
	p.ended[id] = r
}

// usesShares reports whether calls are placed by the shares of failure domains.
func (p *plainPicker) usesShares() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.shares) > 0
}

// spillRefreshInterval is how often an entry whose calls leave their domain learns of the calls of
// the others. All entries learn it once a second.
const spillRefreshInterval = 250 * time.Millisecond

// isSpilling reports whether calls of a service lately left this entry's domain.
func (p *plainPicker) isSpilling(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.shares {
		if s.IsLeaving(now) {
			return true
		}
	}
	return false
}

// takeReport returns the calls in progress and those that ended since the previous report.
func (p *plainPicker) takeReport() map[string]spill.CallReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := p.ended
	p.ended = map[string]spill.CallReport{}
	for id, n := range p.inProgress {
		r := out[id]
		r.Running = n
		out[id] = r
	}
	return out
}
