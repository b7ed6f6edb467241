package schedule

import (
	"cmp"
	"slices"
	"time"
)

// Costs and gains of a placement, in units of the value of a timely answer to the
// shortest prompt.
const (
	latePenalty      = 0.75   // share of an answer's value lost when it is late, from the deployments' credit tables
	goalMargin       = 0.85   // share of the goal that a predicted time may use
	overrunStart     = 0.7    // share of a limit from which additional prefill may exceed it
	overrunAbandoned = 4      // multiple of a limit at which callers have left
	overrunLate      = 1.1    // multiple of a limit from which an answer counts as late
	crossDomainCost  = 0.01   // for traffic between failure domains
	coldCost         = 0.15   // for a cold engine: half of packingGain, so that the others keep their traffic while they have room
	coldPrefillCost  = 15.0   // per second of prefill at a cold engine and per value: cheap prompts go there first; at 10 more long than short ones did
	helperCost       = 0.10   // for each helper: one more endpoint that may fail
	blockingCost     = 10.0   // per second of uninterrupted prefill: requests arriving meanwhile wait
	prefillCost      = 4.0    // per second of prefill at full utilization: other requests wait as long
	longDecodeCost   = 2.0    // per second that an engine decodes only one long answer, at full utilization
	shortDecodeCost  = 0.4    // same for a short prompt's answer, which is soon joined by others
	latencyCost      = 0.05   // for a first event at the goal rather than immediate, as predictions err
	packingGain      = 0.30   // for joining jobs of the same kind: leaves other engines free for long prefills
	packingLimit     = 12     // jobs on an engine beyond which joining adds no gain
	minHelperPrompt  = 20_000 // minimum prompt tokens for prefill with helpers
	// maxMemoryShare is the share of an engine's memory that is allocated. Answer length
	// estimates are often too low, and a request without memory blocks all behind it.
	maxMemoryShare = 0.85
)

// helperCounts are the numbers of helpers that are considered; an engine accepts at
// most 16.
var helperCounts = [...]int{0, 1, 2, 3, 4, 6, 8, 11, 16}

// minGoal replaces the goal of a request that is already late.
const minGoal = 100 * time.Millisecond

// candidate is one possible placement of a job.
type candidate struct {
	primary     *engineView
	plan        *helperPlan
	helpers     []*engineView
	expected    time.Duration
	score       float64
	prefillTime time.Duration
}

// isWorthwhile reports whether the placement is better than waiting. A bad link makes an
// engine a worse choice, but is no reason to wait or to be refused.
func (c *candidate) isWorthwhile() bool { return c.score+c.primary.leave.link >= 0 }

// isBetter reports whether the placement is better than another one.
func (c *candidate) isBetter(other *candidate) bool {
	if is := c.isWorthwhile(); is != other.isWorthwhile() {
		return is
	}
	return c.score > other.score
}

// evaluation summarizes the inputs and result of a decision.
type evaluation struct {
	available   int     // engines with a free slot and memory
	atLimit     int     // engines that take no request now because of their rate limit
	utilization float64 // utilization of the engines, from 0 to 1
	score       float64 // score of the best placement
}

func (e *evaluation) copyTo(d *Decision) {
	d.EnginesWithCapacity, d.Utilization, d.Score = e.available, e.utilization, e.score
}

// place assigns a job to the endpoint with the best score, if any has capacity.
func (s *Scheduler) place(j *Job, now time.Time) (Decision, evaluation, bool) {
	best, available := s.bestCandidate(j, now)
	e := evaluation{available: available, atLimit: s.enginesAtLimit, utilization: s.utilization, score: best.score}
	if available == 0 || (!best.isWorthwhile() && len(s.jobs) > 0) {
		return Decision{}, e, false
	}
	primary := best.primary.engine
	if !s.limits.Take(primary.ID, now) {
		return Decision{}, e, false
	}
	r := &runningJob{job: j, endpoint: primary.ID, prefillTime: best.prefillTime, placedAt: now, expected: best.expected}
	d := Decision{
		Job: j.ID, Endpoint: primary.ID, Address: primary.Address, Domain: primary.FailureDomain, Expected: best.expected, Endpoints: len(s.eligible(j)), QueueLength: len(s.queue),
		Cold: best.primary.isCold, DecidedAt: now,
	}
	e.copyTo(&d)
	overflow := s.overflowTokens(j, best.primary)
	for _, h := range best.helpers {
		r.helpers = append(r.helpers, h.engine.ID)
		tokens := min(overflow, s.freeTokens(h))
		overflow -= tokens
		d.Helpers = append(d.Helpers, Helper{ID: h.engine.ID, Address: h.engine.Address, Tokens: tokens})
	}
	r.decision = d
	s.reserveMemory(r)
	primary.assigned[j.ID] = r
	s.addPrefills(r, now)
	s.jobs[j.ID] = r
	if s.isScanning {
		s.changed = append(s.changed, primary)
		for _, h := range best.helpers {
			s.changed = append(s.changed, h.engine)
		}
	}
	return d, e, true
}

