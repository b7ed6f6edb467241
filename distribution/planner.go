package distribution

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jacinthplank/jacinthplank/fleet"
)

// Timing and fan-out of the spreading of configurations.
const (
	ProbePeriod = time.Second            // mean time between questions to a random peer
	RetryPeriod = 50 * time.Millisecond  // from a peer that did not answer to the next
	HedgeAfter  = 200 * time.Millisecond // from a question without an answer to one to another peer
	AvoidTime   = 3 * time.Second        // how long a peer that did not answer is left alone
	PullTimeout = time.Second            // for one question to one peer
	MaxAsked    = 3                      // peers asked at one time
	FanOut      = 10                     // peers told of a new version
	Neighbours  = 10                     // peers that are asked and told as a rule, over connections that stay open
	SwapPeriod  = 10 * time.Second       // from the change of one neighbour to the next
)

// Planner decides which peer to ask and when. It does no I/O; addresses name
// the peers.
type Planner struct {
	rand    *rand.Rand
	period  time.Duration            // mean time between probes
	ahead   map[string]fleet.Version // what peers are known to have
	avoided map[string]time.Time     // until when a peer is left alone
	asked   map[string]time.Time     // since when a peer has been asked
	hold    time.Time                // before this no second peer is asked
	probe   time.Time                // when to ask a random peer
	near    []string                 // neighbours
	swap    time.Time                // when to change a neighbour
}

// NewPlanner returns a planner that draws from r.
func NewPlanner(r *rand.Rand) *Planner {
	return &Planner{
		rand:    r,
		period:  ProbePeriod,
		ahead:   make(map[string]fleet.Version),
		avoided: make(map[string]time.Time),
		asked:   make(map[string]time.Time),
	}
}

// Heard notes that a peer has a version.
func (p *Planner) Heard(address string, v fleet.Version) {
	if p.ahead[address].Less(v) {
		p.ahead[address] = v
	}
}

// Next returns the peer to ask now, which then counts as asked until Answered or
// Failed. With none to ask it returns an empty address and the time to wait,
// which is to be cut short by news.
func (p *Planner) Next(now time.Time, have fleet.Version, peers []string) (string, time.Duration) {
	p.forgetLost(now)
	if len(p.asked) >= MaxAsked {
		return "", HedgeAfter
	}
	if len(p.asked) > 0 && now.Before(p.hold) {
		return "", p.hold.Sub(now)
	}
	if address := p.furthest(now, have); address != "" {
		return p.ask(now, address)
	}
	if len(p.asked) > 0 {
		return p.askAny(now, peers)
	}
	if wait := p.probe.Sub(now); wait > 0 {
		return "", wait
	}
	p.schedule(now)
	return p.askAny(now, peers)
}

// forgetLost drops questions whose answers were lost on the way here.
func (p *Planner) forgetLost(now time.Time) {
	for address, since := range p.asked {
		if now.Sub(since) > 2*PullTimeout {
			delete(p.asked, address)
		}
	}
}

func (p *Planner) ask(now time.Time, address string) (string, time.Duration) {
	p.asked[address] = now
	p.hold = now.Add(HedgeAfter)
	return address, 0
}

// askAny asks a peer drawn among those that are not asked yet. With none it looks
// again soon.
func (p *Planner) askAny(now time.Time, peers []string) (string, time.Duration) {
	for _, address := range p.Sample(now, peers, MaxAsked) {
		if _, isAsked := p.asked[address]; !isAsked {
			return p.ask(now, address)
		}
	}
	p.probe = now.Add(HedgeAfter)
	return "", HedgeAfter
}

// furthest returns the peer with the highest version above have, and forgets
// the peers that are not ahead. Among equals it draws.
func (p *Planner) furthest(now time.Time, have fleet.Version) string {
	best, ties := "", 0
	for _, address := range slices.Sorted(maps.Keys(p.ahead)) {
		v := p.ahead[address]
		if !have.Less(v) {
			delete(p.ahead, address)
			continue
		}
		if _, isAsked := p.asked[address]; isAsked || p.avoid(now, address) {
			continue
		}
		switch {
		case best == "" || p.ahead[best].Less(v):
			best, ties = address, 1
		case p.ahead[best] == v:
			ties++
			if p.rand.IntN(ties) == 0 {
				best = address
			}
		}
	}
	return best
}

// schedule draws the time of the next probe.
func (p *Planner) schedule(now time.Time) {
	spread := time.Duration(p.rand.Int64N(int64(p.period)))
	p.probe = now.Add(p.period/2 + spread)
}

// Answered notes the version that a peer has answered with, which may be lower
// than what was heard of it.
func (p *Planner) Answered(address string, v fleet.Version) {
	delete(p.asked, address)
	delete(p.avoided, address)
	p.ahead[address] = v
}

// Failed notes that a peer did not answer. Another is asked soon.
func (p *Planner) Failed(now time.Time, address string) {
	delete(p.asked, address)
	delete(p.ahead, address)
	p.avoided[address] = now.Add(AvoidTime)
	if retry := now.Add(RetryPeriod); retry.Before(p.probe) {
		p.probe = retry
	}
}

// Sample draws up to n different peers that are not avoided, neighbours first.
func (p *Planner) Sample(now time.Time, peers []string, n int) []string {
	p.refresh(now, peers)
	sample := p.draw(now, p.near, n, nil)
	return append(sample, p.draw(now, peers, n-len(sample), p.near)...)
}

// SampleFar draws up to n different peers that are neither avoided nor
// neighbours.
func (p *Planner) SampleFar(now time.Time, peers []string, n int) []string {
	return p.draw(now, peers, n, p.near)
}

// refresh replaces neighbours that left or are avoided, and one at each swap, so
// that parts of the fleet that were cut off find each other again.
func (p *Planner) refresh(now time.Time, peers []string) {
	p.near = slices.DeleteFunc(p.near, func(address string) bool {
		return p.avoid(now, address) || !slices.Contains(peers, address)
	})
	if len(p.near) == Neighbours && !now.Before(p.swap) {
		i := p.rand.IntN(len(p.near))
		p.near = slices.Delete(p.near, i, i+1)
		p.swap = now.Add(SwapPeriod)
	}
	p.near = append(p.near, p.draw(now, peers, Neighbours-len(p.near), p.near)...)
}

// draw returns up to n different addresses that are neither avoided nor among
// those to leave out.
func (p *Planner) draw(now time.Time, from []string, n int, out []string) []string {
	var drawn []string
	if n <= 0 {
		return drawn
	}
	for _, i := range p.rand.Perm(len(from)) {
		if p.avoid(now, from[i]) || slices.Contains(out, from[i]) {
			continue
		}
		drawn = append(drawn, from[i])
		if len(drawn) == n {
			break
		}
	}
	return drawn
}

func (p *Planner) avoid(now time.Time, address string) bool {
	until, avoided := p.avoided[address]
	if avoided && !now.Before(until) {
		delete(p.avoided, address)
		return false
	}
	return avoided
}
