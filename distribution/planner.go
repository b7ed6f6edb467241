package distribution

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jacinthplank/jacinthplank/fleet"
)

// Timing and fan-out of configuration distribution.
const (
	ProbePeriod   = time.Second            // mean time between requests to a random peer
	RetryDelay    = 50 * time.Millisecond  // from a failed request to the next
	HedgeDelay    = 200 * time.Millisecond // from an unanswered request to one to another peer
	AvoidPeriod   = 3 * time.Second        // how long an unresponsive peer is not contacted
	PullTimeout   = time.Second            // for one request to one peer
	MaxInFlight   = 3                      // maximum concurrent requests
	FanOut        = 10                     // peers notified of a new version
	MaxNeighbours = 10                     // peers preferred for requests and notifications, over connections that stay open
	SwapPeriod    = 10 * time.Second       // time between replacements of a neighbour
)

// Planner decides which peer to send a request to and when. Peers are identified by
// address. It does no I/O.
type Planner struct {
	rand         *rand.Rand
	probePeriod  time.Duration            // mean time between probes of a random peer
	versions     map[string]fleet.Version // last known version by peer
	avoidedUntil map[string]time.Time     // end of the avoid period by peer
	inFlight     map[string]time.Time     // start of the pending request by peer
	nextHedge    time.Time                // earliest time of a further concurrent request
	nextProbe    time.Time                // time of the next request to a random peer
	neighbours   []string
	nextSwap     time.Time // when to replace a neighbour
}

// NewPlanner returns a planner that uses r as its source of randomness.
func NewPlanner(r *rand.Rand) *Planner {
	return &Planner{
		rand:         r,
		probePeriod:  ProbePeriod,
		versions:     make(map[string]fleet.Version),
		avoidedUntil: make(map[string]time.Time),
		inFlight:     make(map[string]time.Time),
	}
}

// ObserveVersion records that a peer has at least a version.
func (p *Planner) ObserveVersion(address string, v fleet.Version) {
	if p.versions[address].Less(v) {
		p.versions[address] = v
	}
}

// Next returns the peer to send a request to now. The request counts as in flight
// until RecordResponse or RecordFailure is called. If there is none to send, Next
// returns an empty address and the time to wait; the caller should call it again
// earlier if it learns anything new.
func (p *Planner) Next(now time.Time, have fleet.Version, peers []string) (string, time.Duration) {
	p.expireRequests(now)
	if len(p.inFlight) >= MaxInFlight {
		return "", HedgeDelay
	}
	if len(p.inFlight) > 0 && now.Before(p.nextHedge) {
		return "", p.nextHedge.Sub(now)
	}
	if address := p.mostAdvanced(now, have); address != "" {
		return p.startRequest(now, address)
	}
	if len(p.inFlight) > 0 {
		return p.startRandomRequest(now, peers)
	}
	if wait := p.nextProbe.Sub(now); wait > 0 {
		return "", wait
	}
	p.scheduleProbe(now)
	return p.startRandomRequest(now, peers)
}

// expireRequests removes requests whose results were dropped from the inbox.
func (p *Planner) expireRequests(now time.Time) {
	for address, since := range p.inFlight {
		if now.Sub(since) > 2*PullTimeout {
			delete(p.inFlight, address)
		}
	}
}

func (p *Planner) startRequest(now time.Time, address string) (string, time.Duration) {
	p.inFlight[address] = now
	p.nextHedge = now.Add(HedgeDelay)
	return address, 0
}

// startRandomRequest selects a random peer without a request in flight. If there is
// none, the next probe is due after HedgeDelay.
func (p *Planner) startRandomRequest(now time.Time, peers []string) (string, time.Duration) {
	for _, address := range p.Sample(now, peers, MaxInFlight) {
		if _, pending := p.inFlight[address]; !pending {
			return p.startRequest(now, address)
		}
	}
	p.nextProbe = now.Add(HedgeDelay)
	return "", HedgeDelay
}