// bestCandidate returns the best placement of a job and the number of engines with
// capacity for it. The candidate is empty when that number is 0.
func (s *Scheduler) bestCandidate(j *Job, now time.Time) (best candidate, available int) {
	s.evaluations++
	views := s.engineViews(j, now)
	var helpers []*engineView
	if j.Prompt >= minHelperPrompt || j.Prompt+j.Answer > s.profile.MemoryTokens {
		helpers = s.rankHelpers(j, views)
	}
	plans := s.helperPlans(j, views, helpers)
	for _, preferred := range []bool{true, false} {
		for i := range views {
			v := &views[i]
			if v.isPreferred != preferred || !v.mayRun || !s.hasCapacity(v, j) {
				continue
			}
			fits := false
			for n := range plans {
				c, ok := s.evaluate(j, v, &plans[n])
				if ok && (best.primary == nil || c.isBetter(&best)) {
					best = c
				}
				fits = fits || ok
			}
			if fits {
				available++
			}
		}
		if available > 0 {
			break
		}
	}
	if available > 0 {
		best.helpers = best.plan.selectHelpers(best.primary, helpers)
	}
	return best, available
}

// hasCapacity reports whether an engine can start a job without evicting another. A
// prompt larger than the memory of one engine may be held by helpers in part.
func (s *Scheduler) hasCapacity(v *engineView, j *Job) bool {
	if v.atLimit || v.usedSlots >= s.profile.Slots {
		return false
	}
	if j.yields && len(v.engine.prefillQueue) > 0 {
		return false
	}
	need := j.Prompt + j.Answer
	if need > s.profile.MemoryTokens {
		return s.freeTokens(v) >= s.profile.MemoryTokens/2
	}
	if len(v.engine.assigned) == 0 && v.usedTokens == 0 {
		return true
	}
	return need <= s.freeTokens(v)
}

// freeTokens returns the memory of an engine that can still be allocated, in tokens.
func (s *Scheduler) freeTokens(v *engineView) int {
	return max(int(maxMemoryShare*float64(s.profile.MemoryTokens))-v.usedTokens, 0)
}

// overflowTokens returns the tokens of a job that do not fit on the primary engine.
// Only jobs larger than the memory of a whole engine are spread.
func (s *Scheduler) overflowTokens(j *Job, primary *engineView) int {
	need := j.Prompt + j.Answer
	if need <= s.profile.MemoryTokens {
		return 0
	}
	return need - s.freeTokens(primary)
}

// unranked sorts engines that are no helpers after all others.
const unranked = 1 << 30

// typicalParts is the number of prompt parts assumed when helpers are compared.
const typicalParts = 8

// rankHelpers returns the engines that could share the prefill, in ascending order of
// the delay that they cause to other jobs. Engines with a rate limit, also cold ones, are
// none: helping takes several calls.
func (s *Scheduler) rankHelpers(j *Job, views []engineView) []*engineView {
	prefillTime := s.profile.PrefillTime(j.Prompt, typicalParts)
	out := s.helperScratch[:0]
	for i := range views {
		v := &views[i]
		if v.isPreferred && !v.isLimited {
			v.typicalDelayCost = v.delayCost(prefillTime)
			out = append(out, v)
		}
	}
	slices.SortStableFunc(out, func(a, b *engineView) int {
		return cmp.Or(cmp.Compare(a.typicalDelayCost, b.typicalDelayCost), cmp.Compare(a.passTime, b.passTime))
	})
	for i, v := range out {
		v.rank = i
	}
	s.helperScratch = out
	return out
}

// helperPlan holds the totals for a number of helpers. Where the primary engine is one
// of the first helpers, the next one takes its place.
type helperPlan struct {
	index, helpers         int
	prefillTime            time.Duration // per part
	extraTime              time.Duration // prefill time in excess of the plan with the most helpers
	totals, totalsWithNext helperTotals  // over the planned helpers, and over one more
	hasNext                bool
}

// helperTotals are sums over the first helpers of the ranking.
type helperTotals struct {
	delayCost  float64
	ready      time.Duration // until the last helper has prefilled its part
	freeTokens int
}

// helperPlans computes the plan for each helper count once, for all candidate engines.
func (s *Scheduler) helperPlans(j *Job, views []engineView, helpers []*engineView) []helperPlan {
	out := s.planScratch[:0]
	maxHelpers := min(len(helpers), helperCounts[len(helperCounts)-1])
	for index, k := range helperCounts {
		if k > len(helpers) {
			break
		}
		plan := helperPlan{index: index, helpers: k, prefillTime: s.profile.PrefillTime(j.Prompt, 1+k), hasNext: k < len(helpers)}
		plan.extraTime = plan.prefillTime - s.profile.PrefillTime(j.Prompt, 1+maxHelpers)
		for i := range views {
			views[i].delayCosts[index] = views[i].delayCost(plan.prefillTime)
		}
		for _, h := range helpers[:k] {
			plan.totals.add(s, h, &plan)
		}
		plan.totalsWithNext = plan.totals
		if plan.hasNext {
			plan.totalsWithNext.add(s, helpers[k], &plan)
		}
		out = append(out, plan)
	}
	s.planScratch = out
	return out
}

