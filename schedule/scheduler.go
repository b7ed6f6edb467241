package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Endpoint is an engine that takes work.
type Endpoint struct {
	ID            string
	Address       string
	FailureDomain string
}

// running is a job at its endpoint.
type running struct {
	job       *Job
	endpoint  string
	helpers   []string
	decision  Decision
	keeps     int           // tokens in the memory of its own endpoint
	read      time.Duration // of each part
	placed    time.Time
	expected  time.Duration // to the first event
	isWriting bool
}

// engine is what the model holds of one endpoint.
type engine struct {
	Endpoint
	turn      uint64              // place among equals
	writers   map[string]*running // jobs whose answers come from here
	parts     []part              // reading, in order
	headSince time.Time           // when the first part came to the head
	helps     map[string]bool     // jobs answered elsewhere whose first event has not come: a part may still be read here
	held      map[string]int      // tokens set aside for prompts that are answered elsewhere, by job
	observed  observation
	ended     []time.Time // of the latest jobs
	blocked   bool
	pace      float64 // how much longer first events take than the model says; 1 or more
}

// part is a piece of reading.
type part struct {
	job  string
	cost time.Duration
}

// waiting is a job without an endpoint.
type waiting struct {
	job     *Job
	arrived time.Time
	weighed weighed // at the last look
}

// Scheduler places the jobs of one service. It is not safe for concurrent use.
type Scheduler struct {
	name      string
	others    int // entries that place on the same endpoints unseen
	figures   EngineProfile
	engines   map[string]*engine
	order     []*engine // by id
	jobs      map[string]*running
	queue     []*waiting
	busy      float64 // part of the engines that is taken, at the decision under way
	scratch   []view  // of the decision under way
	helping   []*view // of the decision under way
	splitting []split
	nextLook  time.Time // no look at the queue before
}

// New returns a scheduler without endpoints. While others place besides it,
// schedulers of different names take endpoints that are equally good in different
// orders.
func New(name string, f EngineProfile) *Scheduler {
	return &Scheduler{name: name, figures: f, engines: map[string]*engine{}, jobs: map[string]*running{}}
}

// SetPeers tells how many entries place jobs that are not seen here. Each of them
// is taken to do what this one does: packs of several entries meet on some engines.
func (s *Scheduler) SetPeers(entries int) {
	if s.others != entries {
		s.others = max(entries, 0)
		s.arrange()
	}
}

// SetProfile replaces the figures of the engines.
func (s *Scheduler) SetProfile(f EngineProfile) { s.figures = f }

// SetEndpoints replaces the endpoints that take work. blocked tells of those
// that are to be avoided while others are there.
func (s *Scheduler) SetEndpoints(all []Endpoint, blocked func(id string) bool) {
	next := make(map[string]*engine, len(all))
	s.order = s.order[:0]
	for _, e := range all {
		known := s.engines[e.ID]
		if known == nil {
			known = &engine{turn: xxhash.Sum64String(s.name + "/" + e.ID), writers: map[string]*running{}, helps: map[string]bool{}, held: map[string]int{}, pace: 1}
		}
		known.Endpoint = e
		known.blocked = blocked(e.ID)
		next[e.ID] = known
		s.order = append(s.order, known)
	}
	s.engines = next
	s.arrange()
}

// arrange orders the engines for choices between equals: by id where all jobs are
// seen, so that the next coordinator goes on in the same order, and otherwise in an
// order of this entry's own.
func (s *Scheduler) arrange() {
	slices.SortFunc(s.order, func(a, b *engine) int {
		if s.others > 0 && a.turn != b.turn {
			return cmp.Compare(a.turn, b.turn)
		}
		return cmp.Compare(a.ID, b.ID)
	})
}

// Submit takes a job and returns the decisions that follow: of this job at once
// unless it waits.
func (s *Scheduler) Submit(j Job, now time.Time) []Decision {
	if old := s.jobs[j.ID]; old != nil {
		s.remove(old, now)
	}
	if j.Prompt+j.Answer > s.fleetMemory() {
		return []Decision{s.refuse(&j, "the prompt exceeds the memory of all engines that may read it", 0)}
	}
	d, w, ok := s.place(&j, now)
	if ok {
		return []Decision{d}
	}
	wait := s.predictWait(now)
	if wait > j.MaxWait() {
		return []Decision{s.refuseWeighed(&j, w, wait)}
	}
	s.queue = append(s.queue, &waiting{job: &j, arrived: now, weighed: w})
	return nil
}

