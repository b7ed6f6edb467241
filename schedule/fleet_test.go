package schedule_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/jacinthplank/jacinthplank/schedule"
)

// The simulated fleet below works as the platform's pages tell of the engines:
// passes, reading in chunks between the tokens of writers, helpers whose parts go
// first. It has no network and no clock: a day of a minute plays in milliseconds.

// kindOfRequest is one kind of request of a load.
type kindOfRequest struct {
	name                  string
	prompt, promptSpread  float64 // mean tokens, spread of the log
	promptMost            float64
	events, eventsSpread  float64
	eventsMost            float64
	goal, pause, deadline time.Duration
	worth, late           float64
	perSecond             float64
}

var dayKinds = []kindOfRequest{
	{"short", 4960, 0.9, 23800, 34.9, 0.7, 87.2, 300 * time.Millisecond, 200 * time.Millisecond, 10 * time.Second, 1.3, 0.33, 39.5},
	{"middle", 45000, 0.5, 110000, 20.9, 0.6, 52.3, 1500 * time.Millisecond, 500 * time.Millisecond, 10 * time.Second, 3.1, 0.79, 2.87},
	{"huge", 210000, 0.55, 1000000, 17.4, 0.5, 43.6, 3 * time.Second, 800 * time.Millisecond, 15 * time.Second, 22, 5.4, 1.19},
}

// wave multiplies the rates of the kinds for some time.
type wave struct {
	from, to time.Duration
	times    [3]float64
}

// opposedWaves is the swing of the heaviest days: short requests and huge ones
// rise and fall in opposite phase every ten seconds.
var opposedWaves = []wave{
	{2 * time.Second, 11500 * time.Millisecond, [3]float64{0.36, 1.3, 2.8}},
	{12 * time.Second, 21500 * time.Millisecond, [3]float64{2.4, 0.5, 0.05}},
	{23 * time.Second, 32500 * time.Millisecond, [3]float64{0.35, 1.3, 2.8}},
}

// load is what a simulated fleet gets.
type load struct {
	engines int
	scale   float64 // of the rates
	length  time.Duration
	waves   []wave
	seed    uint64
	slow    map[int]float64 // pace of single engines
	dead    map[int][2]time.Duration
}

var modelFigures = schedule.EngineProfile{
	Slots: 16, MemoryTokens: 450_000, StepsPerPass: 46, Step: 925 * time.Microsecond, StepPerDecode: 4830 * time.Nanosecond,
	StepPerKContext: 2540 * time.Nanosecond, PrefillPerSecond: 256_000, TimePerMPairs: 91700 * time.Nanosecond, ChunkTokens: 2048,
	MeanPrompt: 13239,
}

// simRequest is a request of the simulated day.
type simRequest struct {
	id       string
	kind     int
	prompt   int
	events   int
	arrived  time.Duration
	first    time.Duration
	last     time.Duration
	longest  time.Duration
	sent     int
	done     bool
	gone     bool
	refused  bool
	tries    int
	parts    int // reading still to come
	engine   *simEngine
	holds    *simEngine         // whose memory it takes
	keeps    int                // tokens of it there
	apart    map[*simEngine]int // tokens set aside elsewhere
	worth    float64
	lateness float64
}

type simPart struct {
	r      *simRequest
	tokens float64 // left
	per    float64 // time of pairs per token, ns
}

type simEngine struct {
	id      int
	reading []*simPart
	writers []*simRequest
	waiting []func() // requests that do not fit yet, in order
	memory  int
	slots   int
	need    []*simRequest
	busy    bool
	pace    float64
	deadAt  [2]time.Duration
}

type simEvent struct {
	at time.Duration
	n  int
	do func()
}

type simQueue []simEvent