func (t *helperTotals) add(s *Scheduler, h *engineView, plan *helperPlan) {
	t.delayCost += h.delayCosts[plan.index]
	t.ready = max(t.ready, h.helperDelay+h.scaled(plan.prefillTime))
	t.freeTokens += s.freeTokens(h)
}

// selectHelpers returns the helpers of the plan for a primary engine.
func (plan *helperPlan) selectHelpers(primary *engineView, helpers []*engineView) []*engineView {
	if plan.helpers == 0 {
		return nil
	}
	if primary.rank >= plan.helpers {
		return slices.Clone(helpers[:plan.helpers])
	}
	return slices.Delete(slices.Clone(helpers[:plan.helpers+1]), primary.rank, primary.rank+1)
}

// evaluate scores a placement. It reports false when the placement is not possible.
func (s *Scheduler) evaluate(j *Job, primary *engineView, plan *helperPlan) (candidate, bool) {
	totals := plan.totals
	if primary.rank < plan.helpers {
		if !plan.hasNext {
			return candidate{}, false
		}
		totals = plan.totalsWithNext
		totals.delayCost -= primary.delayCosts[plan.index]
		totals.freeTokens -= s.freeTokens(primary)
	}
	if s.overflowTokens(j, primary) > totals.freeTokens {
		return candidate{}, false
	}
	c := candidate{primary: primary, plan: plan, prefillTime: plan.prefillTime}
	c.expected = max(primary.prefillDelay+primary.scaled(plan.prefillTime), totals.ready)
	c.score = j.value()*j.timeliness(c.expected) - primary.delayCosts[plan.index] - totals.delayCost + s.packingScore(j, primary)
	c.score -= helperCost * float64(plan.helpers)
	c.score -= prefillCost * s.utilization * plan.prefillTime.Seconds() * float64(1+plan.helpers)
	c.score -= blockingCost * plan.extraTime.Seconds()
	c.score -= latencyCost * j.value() * float64(c.expected) / float64(max(j.firstEventLimit(), minGoal))
	c.score -= primary.leave.cost
	if primary.isCold {
		c.score -= coldCost + coldPrefillCost*j.value()*plan.prefillTime.Seconds()
	}
	return c, true
}

func (v *engineView) scaled(d time.Duration) time.Duration {
	return time.Duration(float64(d) * v.reportedSlowdown)
}

// delayCost returns the value that other jobs at the engine lose to additional prefill.
func (v *engineView) delayCost(prefillTime time.Duration) float64 {
	total := 0.0
	for _, c := range v.affected {
		total += c.value * (overrunLoss(c.expected+prefillTime, c.limit) - overrunLoss(c.expected, c.limit))
	}
	return total
}

// overrunLoss returns the share of a job's value lost when a step is expected to take
// that long against its limit.
func overrunLoss(expected, limit time.Duration) float64 {
	ratio := float64(expected) / float64(limit)
	switch {
	case ratio <= overrunStart:
		return 0
	case ratio >= overrunLate:
		return latePenalty + (1-latePenalty)*min((ratio-overrunLate)/(overrunAbandoned-overrunLate), 1)
	default:
		return latePenalty * (ratio - overrunStart) / (overrunLate - overrunStart)
	}
}

// packingScore rates a placement by the other jobs at the engine. Decoding jobs are
// packed as far as delayCost allows: a few more hardly slow a step, and engines
// without decoding run prefills in short passes. Answers that end at about the same
// time free an engine sooner.
func (s *Scheduler) packingScore(j *Job, v *engineView) float64 {
	remaining, isAlone := v.remainingDecode, false
	if !v.leave.isHome && s.statesDelays() && j.Prompt < minHelperPrompt {
		// Jobs are packed within their domains, so that packing is no reason to leave one.
		remaining, isAlone = 0, true
	}
	longer := s.utilization * (s.minDecodeTime(j) - remaining).Seconds()
	if j.Prompt >= minHelperPrompt {
		return -longDecodeCost * max(longer, 0)
	}
	packed := v.shortJobs * (1 + s.peers)
	if packed > packingLimit {
		packed = 2*packingLimit - packed
	}
	gain := packingGain * float64(packed) / packingLimit
	if isAlone {
		gain = min(gain, 0)
	}
	return gain - shortDecodeCost*max(longer, 0)
}

// firstEventLimit returns the time limit for the first event: the goal, or the
// caller's remaining time once the goal has passed.
func (j *Job) firstEventLimit() time.Duration {
	if j.Goal > 0 {
		return j.Goal
	}
	return j.Remaining
}

// timeliness returns the share of a job's value left at the expected time to first event.
func (j *Job) timeliness(expected time.Duration) float64 {
	if expected > j.Remaining {
		return 0
	}
	goal := time.Duration(float64(j.Goal) * goalMargin)
	if expected > goal {
		// Between one and two goals the prediction may still be wrong.
		over := float64(expected-goal) / float64(max(goal, time.Millisecond))
		return 1 - latePenalty*min(1, 0.5+over/2)
	}
	return 1
}