// Started tells that a job's first event has come.
func (s *Scheduler) Started(job string, now time.Time) []Decision {
	if r := s.jobs[job]; r != nil && !r.isWriting {
		r.isWriting = true
		if e := s.engines[r.endpoint]; e != nil {
			e.learn(now.Sub(r.placed), r.expected)
		}
		s.dropParts(r, now)
	}
	return s.retryQueue(now)
}

// Ended tells that a job is over, placed or not.
func (s *Scheduler) Ended(job string, now time.Time) []Decision {
	s.queue = slices.DeleteFunc(s.queue, func(w *waiting) bool { return w.job.ID == job })
	if r := s.jobs[job]; r != nil {
		s.remove(r, now)
	}
	return s.retryQueue(now)
}

func (s *Scheduler) remove(r *running, now time.Time) {
	s.dropParts(r, now)
	if e := s.engines[r.endpoint]; e != nil {
		delete(e.writers, r.job.ID)
		e.noteEnd(now)
	}
	for _, id := range r.helpers {
		if e := s.engines[id]; e != nil {
			delete(e.held, r.job.ID)
		}
	}
	delete(s.jobs, r.job.ID)
}

// Adopt takes a job that was placed elsewhere.
func (s *Scheduler) Adopt(a PlacedJob, now time.Time) {
	j := a.Job
	if old := s.jobs[j.ID]; old != nil {
		s.remove(old, now)
	}
	r := &running{
		job: &j, endpoint: a.Decision.Endpoint, decision: a.Decision, placed: now.Add(-a.Age), isWriting: a.Decoding,
		read: s.figures.PrefillTime(j.Prompt, 1+len(a.Decision.Helpers)), expected: a.Decision.Expected,
	}
	for _, h := range a.Decision.Helpers {
		r.helpers = append(r.helpers, h.ID)
	}
	s.jobs[j.ID] = r
	s.settleMemory(r)
	if e := s.engines[r.endpoint]; e != nil {
		e.writers[j.ID] = r
	}
	if !a.Decoding {
		s.addParts(r, now)
	}
}

// PlacedJob returns the jobs of an owner that are under way.
func (s *Scheduler) PlacedJobs(owner string) []PlacedJob {
	var out []PlacedJob
	for _, r := range s.jobs {
		if r.job.Owner == owner {
			out = append(out, PlacedJob{Job: *r.job, Decision: r.decision, Age: time.Since(r.placed), Decoding: r.isWriting})
		}
	}
	return out
}

// settleTime is how long a decision may be on its way to the owner of its job.
const settleTime = time.Second

// Reconcile brings the jobs of an owner in step with what the owner says runs.
// Decisions that may still be on their way to the owner stand.
func (s *Scheduler) Reconcile(owner string, running []PlacedJob, now time.Time) []Decision {
	there := make(map[string]bool, len(running))
	for _, a := range running {
		there[a.Job.ID] = true
		if old := s.jobs[a.Job.ID]; old == nil || old.endpoint != a.Decision.Endpoint {
			s.Adopt(a, now)
		}
	}
	for id, r := range s.jobs {
		if r.job.Owner == owner && !there[id] && now.Sub(r.placed) > settleTime {
			s.remove(r, now)
		}
	}
	return s.retryQueue(now)
}

// DropOwner forgets the jobs of an owner that is gone.
func (s *Scheduler) DropOwner(owner string, now time.Time) []Decision {
	s.dropWhere(now, func(j *Job) bool { return j.Owner == owner })
	return s.retryQueue(now)
}

// DropOtherOwners forgets the jobs of all but one owner. Whoever waits for a decision on
// one of them asks the next coordinator. What waits here is not looked at: that
// follows at the next tick.
func (s *Scheduler) DropOtherOwners(owner string, now time.Time) {
	s.dropWhere(now, func(j *Job) bool { return j.Owner != owner })
}

func (s *Scheduler) dropWhere(now time.Time, drop func(*Job) bool) {
	s.queue = slices.DeleteFunc(s.queue, func(w *waiting) bool { return drop(w.job) })
	for _, r := range s.jobs {
		if drop(r.job) {
			s.remove(r, now)
		}
	}
}

