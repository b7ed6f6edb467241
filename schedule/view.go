package schedule

import (
	"slices"
	"time"
)

// engineView caches the state of one engine for a decision.
type engineView struct {
	engine           *engine
	prefillDelay     time.Duration // until a prefill for an answer decoded here can start
	helperDelay      time.Duration // until a helper prefill can start: helper parts go first
	passTime         time.Duration // duration of the next pass including queued prefills
	affected         []affectedJob
	delayCosts       [len(helperCounts)]float64 // per part, by index in helperCounts
	rank             int                        // position among the helpers
	typicalDelayCost float64                    // of a part of typical size, for ranking helpers
	shortJobs        int                        // assigned jobs with short prompts
	usedTokens       int
	usedSlots        int
	remainingDecode  time.Duration // until the last of its answers ends
	reportedSlowdown float64
	isUsable         bool // neither blocked nor suspected
	mayRun           bool // neither excluded by the job nor outside its failure domains
	isPreferred      bool // usable, and may run the job
	isLimited        bool // states a rate limit, is cold or asked to wait
	isCold           bool
	atLimit          bool      // takes no request now for that reason
	leave            leaveCost // of running the job in the domain of the engine
}

// affectedJob is a job that additional prefill at an engine would delay.
type affectedJob struct {
	expected time.Duration // time to its next event or to the end of its part, without additional prefill
	limit    time.Duration
	value    float64
}

// engineViews prepares the views of all engines for a job. During a scan of the queue only
// the views of engines that changed since the previous job are filled again.
func (s *Scheduler) engineViews(j *Job, now time.Time) []engineView {
	if !s.isScanning || len(s.viewScratch) != len(s.order) {
		s.fillViews(now)
	}
	s.refillChanged(now)
	s.utilization, s.enginesAtLimit, s.warmShare = 0, 0, 0
	engines := float64(len(s.eligible(j)))
	s.prepareLeaveCosts(j, now)
	for i := range s.viewScratch {
		v := &s.viewScratch[i]
		isEligible := j.mayUse(v.engine)
		v.rank, v.mayRun = unranked, isEligible && !slices.Contains(j.Exclude, v.engine.ID)
		v.isPreferred = v.isUsable && v.mayRun
		v.leave = s.leaveCosts.of(v.engine.FailureDomain)
		if !isEligible {
			continue
		}
		if v.atLimit {
			s.enginesAtLimit++
		}
		s.utilization += v.utilization() / engines
		if !v.isCold {
			s.warmShare += 1 / engines
		}
	}
	return s.viewScratch
}

// fillViews fills the views of all engines.
func (s *Scheduler) fillViews(now time.Time) {
	if cap(s.viewScratch) < len(s.order) {
		s.viewScratch = make([]engineView, len(s.order))
	}
	s.viewScratch = s.viewScratch[:len(s.order)]
	heedsSuspicions, hasStatements := s.heedsSuspicions(), s.hasStatements(now)
	for i, e := range s.order {
		s.fillView(&s.viewScratch[i], e, now)
		s.viewScratch[i].isUsable = !e.blocked && !(heedsSuspicions && e.isSuspect())
		if hasStatements {
			s.applyStatements(&s.viewScratch[i], now)
		}
	}
	s.changed = s.changed[:0]
}

// refillChanged fills the views of the engines that a placement changed.
func (s *Scheduler) refillChanged(now time.Time) {
	for _, e := range s.changed {
		i := slices.Index(s.order, e)
		isUsable := s.viewScratch[i].isUsable
		s.fillView(&s.viewScratch[i], e, now)
		s.viewScratch[i].isUsable = isUsable
		s.applyStatements(&s.viewScratch[i], now)
	}
	s.changed = s.changed[:0]
}

// utilization returns how much of an engine is in use, from 0 to 1: an engine with
// queued prefills is full, one that only decodes can take more jobs.
func (v *engineView) utilization() float64 {
	if len(v.engine.prefillQueue) > 0 {
		return 1
	}
	return min(float64(len(v.engine.assigned))/packingLimit, 1)
}

// fillView fills what doesn't depend on the job to be placed.
func (s *Scheduler) fillView(v *engineView, e *engine, now time.Time) {
	e.dropCompleted(now)
	affected := v.affected[:0]
	*v = engineView{engine: e}
	decoding, context := 0, 0
	overdue := time.Duration(0)
	for _, tokens := range e.reserved {
		v.usedTokens += tokens
	}
	for _, r := range e.assigned {
		v.usedTokens += r.memoryTokens
		if r.job.Prompt < minHelperPrompt {
			v.shortJobs++
		}
		v.remainingDecode = max(v.remainingDecode, s.remainingDecodeTime(r, now))
		if r.isDecoding {
			decoding++
			context += r.job.Prompt
		} else {
			overdue = max(overdue, now.Sub(r.placedAt)-r.expected-overdueGrace)
		}
	}
	untracked, tokens := e.untracked(now)
	v.usedTokens += tokens
	v.usedSlots = len(e.assigned) + untracked
	v.reportedSlowdown = e.reportedSlowdown(now)
	passTime := s.profile.PassTime(decoding+untracked, context+tokens)
	passTime = time.Duration(float64(passTime) * v.reportedSlowdown)
	backlog := time.Duration(float64(e.prefillBacklog(now)) * v.reportedSlowdown)
	v.passTime = passTime + backlog
	// The current pass has to end, and a first token is emitted at the end of the pass
	// that completes the prefill.
	v.prefillDelay = backlog + passTime*3/2 + overdue
	v.helperDelay = passTime * 3 / 2
	v.affected = s.affectedJobs(affected, v, now)
}

// minDecodeTime returns the minimum time to decode the answer of a job.
func (s *Scheduler) minDecodeTime(j *Job) time.Duration {
	return time.Duration(j.Answer) * s.profile.Step
}

// remainingDecodeTime returns the part of a job's decode time that is left.
func (s *Scheduler) remainingDecodeTime(r *runningJob, now time.Time) time.Duration {
	left := s.minDecodeTime(r.job)
	if r.isDecoding {
		left -= now.Sub(r.placedAt)
	}
	return left
}

// affectedJobs appends the jobs that additional prefill at an engine delays: those
// decoding there, waiting for prefill there, or having a part prefilled there.
func (s *Scheduler) affectedJobs(affected []affectedJob, v *engineView, now time.Time) []affectedJob {
	e := v.engine
	for _, r := range e.assigned {
		limit := r.job.PauseGoal
		if !r.isDecoding {
			limit = max(r.job.Goal-now.Sub(r.placedAt), minGoal)
		}
		affected = append(affected, affectedJob{v.passTime, limit, r.job.value()})
	}
	expected := time.Duration(0)
	for i, p := range e.prefillQueue {
		expected += p.remaining
		if i == 0 {
			expected -= min(now.Sub(e.headSince), expected)
		}
		if r := s.jobs[p.job]; r != nil && r.endpoint != e.ID {
			affected = append(affected, affectedJob{expected, max(r.job.Goal-now.Sub(r.placedAt), minGoal), r.job.value()})
		}
	}
	return affected
}
