package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/jacinthplank/jacinthplank/share"
)

// Cause is the rule by which a job was refused.
type Cause string

// Causes of refusals.
const (
	CauseTooLarge     Cause = "too_large"          // exceeds the memory of all engines that may prefill it
	CauseNoCapacity   Cause = "no_capacity"        // no engine has a slot and memory
	CauseNoHome       Cause = "no_home"            // no engine in its home regions
	CauseDelaysOthers Cause = "delays_others"      // would make others late that are worth more
	CauseRateLimit    Cause = "rate_limit"         // the engines are at the rates that they state
	CauseOverShare    Cause = "account_over_share" // its account used more than its share, and others wait
	CauseBacklog      Cause = "backlog"            // the jobs that go before it take longer than it may wait
	CauseYields       Cause = "kind_yields"        // a more urgent kind is served less often
)

// returnShare is the share of the engine time that retry times are assigned to. The rest
// is for new requests; what those leave also serves the callers that return.
const returnShare = 0.5

// standing is what decides which of two jobs goes first while engines are short.
type standing struct {
	starved   bool          // its account or kind is served far less often than all
	overShare bool          // its account used more than its share
	used      time.Duration // engine time that its account used
}

// contends reports whether the engines are shared between accounts and kinds. A deployment
// that doesn't ask for it gives its jobs no kind, and they are queued by urgency and time.
func (j *Job) contends() bool { return j.Kind != "" }

func (s *Scheduler) standingOf(j *Job, now time.Time) standing {
	if !j.contends() {
		return standing{}
	}
	return standing{
		starved: s.shares.IsStarved(j.Account, j.Kind, now), overShare: s.shares.IsOverShare(j.Account, now), used: s.shares.Used(j.Account, now),
	}
}

// compareClass orders jobs by what decides whether one may overtake another: starved
// accounts and kinds, urgency, accounts within their share, callers that return.
func compareClass(a, b *Job, x, y *standing) int {
	return cmp.Or(
		compareBool(!x.starved, !y.starved), cmp.Compare(a.Urgency, b.Urgency),
		compareBool(x.overShare, y.overShare), compareBool(!a.Returned, !b.Returned),
	)
}

// compareQueued orders jobs of the queue. Within a class, jobs that can still be on time go
// first, then those of the account with the least use, and then the earliest due.
func compareQueued(a, b *queuedJob, now time.Time) int {
	return cmp.Or(
		compareClass(a.job, b.job, &a.standing, &b.standing), compareBool(a.isLate(now), b.isLate(now)),
		cmp.Compare(a.standing.used, b.standing.used), a.dueAt().Compare(b.dueAt()),
	)
}

// maxStarvedLoss is the loss to other jobs at which a starved job is still placed, in excess
// of its gain and relative to its value. Simulated on half of the engines, 0.25, 0.4, 0.6 and
// 1 earned a credit of 0.78, 0.77, 0.76 and 0.75, and no limit 0.58. In a surge of short prompts
// 0.25 served 33 in 100 long ones and 0.4 served 43; a quarter is due.
const maxStarvedLoss = 0.4

// minScore is the lowest score at which a job is placed.
func (j *Job) minScore() float64 {
	if j.starved {
		return -maxStarvedLoss * j.value()
	}
	return 0
}

// competes reports whether a queued job needs what another job would take. A long prompt
// that lacks memory can't use the slot that a short one takes.
func (w *queuedJob) competes(j *Job) bool {
	return w.job.need() <= j.need() || (w.job.Prompt < minHelperPrompt && j.Prompt < minHelperPrompt)
}

// isOvertaking reports whether a job would overtake a queued one that goes before it if it
// were placed now. Where no job waits it never does. Jobs with an account don't overtake
// those of their own class that wait for a slot or memory either: at 200 short prompts a
// second, arrivals took nearly all slots that became free between two scans, and the queue
// was refused.
func (s *Scheduler) isOvertaking(j *queuedJob, now time.Time) bool {
	if !j.job.contends() {
		return false
	}
	return slices.ContainsFunc(s.queue, func(w *queuedJob) bool {
		if w == j || !w.competes(j.job) {
			return false
		}
		order := compareClass(w.job, j.job, &w.standing, &j.standing)
		return order < 0 || (order == 0 && j.job.Account != "" && w.evaluation.available == 0 && compareQueued(w, j, now) < 0)
	})
}

// yieldsTo returns the more urgent kind that a job on arrival has to yield to, as it is
// short of engines and served less often; empty for none.
func (s *Scheduler) yieldsTo(w *queuedJob, now time.Time) string {
	if w.standing.starved || !w.job.contends() {
		return ""
	}
	waits := func(kind string) bool {
		return slices.ContainsFunc(s.queue, func(o *queuedJob) bool { return o.job.Kind == kind })
	}
	return s.shares.Leads(w.job.Kind, w.job.Urgency, waits, now)
}

