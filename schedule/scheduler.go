package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthplank/jacinthplank/ratelimit"
	"github.com/jacinthplank/jacinthplank/spill"
)

// Endpoint is an engine that accepts jobs.
type Endpoint struct {
	ID            string
	Address       string
	FailureDomain string
	// Evacuated is set for an endpoint that takes no new jobs because its failure domain is
	// evacuated. Its jobs stay known, so that its capacity is right when it returns.
	Evacuated bool
}

// runningJob is a job placed at an endpoint.
type runningJob struct {
	job          *Job
	endpoint     string
	helpers      []string
	decision     Decision
	memoryTokens int           // tokens held at its own endpoint
	prefillTime  time.Duration // per part
	placedAt     time.Time
	expected     time.Duration // predicted time to the first event
	isDecoding   bool
}

// engine is the model of one endpoint.
type engine struct {
	Endpoint
	tieBreak     uint64                 // order among engines of equal score
	assigned     map[string]*runningJob // jobs that are decoded here
	prefillQueue []prefillTask          // in processing order
	headSince    time.Time              // last update of the first prefill
	helping      map[string]bool        // jobs decoded elsewhere that have no first event yet: a part may still be in prefill here
	reserved     map[string]int         // tokens reserved for prompts decoded elsewhere, by job
	observed     observation
	recentEnds   []time.Time
	suspectedAt  time.Time // latest failure since which it has not responded; zero for none
	blocked      bool
}

// prefillTask is a queued prefill of a prompt or of a part of one.
type prefillTask struct {
	job       string
	remaining time.Duration
}

// Scheduler places the jobs of one service. It is not safe for concurrent use.
type Scheduler struct {
	name           string
	peers          int // entries that place jobs on the same endpoints independently
	profile        EngineProfile
	limits         *ratelimit.Table // request rates that engines take
	links          *spill.Links     // quality of the links between failure domains; nil if unknown
	bytePrice      float64          // of a byte that leaves its failure domain
	domains        []string         // failure domains of the engines
	leaveCosts     leaveCosts       // by domain, for the current decision
	engines        map[string]*engine
	order          []*engine // in order of preference among equals
	jobs           map[string]*runningJob
	queue          []*queuedJob
	utilization    float64       // mean over the engines, for the current decision
	enginesAtLimit int           // engines that take no request now because of their rate limit, for the current decision
	viewScratch    []engineView  // reused between decisions
	helperScratch  []*engineView // reused between decisions
	planScratch    []helperPlan
	isScanning     bool      // the views are kept from one job of the queue to the next
	changed        []*engine // changed by a placement since their views were filled, during a scan
	evaluations    int       // placements evaluated so far
	nextScan       time.Time // earliest time of the next queue scan
	settledAt      time.Time // until then, long jobs wait for the jobs of other entries
}

// New returns a scheduler without endpoints. While peers place jobs on the same
// endpoints, schedulers of different names prefer equally good endpoints in different
// orders. Jobs are placed within the rates that limits allots.
func New(name string, f EngineProfile, limits *ratelimit.Table) *Scheduler {
	return &Scheduler{name: name, profile: f, limits: limits, engines: map[string]*engine{}, jobs: map[string]*runningJob{}}
}

// SetPeers sets the number of entries that place jobs independently of this one. Each
// is assumed to act as this one does, so jobs packed by several entries can meet on
// the same engine.
func (s *Scheduler) SetPeers(entries int) {
	if s.peers != entries {
		s.peers = max(entries, 0)
		s.sortEngines()
	}
}

// takeoverGrace is the time in which the other entries send a new coordinator their
// running jobs, and in which callers return after a restart of all entries.
const takeoverGrace = 150 * time.Millisecond

// TakeOver tells the scheduler that it places the jobs of all entries from now on. Long
// jobs wait for takeoverGrace: a fleet that seems empty would give them all engines.
func (s *Scheduler) TakeOver(now time.Time) { s.settledAt = now.Add(takeoverGrace) }

// awaitsTakeover reports whether a job is held because the state of the fleet is unknown.
func (s *Scheduler) awaitsTakeover(j *Job, now time.Time) bool {
	return j.Prompt >= minHelperPrompt && now.Before(s.settledAt)
}

// SetProfile replaces the profile of the engines.
func (s *Scheduler) SetProfile(f EngineProfile) { s.profile = f }