func (q simQueue) Len() int { return len(q) }
func (q simQueue) Less(i, k int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[k].at), cmp.Compare(q[i].n, q[k].n)) < 0
}
func (q simQueue) Swap(i, k int) { q[i], q[k] = q[k], q[i] }
func (q *simQueue) Push(x any)   { *q = append(*q, x.(simEvent)) }
func (q *simQueue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

// chooser is a policy: the scheduler, or a baseline.
type chooser interface {
	Submit(j schedule.Job, now time.Time) []schedule.Decision
	Started(job string, now time.Time) []schedule.Decision
	Ended(job string, now time.Time) []schedule.Decision
	Tick(now time.Time) []schedule.Decision
}

type sim struct {
	load    load
	policy  chooser
	now     time.Duration
	queue   simQueue
	events  int
	engines []*simEngine
	all     []*simRequest
	byID    map[string]*simRequest
	random  *rand.Rand

	refusedAfter map[string]time.Duration // time from arrival to the last refusal
}

var simStart = time.Unix(1_000_000, 0)

func (s *sim) clock() time.Time { return simStart.Add(s.now) }

func (s *sim) at(t time.Duration, do func()) {
	s.events++
	heap.Push(&s.queue, simEvent{t, s.events, do})
}

func lognormal(r *rand.Rand, mean, spread, most float64) float64 {
	mu := math.Log(mean) - spread*spread/2
	return min(math.Exp(mu+spread*r.NormFloat64()), most)
}

func engineName(i int) string { return fmt.Sprintf("e%02d", i) }

// play runs a day and returns its requests.
func play(l load, policy chooser) *sim {
	s := &sim{load: l, policy: policy, byID: map[string]*simRequest{}, refusedAfter: map[string]time.Duration{}, random: rand.New(rand.NewPCG(l.seed, 7))}
	for i := range l.engines {
		e := &simEngine{id: i, pace: 1}
		if p, slow := l.slow[i]; slow {
			e.pace = p
		}
		e.deadAt = l.dead[i]
		s.engines = append(s.engines, e)
	}
	for k := range dayKinds {
		s.arrivals(k)
	}
	var tick func()
	tick = func() {
		s.decide(s.policy.Tick(s.clock()))
		if s.now < l.length+15*time.Second {
			s.at(s.now+50*time.Millisecond, tick)
		}
	}
	s.at(0, tick)
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(simEvent)
		s.now = e.at
		e.do()
	}
	return s
}

func (s *sim) rate(kind int) float64 {
	rate := dayKinds[kind].perSecond * s.load.scale
	for _, w := range s.load.waves {
		if s.now >= w.from && s.now < w.to {
			rate *= w.times[kind]
		}
	}
	return rate
}

func (s *sim) arrivals(kind int) {
	k := dayKinds[kind]
	var next func()
	next = func() {
		if s.now >= s.load.length {
			return
		}
		if s.now > 0 {
			r := &simRequest{
				id: fmt.Sprintf("%s-%d", k.name, len(s.all)), kind: kind, arrived: s.now,
				prompt: max(int(lognormal(s.random, k.prompt, k.promptSpread, k.promptMost)), 100),
				events: max(int(lognormal(s.random, k.events, k.eventsSpread, k.eventsMost)), 1),
			}
			size := min(0.3+0.7*float64(r.prompt)/k.prompt, 4)
			r.worth, r.lateness = k.worth*size, k.late*size
			s.all = append(s.all, r)
			s.byID[r.id] = r
			s.submit(r)
		}
		// The rate may change before the next arrival: step in small spans.
		step := 20 * time.Millisecond
		at := s.now
		for {
			at += step
			saved := s.now
			s.now = at
			hit := s.random.Float64() < s.rate(kind)*step.Seconds()
			s.now = saved
			if hit || at >= s.load.length {
				break
			}
		}
		s.at(at, next)
	}
	s.at(0, next)
}

func (s *sim) submit(r *simRequest) {
	k := dayKinds[r.kind]
	elapsed := s.now - r.arrived
	r.tries++
	s.decide(s.policy.Submit(schedule.Job{
		ID: r.id, Owner: "o", Prompt: r.prompt, Answer: int(float64(r.events*46) * math.Exp(0.5*s.random.NormFloat64())), Goal: k.goal - elapsed, PauseGoal: k.pause,
		Remaining: k.deadline - elapsed, Priority: 1,
	}, s.clock()))
	patience := max(2*time.Second, 4*k.goal, 8*k.pause)
	s.at(r.arrived+patience, func() {
		if r.first == 0 && !r.gone {
			s.leave(r)
		}
	})
	s.at(r.arrived+k.deadline, func() {
		if !r.done && !r.gone {
			s.leave(r)
		}
	})
}