// Tick refuses what can't be served any more and places what can.
func (s *Scheduler) Tick(now time.Time) []Decision {
	out := s.retryQueue(now)
	s.queue = slices.DeleteFunc(s.queue, func(w *waiting) bool {
		waited := now.Sub(w.arrived)
		if waited < w.job.MaxWait() {
			return false
		}
		j := w.job.After(waited)
		out = append(out, s.refuseWeighed(&j, w.weighed, s.predictWait(now)))
		return true
	})
	return out
}

// EndpointOf returns the endpoint that a job was placed at, empty for none, and
// whether its first event has come.
func (s *Scheduler) EndpointOf(job string) (endpoint string, isWriting bool) {
	if r := s.jobs[job]; r != nil {
		return r.endpoint, r.isWriting
	}
	return "", false
}

// QueueLength is the number of jobs without an endpoint.
func (s *Scheduler) QueueLength() int { return len(s.queue) }

// fleetMemory is the most tokens that the memories of one prompt's engines hold.
func (s *Scheduler) fleetMemory() int {
	engines := min(len(s.order), 1+helperCounts[len(helperCounts)-1])
	return s.figures.MemoryTokens + int(memoryShare*float64(s.figures.MemoryTokens*max(engines-1, 0)))
}

func (s *Scheduler) refuse(j *Job, reason string, comeBack time.Duration) Decision {
	comeBack = max(min(comeBack, j.Remaining/comeBackMost), j.spread())
	return Decision{Job: j.ID, Reason: reason, RetryAfter: comeBack, Endpoints: len(s.order), QueueLength: len(s.queue)}
}

// refuseWeighed refuses a job that no way to place it was worth, with what was
// weighed.
func (s *Scheduler) refuseWeighed(j *Job, w weighed, comeBack time.Duration) Decision {
	reason := "no engine has a slot and memory for it"
	if w.room > 0 {
		reason = "reading it now would make others late that are worth more"
	}
	d := s.refuse(j, reason, comeBack)
	w.note(&d)
	return d
}

// Callers that are refused together come back spread over this part of the time
// that they have left.
const (
	comeBackFrom  = 0.05
	comeBackRange = 0.20
	comeBackMost  = 3 // callers follow no more than one part in so many, by the platform's contract
)

// spread is a time to come back that differs from job to job.
func (j *Job) spread() time.Duration {
	part := float64(xxhash.Sum64String(j.ID)%1024) / 1024
	return time.Duration((comeBackFrom + comeBackRange*part) * float64(j.Remaining))
}

// lookPause is the least time between two looks at the queue: each weighs every
// job in it anew.
const lookPause = 20 * time.Millisecond

// retryQueue places what waits, the most urgent first.
func (s *Scheduler) retryQueue(now time.Time) []Decision {
	if len(s.queue) == 0 || now.Before(s.nextLook) {
		return nil
	}
	s.nextLook = now.Add(lookPause)
	slices.SortStableFunc(s.queue, func(a, b *waiting) int {
		return cmp.Or(cmp.Compare(a.job.Priority, b.job.Priority), compareBool(a.isLate(now), b.isLate(now)), a.dueAt().Compare(b.dueAt()))
	})
	var out []Decision
	s.queue = slices.DeleteFunc(s.queue, func(w *waiting) bool {
		j := w.job.After(now.Sub(w.arrived))
		d, weighed, ok := s.place(&j, now)
		w.weighed = weighed
		if ok {
			out = append(out, d)
		}
		return ok
	})
	return out
}

func (w *waiting) dueAt() time.Time { return w.arrived.Add(w.job.Goal) }

// isLate reports whether a job can no longer be on time: those that can go first.
func (w *waiting) isLate(now time.Time) bool { return now.After(w.dueAt()) }

// compareBool puts false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}

// predictWait is the shortest time until some engine has read what it has.
func (s *Scheduler) predictWait(now time.Time) time.Duration {
	least := time.Duration(-1)
	for _, e := range s.order {
		wait := e.backlog(now) + s.figures.PassTime(len(e.writers), s.figures.MeanPrompt*len(e.writers))
		if least < 0 || wait < least {
			least = wait
		}
	}
	return max(least, 0)
}