// SetEndpoints replaces the endpoints that accept jobs. Endpoints reported by blocked
// are used only when no other has capacity.
func (s *Scheduler) SetEndpoints(endpoints []Endpoint, blocked func(id string) bool) {
	engines := make(map[string]*engine, len(endpoints))
	s.order, s.domains = s.order[:0], s.domains[:0]
	for _, e := range endpoints {
		model := s.engines[e.ID]
		if model == nil {
			model = &engine{tieBreak: xxhash.Sum64String(s.name + "/" + e.ID), assigned: map[string]*runningJob{}, helping: map[string]bool{}, reserved: map[string]int{}}
		}
		model.Endpoint = e
		model.blocked = blocked(e.ID)
		engines[e.ID] = model
		if e.Evacuated {
			continue
		}
		s.order = append(s.order, model)
		if !slices.Contains(s.domains, e.FailureDomain) {
			s.domains = append(s.domains, e.FailureDomain)
		}
	}
	s.engines = engines
	s.sortEngines()
}

// sortEngines sets the order among engines of equal score: by id when all jobs are
// placed here, so that the next coordinator continues in the same order, and
// otherwise in an order specific to this entry.
func (s *Scheduler) sortEngines() {
	slices.SortFunc(s.order, func(a, b *engine) int {
		if s.peers > 0 && a.tieBreak != b.tieBreak {
			return cmp.Compare(a.tieBreak, b.tieBreak)
		}
		return cmp.Compare(a.ID, b.ID)
	})
}

// Submit adds a job and returns its decision, or nothing when the job is queued.
func (s *Scheduler) Submit(j Job, now time.Time) []Decision {
	if old := s.jobs[j.ID]; old != nil {
		s.remove(old, now)
	}
	if s.hasNoHome(&j) {
		return []Decision{s.refuseWithoutHome(&j)}
	}
	if j.Prompt+j.Answer > s.maxJobTokens(&j) {
		return []Decision{s.refuse(&j, "the prompt exceeds the memory of all engines that may read it", 0)}
	}
	if s.awaitsTakeover(&j, now) {
		s.queue = append(s.queue, &queuedJob{job: &j, arrived: now})
		return nil
	}
	j.yields = j.isLate()
	d, e, ok := s.place(&j, now)
	if ok {
		return []Decision{d}
	}
	wait := s.predictWait(&j, now)
	if wait > j.MaxWait() {
		return []Decision{s.refuseEvaluated(&j, e, wait)}
	}
	s.queue = append(s.queue, &queuedJob{job: &j, arrived: now, evaluation: e})
	return nil
}

// Started records the first event of a job.
func (s *Scheduler) Started(job string, now time.Time) []Decision {
	if r := s.jobs[job]; r != nil && !r.isDecoding {
		r.isDecoding = true
		s.removePrefills(r, now)
	}
	return s.scanQueue(now)
}

// Ended removes a job, placed or queued.
func (s *Scheduler) Ended(job string, now time.Time) []Decision {
	s.queue = slices.DeleteFunc(s.queue, func(w *queuedJob) bool { return w.job.ID == job })
	if r := s.jobs[job]; r != nil {
		s.remove(r, now)
	}
	return s.scanQueue(now)
}

func (s *Scheduler) remove(r *runningJob, now time.Time) {
	s.removePrefills(r, now)
	if e := s.engines[r.endpoint]; e != nil {
		delete(e.assigned, r.job.ID)
		e.recordEnd(now)
	}
	for _, id := range r.helpers {
		if e := s.engines[id]; e != nil {
			delete(e.reserved, r.job.ID)
		}
	}
	delete(s.jobs, r.job.ID)
}

// Adopt adds a job that another scheduler placed.
func (s *Scheduler) Adopt(placed PlacedJob, now time.Time) {
	j := placed.Job
	if old := s.jobs[j.ID]; old != nil {
		s.remove(old, now)
	}
	r := &runningJob{
		job: &j, endpoint: placed.Decision.Endpoint, decision: placed.Decision, placedAt: now.Add(-placed.Age), isDecoding: placed.Decoding,
		prefillTime: s.profile.PrefillTime(j.Prompt, 1+len(placed.Decision.Helpers)), expected: placed.Decision.Expected,
	}
	for _, h := range placed.Decision.Helpers {
		r.helpers = append(r.helpers, h.ID)
	}
	s.jobs[j.ID] = r
	s.reserveMemory(r)
	if e := s.engines[r.endpoint]; e != nil {
		e.assigned[j.ID] = r
	}
	if !placed.Decoding {
		s.addPrefills(r, now)
	}
}

