package gateway

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/jacinthplank/jacinthplank/announce"
	"github.com/jacinthplank/jacinthplank/breaker"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/ratelimit"
	"github.com/jacinthplank/jacinthplank/spill"
)

// plainPicker selects endpoints of plain services: by the shares of their failure domains,
// or else by the fewest requests in progress from this entry, where ties go to endpoints in
// its own failure domain.
type plainPicker struct {
	mu         sync.Mutex
	inProgress map[string]int              // requests in progress, by endpoint
	ended      map[string]spill.CallReport // not yet reported, by endpoint
	shares     map[string]*spill.Shares    // by service
	// coldCost returns the cost of a cold endpoint, 0 for a warm one; nil if there are none.
	coldCost func(h announce.Record, now time.Time) int
}

func newPlainPicker() *plainPicker {
	return &plainPicker{inProgress: map[string]int{}, ended: map[string]spill.CallReport{}, shares: map[string]*spill.Shares{}}
}

// pick returns the endpoint with the lowest cost, or false if there is none. It skips
// excluded endpoints; blocked and stale ones come last. turn is the time within which
// entries pass on what endpoints announce. states are the calls of other entries, and late
// is the probability that the links to a domain make a call late.
func (p *plainPicker) pick(all []announce.Record, exclude []string, domain string, b *breaker.Set, turn time.Duration, states callStates, late func(to string) float64, now time.Time) (announce.Record, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if h, found := p.pickByShare(p.candidates(p.withoutCold(all, now), exclude, domain, b, states, turn, now), domain, late, now); found {
		p.inProgress[h.ID]++
		return h, true
	}
	best, found, minCost := announce.Record{}, false, 0
	offset := rand.IntN(max(len(all), 1))
	for i := range all {
		h := all[(i+offset)%len(all)]
		if slices.Contains(exclude, h.ID) {
			continue
		}
		cost := 2 * p.inProgress[h.ID]
		if h.FailureDomain != domain {
			cost++
		}
		if p.coldCost != nil {
			cost += p.coldCost(h, now)
		}
		if b.Blocked(now, h.ID) {
			cost += blockedCost
		}
		if age := now.Sub(h.At); age > staleAfter+turn {
			cost += staleCost
		}
		if !found || cost < minCost {
			best, found, minCost = h, true, cost
		}
	}
	if found {
		p.inProgress[best.ID]++
	}
	return best, found
}

// withoutCold leaves out the cold endpoints that are passed over for warm ones.
func (p *plainPicker) withoutCold(all []announce.Record, now time.Time) []announce.Record {
	if p.coldCost == nil {
		return all
	}
	warm := make([]announce.Record, 0, len(all))
	for _, h := range all {
		if p.coldCost(h, now) == 0 {
			warm = append(warm, h)
		}
	}
	return warm
}

// Cost penalties of suspect endpoints. They are meant to outweigh any number of requests
// in progress.
const (
	blockedCost = 10_000
	staleCost   = 100
	staleAfter  = 4 * time.Second // three missed announcements, besides the time in which entries pass them on
)

func (p *plainPicker) release(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.inProgress[id]--; p.inProgress[id] <= 0 {
		delete(p.inProgress, id)
	}
}

// choosePlain selects an endpoint of a plain service that takes another request.
func (f *inflightRequest) choosePlain() (announce.Record, *outcome.Error) {
	const step = "gateway.choose"
	skip, shortestWait := f.excluded, ratelimit.Never
	for {
		now := time.Now()
		h, found := f.g.plain.pick(f.readyEndpoints(), skip, f.g.settings.FailureDomain, f.g.breakers, f.g.mesh.SyncTurn(),
			f.g.placer.knownCalls(now), func(to string) float64 { return f.g.placer.links.Late(f.g.settings.FailureDomain, to, now) }, now)
		switch {
		case !found && f.headSent && len(f.unreached) > 0:
			// The caller has part of the answer and can't be refused any more.
			isUnreached := func(id string) bool { return slices.Contains(f.unreached, id) }
			f.excluded, skip = slices.DeleteFunc(slices.Clone(f.excluded), isUnreached), slices.DeleteFunc(slices.Clone(skip), isUnreached)
			f.unreached = nil
			continue
		case !found && len(skip) > len(f.excluded):
			e := outcome.Refuse(outcome.CodeOverloaded, step, "no endpoint takes a request now: each is at its request rate or asked to wait")
			e.RetryAfter = min(max(shortestWait, minRetryAfter), f.remaining()/maxRetryAfterDivisor)
			return h, e
		case !found:
			e := outcome.Refuse(outcome.CodeNoEndpoint, step, "no endpoint of the service accepts requests")
			e.RetryAfter = minRetryAfter
			return h, e
		}
		asked := time.Now()
		ok, wait := f.g.placer.takePermit(f.ctx, h.ID)
		if ok {
			f.limitSending(h.ID, asked)
			f.reportPlainCalls()
			return h, nil
		}
		f.g.plain.release(h.ID)
		skip = append(slices.Clip(skip), h.ID)
		shortestWait = min(shortestWait, wait)
	}
}

// reportPlainCalls reports that a call began or ended, where other entries need to know it.
func (f *inflightRequest) reportPlainCalls() {
	if f.g.plain.usesShares() {
		f.g.placer.reportCalls()
	}
}

// maxRetryAfterDivisor is the part of a caller's remaining time after which it returns at
// the latest.
const maxRetryAfterDivisor = 3
