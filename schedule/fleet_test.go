package schedule_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jacinthplank/jacinthplank/ratelimit"
	"github.com/jacinthplank/jacinthplank/schedule"
)

// The simulated fleet follows the platform's description of the engines: passes,
// chunked prefill between the steps of decoding requests, and helper parts at the head
// of the queue. It uses no network and no real clock: a run of one minute takes
// milliseconds.

// requestKind is a class of requests in a workload.
type requestKind struct {
	name                  string
	prompt, promptSigma   float64 // mean tokens; standard deviation of the logarithm
	maxPrompt             float64
	events, eventsSigma   float64
	maxEvents             float64
	goal, pause, deadline time.Duration
	credit, lateCredit    float64
	perSecond             float64
}

var requestKinds = []requestKind{
	{"short", 4960, 0.9, 23800, 34.9, 0.7, 87.2, 300 * time.Millisecond, 200 * time.Millisecond, 10 * time.Second, 1.3, 0.33, 39.5},
	{"middle", 45000, 0.5, 110000, 20.9, 0.6, 52.3, 1500 * time.Millisecond, 500 * time.Millisecond, 10 * time.Second, 3.1, 0.79, 2.87},
	{"huge", 210000, 0.55, 1000000, 17.4, 0.5, 43.6, 3 * time.Second, 800 * time.Millisecond, 15 * time.Second, 22, 5.4, 1.19},
}

// rateChange multiplies the request rates by kind during an interval.
type rateChange struct {
	from, to time.Duration
	factors  [3]float64
}

// opposedWaves is the load pattern of the most demanding days: short and huge requests
// rise and fall in opposite phase every ten seconds.
var opposedWaves = []rateChange{
	{2 * time.Second, 11500 * time.Millisecond, [3]float64{0.36, 1.3, 2.8}},
	{12 * time.Second, 21500 * time.Millisecond, [3]float64{2.4, 0.5, 0.05}},
	{23 * time.Second, 32500 * time.Millisecond, [3]float64{0.35, 1.3, 2.8}},
}

// workload configures a simulated run.
type workload struct {
	engines     int
	scale       float64 // factor on all request rates
	duration    time.Duration
	rateChanges []rateChange
	seed        uint64
	slowdowns   map[int]float64 // by engine; 1 when absent
	stalls      map[int][2]time.Duration
	outage      [2]time.Duration // all entries are down; their callers return together at its end
	contention  contention
}

var modelProfile = schedule.EngineProfile{
	Slots: 16, MemoryTokens: 450_000, StepsPerPass: 46, Step: 925 * time.Microsecond, StepPerDecode: 4830 * time.Nanosecond,
	StepPerKContext: 2540 * time.Nanosecond, PrefillPerSecond: 256_000, TimePerMPairs: 91700 * time.Nanosecond, ChunkTokens: 2048,
	MeanPrompt: 13239,
}

// simRequest is a simulated request.
type simRequest struct {
	id           string
	kind         int
	prompt       int
	events       int
	arrived      time.Duration
	first        time.Duration
	last         time.Duration
	longestPause time.Duration
	sent         int
	done         bool
	abandoned    bool
	refused      bool
	returning    bool // an outage ended an earlier attempt
	account      string
	toldAt       time.Duration // first refusal
	retryAt      time.Duration // when its caller was told to return then
	placedBy     int           // attempt that was placed
	awaitsReturn bool          // refused with a retry time that has not come
	attempts     int
	partsLeft    int // parts still in prefill
	engine       *simEngine
	admittedTo   *simEngine         // engine whose memory it occupies
	memoryTokens int                // tokens held there
	reserved     map[*simEngine]int // tokens reserved on helpers
	credit       float64
	lateCredit   float64
}

type simPrefill struct {
	r        *simRequest
	tokens   float64 // remaining
	pairTime float64 // attention time per token, in ns
}

type simEngine struct {
	id             int
	prefills       []*simPrefill
	decoding       []*simRequest
	admissions     []func() // requests waiting for memory or a slot, in order
	memory         int
	slots          int
	admissionQueue []*simRequest
	busy           bool
	slowdown       float64
	stall          [2]time.Duration
}