// PlacedJobs returns the placed jobs of an owner, with their age now.
func (s *Scheduler) PlacedJobs(owner string, now time.Time) []PlacedJob {
	var out []PlacedJob
	for _, r := range s.jobs {
		if r.job.Owner == owner {
			out = append(out, PlacedJob{Job: *r.job, Decision: r.decision, Age: now.Sub(r.placedAt), Decoding: r.isDecoding})
		}
	}
	return out
}

// deliveryGrace is the maximum time for a decision to reach the owner of its job.
const deliveryGrace = time.Second

// Reconcile replaces the jobs of an owner by those that the owner reports as running.
// Recent decisions are kept, as they may not have reached the owner yet.
func (s *Scheduler) Reconcile(owner string, running []PlacedJob, now time.Time) []Decision {
	reported := make(map[string]bool, len(running))
	for _, a := range running {
		reported[a.Job.ID] = true
		if old := s.jobs[a.Job.ID]; old == nil || old.endpoint != a.Decision.Endpoint {
			s.Adopt(a, now)
		}
	}
	for id, r := range s.jobs {
		if r.job.Owner == owner && !reported[id] && now.Sub(r.placedAt) > deliveryGrace {
			s.remove(r, now)
		}
	}
	return s.scanQueue(now)
}

// DropOwner removes the jobs of an owner that is gone.
func (s *Scheduler) DropOwner(owner string, now time.Time) []Decision {
	s.removeWhere(now, func(j *Job) bool { return j.Owner == owner })
	return s.scanQueue(now)
}

// DropOtherOwners removes the jobs of all owners but one. Callers that wait for a
// decision on them ask the next coordinator. The queue is not scanned until the next
// tick.
func (s *Scheduler) DropOtherOwners(owner string, now time.Time) {
	s.removeWhere(now, func(j *Job) bool { return j.Owner != owner })
}

func (s *Scheduler) removeWhere(now time.Time, drop func(*Job) bool) {
	s.queue = slices.DeleteFunc(s.queue, func(w *queuedJob) bool { return drop(w.job) })
	for _, r := range s.jobs {
		if drop(r.job) {
			s.remove(r, now)
		}
	}
}

// EndpointOf returns the endpoint of a job, empty for none, and whether its first
// event has arrived.
func (s *Scheduler) EndpointOf(job string) (endpoint string, isDecoding bool) {
	if r := s.jobs[job]; r != nil {
		return r.endpoint, r.isDecoding
	}
	return "", false
}

// maxJobTokens returns the memory available to a job on its engine and helpers.
func (s *Scheduler) maxJobTokens(j *Job) int {
	eligible := s.eligible(j)
	helpers := len(eligible) - countEngines(eligible, s.hasRateLimit) // engines with a limit don't help
	engines := min(len(eligible), 1+min(helpers, helperCounts[len(helperCounts)-1]))
	return s.profile.MemoryTokens + int(maxMemoryShare*float64(s.profile.MemoryTokens*max(engines-1, 0)))
}

func (s *Scheduler) refuse(j *Job, reason string, retryAfter time.Duration) Decision {
	retryAfter = max(min(retryAfter, j.Remaining/maxRetryDivisor), j.retryDelay())
	return Decision{Job: j.ID, Reason: reason, RetryAfter: retryAfter, Endpoints: len(s.eligible(j)), QueueLength: len(s.queue)}
}

// refuseEvaluated refuses a job for which no placement was worthwhile and adds the
// evaluation to the decision.
func (s *Scheduler) refuseEvaluated(j *Job, e evaluation, retryAfter time.Duration) Decision {
	reason := "no engine has a slot and memory for it"
	switch {
	case e.available > 0:
		reason = "reading it now would make others late that are worth more"
	case e.atLimit > 0 && e.atLimit == len(s.eligible(j)):
		reason = "no engine takes a request now: each is at its request rate or asked to wait"
	}
	d := s.refuse(j, reason, retryAfter)
	e.copyTo(&d)
	return d
}

// Retries of callers that are refused at the same time are spread over this share of
// their remaining time.
const (
	minRetryShare       = 0.05
	retryShareRange     = 0.20
	minLateRetryShare   = 0.20
	lateRetryShareRange = 0.13
	maxRetryDivisor     = 3 // callers accept at most this fraction of their remaining time, by the platform's contract
)

// retryDelay returns a retry delay that is derived from the job's id, to spread retries.
func (j *Job) retryDelay() time.Duration {
	part := float64(xxhash.Sum64String(j.ID)%1024) / 1024
	short := time.Duration((minRetryShare + retryShareRange*part) * float64(j.Remaining))
	if short < j.Goal {
		return short
	}
	return time.Duration((minLateRetryShare + lateRetryShareRange*part) * float64(j.Remaining))
}