// mostAdvanced returns the peer with the highest version above have, chosen at
// random among equals. It removes the versions of peers that are not ahead.
func (p *Planner) mostAdvanced(now time.Time, have fleet.Version) string {
	best, ties := "", 0
	for _, address := range slices.Sorted(maps.Keys(p.versions)) {
		v := p.versions[address]
		if !have.Less(v) {
			delete(p.versions, address)
			continue
		}
		if _, pending := p.inFlight[address]; pending || p.isAvoided(now, address) {
			continue
		}
		switch {
		case best == "" || p.versions[best].Less(v):
			best, ties = address, 1
		case p.versions[best] == v:
			ties++
			if p.rand.IntN(ties) == 0 {
				best = address
			}
		}
	}
	return best
}

// scheduleProbe schedules the next probe after 0.5 to 1.5 probe periods.
func (p *Planner) scheduleProbe(now time.Time) {
	jitter := time.Duration(p.rand.Int64N(int64(p.probePeriod)))
	p.nextProbe = now.Add(p.probePeriod/2 + jitter)
}

// RecordResponse records a peer's response and its version, which may be lower than
// the one observed before.
func (p *Planner) RecordResponse(address string, v fleet.Version) {
	delete(p.inFlight, address)
	delete(p.avoidedUntil, address)
	p.versions[address] = v
}

// RecordFailure records a failed request. The peer is avoided for AvoidPeriod, and
// the next probe is due within RetryDelay.
func (p *Planner) RecordFailure(now time.Time, address string) {
	delete(p.inFlight, address)
	delete(p.versions, address)
	p.avoidedUntil[address] = now.Add(AvoidPeriod)
	if retry := now.Add(RetryDelay); retry.Before(p.nextProbe) {
		p.nextProbe = retry
	}
}

// Sample returns up to n distinct random peers that are not avoided, preferring
// neighbours.
func (p *Planner) Sample(now time.Time, peers []string, n int) []string {
	p.refreshNeighbours(now, peers)
	sample := p.sampleExcluding(now, p.neighbours, n, nil)
	return append(sample, p.sampleExcluding(now, peers, n-len(sample), p.neighbours)...)
}

// SampleNonNeighbours returns up to n distinct random peers that are neither avoided
// nor neighbours.
func (p *Planner) SampleNonNeighbours(now time.Time, peers []string, n int) []string {
	return p.sampleExcluding(now, peers, n, p.neighbours)
}

// refreshNeighbours replaces neighbours that left or are avoided, and one random
// neighbour per SwapPeriod, so that parts of the fleet reconnect after a network
// partition.
func (p *Planner) refreshNeighbours(now time.Time, peers []string) {
	p.neighbours = slices.DeleteFunc(p.neighbours, func(address string) bool {
		return p.isAvoided(now, address) || !slices.Contains(peers, address)
	})
	if len(p.neighbours) == MaxNeighbours && !now.Before(p.nextSwap) {
		i := p.rand.IntN(len(p.neighbours))
		p.neighbours = slices.Delete(p.neighbours, i, i+1)
		p.nextSwap = now.Add(SwapPeriod)
	}
	p.neighbours = append(p.neighbours, p.sampleExcluding(now, peers, MaxNeighbours-len(p.neighbours), p.neighbours)...)
}

// sampleExcluding returns up to n distinct random candidates that are neither
// avoided nor excluded.
func (p *Planner) sampleExcluding(now time.Time, candidates []string, n int, excluded []string) []string {
	var sample []string
	if n <= 0 {
		return sample
	}
	for _, i := range p.rand.Perm(len(candidates)) {
		if p.isAvoided(now, candidates[i]) || slices.Contains(excluded, candidates[i]) {
			continue
		}
		sample = append(sample, candidates[i])
		if len(sample) == n {
			break
		}
	}
	return sample
}

func (p *Planner) isAvoided(now time.Time, address string) bool {
	until, avoided := p.avoidedUntil[address]
	if avoided && !now.Before(until) {
		delete(p.avoidedUntil, address)
		return false
	}
	return avoided
}