type simEvent struct {
	at  time.Duration
	seq int
	run func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, k int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[k].at), cmp.Compare(q[i].seq, q[k].seq)) < 0
}
func (q simQueue) Swap(i, k int) { q[i], q[k] = q[k], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// placementPolicy is the scheduler or a baseline.
type placementPolicy interface {
	Submit(j schedule.Job, now time.Time) []schedule.Decision
	Started(job string, now time.Time) []schedule.Decision
	Ended(job string, now time.Time) []schedule.Decision
	Tick(now time.Time) []schedule.Decision
}

type simulation struct {
	workload workload
	policy   placementPolicy
	now      time.Duration
	queue    simQueue
	events   int
	engines  []*simEngine
	requests []*simRequest
	byID     map[string]*simRequest
	random   *rand.Rand

	accountRandom *rand.Rand // nil until an account is drawn

	refusedAfter map[string]time.Duration // time from arrival to the last refusal
}

var simStart = time.Unix(1_000_000, 0)

func (s *simulation) clock() time.Time { return simStart.Add(s.now) }

func (s *simulation) scheduleAt(t time.Duration, run func()) {
	s.events++
	heap.Push(&s.queue, simEvent{t, s.events, run})
}

func lognormal(r *rand.Rand, mean, sigma, limit float64) float64 {
	mu := math.Log(mean) - sigma*sigma/2
	return min(math.Exp(mu+sigma*r.NormFloat64()), limit)
}

func engineName(i int) string { return fmt.Sprintf("e%02d", i) }

// simulate runs a workload and returns the final state.
func simulate(l workload, policy placementPolicy) *simulation {
	s := &simulation{workload: l, policy: policy, byID: map[string]*simRequest{}, refusedAfter: map[string]time.Duration{}, random: rand.New(rand.NewPCG(l.seed, 7))}
	for i := range l.engines {
		e := &simEngine{id: i, slowdown: 1}
		if p, slow := l.slowdowns[i]; slow {
			e.slowdown = p
		}
		e.stall = l.stalls[i]
		s.engines = append(s.engines, e)
	}
	for k := range requestKinds {
		s.arrivals(k)
	}
	var tick func()
	tick = func() {
		s.apply(s.policy.Tick(s.clock()))
		if s.now < l.duration+15*time.Second {
			s.scheduleAt(s.now+50*time.Millisecond, tick)
		}
	}
	s.scheduleAt(0, tick)
	if l.outage[1] > 0 {
		s.scheduleAt(l.outage[0], s.cutRequests)
	}
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.run()
	}
	return s
}

func (s *simulation) rate(kind int) float64 {
	rate := requestKinds[kind].perSecond * s.workload.scale * s.floodFactor(kind)
	for _, w := range s.workload.rateChanges {
		if s.now >= w.from && s.now < w.to {
			rate *= w.factors[kind]
		}
	}
	return rate
}

func (s *simulation) arrivals(kind int) {
	k := requestKinds[kind]
	var next func()
	next = func() {
		if s.now >= s.workload.duration {
			return
		}
		if s.now > 0 {
			r := &simRequest{
				id: fmt.Sprintf("%s-%d", k.name, len(s.requests)), kind: kind, arrived: s.now,
				account: s.drawAccount(kind),
				prompt:  max(int(lognormal(s.random, k.prompt, k.promptSigma, k.maxPrompt)), 100),
				events:  max(int(lognormal(s.random, k.events, k.eventsSigma, k.maxEvents)), 1),
			}
			size := min(0.3+0.7*float64(r.prompt)/k.prompt, 4)
			r.credit, r.lateCredit = k.credit*size, k.lateCredit*size
			s.requests = append(s.requests, r)
			s.byID[r.id] = r
			if s.inOutage() {
				r.returning = true
				s.scheduleAt(s.workload.outage[1], func() { s.submit(r) })
			} else {
				s.submit(r)
			}
		}
		// The rate may change before the next arrival, so time advances in small steps.
		step := s.workload.contention.arrivalStep()
		at := s.now
		for {
			at += step
			saved := s.now
			s.now = at
			hit := s.random.Float64() < s.rate(kind)*step.Seconds()
			s.now = saved
			if hit || at >= s.workload.duration {
				break
			}
		}
		s.scheduleAt(at, next)
	}
	s.scheduleAt(0, next)
}