func (s *sim) leave(r *simRequest) {
	r.gone = true
	s.drop(r)
	s.decide(s.policy.Ended(r.id, s.clock()))
}

func (s *sim) drop(r *simRequest) {
	if e := r.holds; e != nil {
		r.holds = nil
		e.memory -= r.keeps
		e.slots--
		defer s.admit(e)
	}
	for e, tokens := range r.apart {
		e.memory -= tokens
		defer s.admit(e)
	}
	r.apart = nil
	for _, e := range s.engines {
		e.reading = slices.DeleteFunc(e.reading, func(p *simPart) bool { return p.r == r })
		e.writers = slices.DeleteFunc(e.writers, func(w *simRequest) bool { return w == r })
	}
}

func (s *sim) decide(all []schedule.Decision) {
	for _, d := range all {
		r := s.byID[d.Job]
		if r == nil || r.gone {
			continue
		}
		if d.Refused() {
			s.refuse(r, d.RetryAfter)
			continue
		}
		s.begin(r, d)
	}
}

func (s *sim) refuse(r *simRequest, back time.Duration) {
	left := dayKinds[r.kind].deadline - (s.now - r.arrived)
	s.refusedAfter[r.id] = s.now - r.arrived
	if r.tries > 1 || back > left/3 {
		r.refused, r.gone = true, true
		return
	}
	s.at(s.now+max(back, 50*time.Millisecond), func() {
		if !r.gone {
			s.submit(r)
		}
	})
}

func (s *sim) begin(r *simRequest, d schedule.Decision) {
	var main int
	_, _ = fmt.Sscanf(d.Endpoint, "e%d", &main)
	parts := 1 + len(d.Helpers)
	r.parts = parts
	r.engine = s.engines[main]
	pairs := float64(r.prompt) / 2 / 1e6 * float64(modelFigures.TimePerMPairs)
	r.keeps = r.prompt + r.events*46
	r.apart = map[*simEngine]int{}
	for _, h := range d.Helpers {
		if h.Tokens > 0 {
			var i int
			_, _ = fmt.Sscanf(h.ID, "e%d", &i)
			r.apart[s.engines[i]] = h.Tokens
			s.engines[i].memory += h.Tokens
			r.keeps -= h.Tokens
		}
	}
	admit := func() {
		r.holds = r.engine
		r.engine.memory += r.keeps
		r.engine.slots++
	}
	add := func(i int, helper bool) {
		e := s.engines[i]
		p := &simPart{r: r, tokens: float64(r.prompt) / float64(parts), per: pairs}
		if helper {
			// The latest part goes first.
			e.reading = slices.Insert(e.reading, 0, p)
		} else {
			e.reading = append(e.reading, p)
		}
		s.pass(e)
	}
	begin := func() {
		if r.gone {
			return
		}
		admit()
		add(main, false)
		for _, h := range d.Helpers {
			var i int
			_, _ = fmt.Sscanf(h.ID, "e%d", &i)
			add(i, true)
		}
	}
	r.engine.waiting = append(r.engine.waiting, begin)
	r.engine.need = append(r.engine.need, r)
	s.admit(r.engine)
}

// admit begins what fits, in order: the first that does not fit holds up the rest.
func (s *sim) admit(e *simEngine) {
	for len(e.waiting) > 0 {
		r := e.need[0]
		fits := e.slots < modelFigures.Slots && (e.slots == 0 || e.memory+r.keeps <= modelFigures.MemoryTokens)
		if !fits && !r.gone {
			return
		}
		begin := e.waiting[0]
		e.waiting, e.need = e.waiting[1:], e.need[1:]
		begin()
	}
}