// work returns what a job asks of the engines.
func (s *Scheduler) work(j *Job) share.Work {
	prefill, decode := s.engineTime(j)
	return share.Work{Account: j.Account, Kind: j.Kind, Urgency: j.Urgency, Time: prefill + decode}
}

// engineTime returns the time for which a job occupies an engine with its prefill and with
// its answer. An answer occupies the larger of its parts of the slots and of the memory.
func (s *Scheduler) engineTime(j *Job) (prefill, decode time.Duration) {
	part := max(1/float64(max(s.profile.Slots, 1)), float64(j.need())/float64(max(s.profile.MemoryTokens, 1)))
	return s.profile.PrefillTime(j.Prompt, 1), time.Duration(part * float64(s.minDecodeTime(j)))
}

// predictWaitOf returns the shortest time until an engine can take a job: when any engine
// has completed its backlog, and when all have completed the queued jobs that go
// before it. It also returns the number of these jobs.
func (s *Scheduler) predictWaitOf(j *queuedJob, now time.Time) (wait time.Duration, ahead int) {
	var prefill, decode time.Duration
	for _, w := range s.queue {
		if j.job.contends() && w != j && w.competes(j.job) && compareQueued(w, j, now) <= 0 {
			p, d := s.engineTime(w.job)
			prefill, decode = prefill+p, decode+d
			ahead++
		}
	}
	// Engines prefill and decode at the same time.
	return max(s.predictWait(j.job, now), max(prefill, decode)/time.Duration(max(len(s.eligible(j.job)), 1))), ahead
}

// recognize marks a job whose caller returns at the time that it was given when it was
// refused.
func (s *Scheduler) recognize(j *Job, now time.Time) {
	if !j.contends() {
		return
	}
	if promise, ok := s.promises.Claim(j.Request, now); ok {
		j.Returned = j.Returned || promise.IsTold
		s.shares.Return(s.work(j), promise.RefusedAt, now)
	}
}

// refuseContended refuses a job for lack of capacity, with a time at which there will be
// room for it.
func (s *Scheduler) refuseContended(w *queuedJob, j *Job, cause Cause, reason string, now time.Time) Decision {
	wait, ahead := s.predictWaitOf(w, now)
	d := s.refuse(j, cause, reason, wait)
	d.Ahead, d.OverShare, d.Waited = ahead, w.standing.overShare, now.Sub(w.arrived)
	w.evaluation.copyTo(&d)
	if !j.contends() {
		return d
	}
	work := s.work(j)
	perSlot := time.Duration(returnShare * float64(len(s.order)) * float64(share.SlotTime))
	d.RetryAfter = s.calendar.Book(work.Time, perSlot, d.RetryAfter, j.Remaining/maxRetryDivisor, j.retrySpread(), now)
	s.shares.Refuse(work, now)
	d.KindServed = s.shares.ServedRatio(j.Kind, now)
	s.promises.Add(j.Request, share.Promise{RefusedAt: now, Due: now.Add(d.RetryAfter), IsTold: true})
	return d
}

// refuseEvaluated refuses a job for which no placement was worthwhile.
func (s *Scheduler) refuseEvaluated(w *queuedJob, j *Job, now time.Time) Decision {
	e := &w.evaluation
	cause, reason := CauseNoCapacity, "no engine has a slot and memory for it"
	isBehind := s.isOvertaking(w, now)
	switch {
	case e.atLimit == len(s.eligible(j)) && e.atLimit > 0 && e.available == 0:
		cause, reason = CauseRateLimit, "no engine takes a request now: each is at its request rate or asked to wait"
	case isBehind && w.standing.overShare:
		cause, reason = CauseOverShare, "its account has used more than its share of the engines, and others wait"
	case isBehind && w.isHeld:
		cause, reason = CauseBacklog, "the jobs that go before it take longer than it may wait"
	case e.available > 0:
		cause, reason = CauseDelaysOthers, "reading it now would make others late that are worth more"
	}
	return s.refuseContended(w, j, cause, reason, now)
}

// recordPlaced adds a placed job to the use of its account and kind.
func (s *Scheduler) recordPlaced(r *runningJob, now time.Time) {
	if !r.job.contends() {
		return
	}
	work := s.work(r.job)
	r.engineTime = work.Time
	s.shares.Serve(work, r.placedAt, now)
}

// recordRemoved takes back the use of a placed job that has no first event yet.
func (s *Scheduler) recordRemoved(r *runningJob, now time.Time) {
	if r.isDecoding || !r.job.contends() {
		return
	}
	work := s.work(r.job)
	work.Time = r.engineTime // the profile may have changed
	s.shares.Withdraw(work, r.placedAt, now)
}

// recordMissed counts a job that ended before its first event as not served: its caller
// left, or an endpoint refused or failed it. In the second case it may be submitted again.
func (s *Scheduler) recordMissed(j *Job, now time.Time) {
	if !j.contends() {
		return
	}
	s.shares.Miss(s.work(j), now)
	s.promises.Add(j.Request, share.Promise{RefusedAt: now, Due: now})
}