func (s *simulation) submit(r *simRequest) {
	k := requestKinds[r.kind]
	elapsed := s.now - r.arrived
	r.attempts++
	r.awaitsReturn = false
	s.apply(s.policy.Submit(schedule.Job{
		ID: r.id, Owner: "o", Prompt: r.prompt, Answer: int(float64(r.events*46) * math.Exp(0.5*s.random.NormFloat64())), Goal: k.goal - elapsed, PauseGoal: k.pause,
		Remaining: k.deadline - elapsed, Urgency: s.workload.contention.urgency(r), Account: r.account, Kind: s.workload.contention.kindName(r),
		Request: s.workload.contention.requestName(r),
	}, s.clock()))
	streamTimeout := max(2*time.Second, 4*k.goal, 8*k.pause)
	attempt := r.attempts
	s.scheduleAt(s.now+streamTimeout, func() {
		if r.first == 0 && r.attempts == attempt && !r.abandoned && !r.refused && !r.awaitsReturn {
			s.abandon(r)
		}
	})
	s.scheduleAt(r.arrived+k.deadline, func() {
		if !r.done && !r.abandoned {
			s.abandon(r)
		}
	})
}

// cutRequests ends all requests in progress. Their callers return after the outage.
func (s *simulation) cutRequests() {
	for _, e := range s.engines {
		e.admissions, e.admissionQueue = nil, nil
	}
	for i, r := range s.requests {
		if r.done || r.abandoned {
			continue
		}
		s.release(r)
		s.apply(s.policy.Ended(r.id, s.clock()))
		r.abandoned = true
		next := &simRequest{
			id: r.id, kind: r.kind, prompt: r.prompt, events: r.events, arrived: r.arrived, credit: r.credit, lateCredit: r.lateCredit,
			returning: true,
		}
		s.requests[i], s.byID[r.id] = next, next
		s.scheduleAt(s.workload.outage[1], func() { s.submit(next) })
	}
}

func (s *simulation) inOutage() bool {
	return s.now >= s.workload.outage[0] && s.now < s.workload.outage[1]
}

func (s *simulation) abandon(r *simRequest) {
	r.abandoned = true
	s.release(r)
	s.apply(s.policy.Ended(r.id, s.clock()))
}

func (s *simulation) dispatch(r *simRequest, d schedule.Decision) {
	var primary int
	_, _ = fmt.Sscanf(d.Endpoint, "e%d", &primary)
	parts := 1 + len(d.Helpers)
	r.partsLeft = parts
	r.engine = s.engines[primary]
	pairs := float64(r.prompt) / 2 / 1e6 * float64(modelProfile.TimePerMPairs)
	r.memoryTokens = r.prompt + r.events*46
	r.reserved = map[*simEngine]int{}
	for _, h := range d.Helpers {
		if h.Tokens > 0 {
			var i int
			_, _ = fmt.Sscanf(h.ID, "e%d", &i)
			r.reserved[s.engines[i]] = h.Tokens
			s.engines[i].memory += h.Tokens
			r.memoryTokens -= h.Tokens
		}
	}
	admit := func() {
		r.admittedTo = r.engine
		r.engine.memory += r.memoryTokens
		r.engine.slots++
	}
	add := func(i int, helper bool) {
		e := s.engines[i]
		p := &simPrefill{r: r, tokens: float64(r.prompt) / float64(parts), pairTime: pairs}
		if helper {
			// The newest helper part goes first.
			e.prefills = slices.Insert(e.prefills, 0, p)
		} else {
			e.prefills = append(e.prefills, p)
		}
		s.startPass(e)
	}
	begin := func() {
		if r.abandoned {
			return
		}
		admit()
		add(primary, false)
		for _, h := range d.Helpers {
			var i int
			_, _ = fmt.Sscanf(h.ID, "e%d", &i)
			add(i, true)
		}
	}
	r.engine.admissions = append(r.engine.admissions, begin)
	r.engine.admissionQueue = append(r.engine.admissionQueue, r)
	s.admit(r.engine)
}

func newScheduler(l workload) *schedule.Scheduler {
	s := schedule.New("entry", modelProfile, ratelimit.NewTable())
	var endpoints []schedule.Endpoint
	for i := range l.engines {
		endpoints = append(endpoints, schedule.Endpoint{ID: engineName(i), Address: engineName(i)})
	}
	s.SetEndpoints(endpoints, func(string) bool { return false })
	return s
}