// pass begins a pass when the engine is at rest and has work.
func (s *sim) pass(e *simEngine) {
	if e.busy || (len(e.reading) == 0 && len(e.writers) == 0) {
		return
	}
	if s.now >= e.deadAt[0] && s.now < e.deadAt[1] {
		s.at(e.deadAt[1], func() { s.pass(e) })
		return
	}
	e.busy = true
	f := modelFigures
	steps := 1
	if len(e.writers) > 0 {
		steps = f.StepsPerPass
	}
	context := 0.0
	for _, w := range e.writers {
		context += float64(w.prompt)
	}
	step := float64(f.Step) + float64(len(e.writers))*float64(f.StepPerDecode) + context/1000*float64(f.StepPerKContext)
	took := float64(steps) * step
	room := float64(steps * f.ChunkTokens)
	var read []*simPart
	for _, p := range e.reading {
		n := min(p.tokens, room)
		if n <= 0 {
			break
		}
		p.tokens -= n
		room -= n
		took += n*1e9/f.PrefillPerSecond + n*p.per
		if p.tokens <= 0 {
			read = append(read, p)
		}
	}
	writers := slices.Clone(e.writers)
	s.at(s.now+time.Duration(took*e.pace), func() { s.endPass(e, writers, read) })
}

func (s *sim) endPass(e *simEngine, writers []*simRequest, read []*simPart) {
	e.busy = false
	for _, w := range writers {
		if !w.gone && !w.done {
			s.emit(w)
		}
	}
	for _, p := range read {
		e.reading = slices.DeleteFunc(e.reading, func(o *simPart) bool { return o == p })
		p.r.parts--
		if p.r.parts == 0 && !p.r.gone {
			s.start(p.r)
		}
	}
	s.pass(e)
}

func (s *sim) start(r *simRequest) {
	r.first, r.last = s.now, s.now
	r.engine.writers = append(r.engine.writers, r)
	r.sent = 1
	s.decide(s.policy.Started(r.id, s.clock()))
	s.finish(r)
	s.pass(r.engine)
}

func (s *sim) emit(r *simRequest) {
	r.longest = max(r.longest, s.now-r.last)
	r.last = s.now
	r.sent++
	s.finish(r)
}

func (s *sim) finish(r *simRequest) {
	if r.sent < r.events {
		return
	}
	r.done = true
	s.drop(r)
	s.decide(s.policy.Ended(r.id, s.clock()))
}

// result is what a day was worth.
type result struct {
	whole   float64 // credit earned of credit owed
	kinds   [3]float64
	onTime  [3]float64
	worst   float64 // of windows of four seconds
	refused int
	served  float64
}

func (s *sim) credit(r *simRequest) float64 {
	k := dayKinds[r.kind]
	switch {
	case !r.done:
		return 0
	case r.first-r.arrived <= k.goal && r.longest <= k.pause:
		return r.worth
	default:
		return r.lateness
	}
}

func (s *sim) result() result {
	var out result
	var earned, owed, n, good [3]float64
	windows := map[int][2]float64{}
	done := 0.0
	for _, r := range s.all {
		c := s.credit(r)
		earned[r.kind] += c
		owed[r.kind] += r.worth
		n[r.kind]++
		if c >= r.worth {
			good[r.kind]++
		}
		if r.done {
			done++
		}
		if r.refused {
			out.refused++
		}
		w := int(r.arrived / (4 * time.Second))
		windows[w] = [2]float64{windows[w][0] + c, windows[w][1] + r.worth}
	}
	total, all := 0.0, 0.0
	for k := range earned {
		out.kinds[k] = earned[k] / max(owed[k], 1)
		out.onTime[k] = good[k] / max(n[k], 1)
		total += earned[k]
		all += owed[k]
	}
	out.whole = total / all
	out.worst = 1
	for _, w := range windows {
		out.worst = min(out.worst, w[0]/w[1])
	}
	out.served = done / float64(len(s.all))
	return out
}

func newScheduler(l load) *schedule.Scheduler {
	s := schedule.New("entry", modelFigures)
	var all []schedule.Endpoint
	for i := range l.engines {
		all = append(all, schedule.Endpoint{ID: engineName(i), Address: engineName(i)})
	}
	s.SetEndpoints(all, func(string) bool { return false })
	return s
}
