package schedule

import (
	"cmp"
	"slices"
	"time"
)

// Shares of an answer's worth that a choice may cost. A timely answer of the
// least prompt is worth 1.
const (
	lateLoss   = 0.75   // of a late answer, by the sheets of the deployments
	goalMargin = 0.85   // part of the goal that a prediction may use up
	harmFrom   = 0.7    // part of a limit from which on more reading may overrun it
	harmLost   = 4      // times a limit at which callers go away
	harmFull   = 1.1    // part of a limit at which it surely does
	domainCost = 0.01   // of leaving the failure domain: bytes between domains
	readerCost = 0.10   // of each helper: one more endpoint that may fail
	blockCost  = 20.0   // of a second of reading in one piece: nothing else gets in between
	engineCost = 4.0    // of a second of reading when all engines are busy: others wait that long
	hasteCost  = 0.10   // of a first event at the goal against one at once: predictions err
	packGain   = 0.30   // of joining writers of the same kind: it leaves other engines free for long reading
	packFull   = 12     // writers of an engine from which on joining gains nothing more
	memoryGain = 0.30   // of a full memory at the engine that writes a long answer: like packGain, for long answers
	helpFrom   = 20_000 // tokens from which on helpers read along
	// memoryShare of an engine is given away: guesses of answers' lengths are often
	// short, and a request without room holds up all behind it.
	memoryShare = 0.85
)

// helperCounts are the numbers of helpers that are weighed; an engine takes 16 at
// most.
var helperCounts = [...]int{0, 1, 2, 3, 4, 6, 8, 11, 16}

// goalLeast stands in for the goal of a request that is already late.
const goalLeast = 100 * time.Millisecond

// view is what a decision needs of one engine, worked out once.
type view struct {
	engine   *engine
	ready    time.Duration // until reading for an answer from here can have an effect
	helping  time.Duration // until reading for an answer from elsewhere can: its parts go first
	pass     time.Duration // the next pass with what is to be read already
	claims   []claim
	harm     float64 // of a usual part, to order helpers by
	isKin    int     // writers of short prompts
	memory   int
	slots    int
	slowness float64 // that the engine tells of itself
	isUsual  bool    // neither blocked nor excluded
}

// claim is a job at an engine with what more reading there would cost it.
type claim struct {
	takes time.Duration // until its next event, or its part is read, as things are
	limit time.Duration
	value float64
}

// option is one way to place a job.
type option struct {
	main     *view
	helpers  []*view
	expected time.Duration
	score    float64
	read     time.Duration
}

// place puts a job at the endpoint with the best score, when one has room.
func (s *Scheduler) place(j *Job, now time.Time) (Decision, bool) {
	best, found := s.best(j, now)
	if !found || (best.score < 0 && len(s.jobs) > 0) {
		return Decision{}, false
	}
	main := best.main.engine
	r := &running{job: j, endpoint: main.ID, read: best.read, placed: now, expected: best.expected}
	d := Decision{Job: j.ID, Endpoint: main.ID, Address: main.Address, Expected: best.expected, Endpoints: len(s.order)}
	elsewhere := s.excess(j, best.main)
	for _, h := range best.helpers {
		r.helpers = append(r.helpers, h.engine.ID)
		holds := min(elsewhere, s.free(h))
		elsewhere -= holds
		d.Helpers = append(d.Helpers, Helper{ID: h.engine.ID, Address: h.engine.Address, Tokens: holds})
	}
	r.decision = d
	s.settleMemory(r)
	main.writers[j.ID] = r
	s.addParts(r, now)
	s.jobs[j.ID] = r
	return d, true
}

func (s *Scheduler) best(j *Job, now time.Time) (option, bool) {
	views := s.views(j, now)
	var helpers []*view
	if j.Prompt >= helpFrom {
		helpers = s.helpersFor(j, views)
	}
	var best option
	found := false
	for _, usual := range []bool{true, false} {
		for i := range views {
			v := &views[i]
			if v.isUsual != usual || slices.Contains(j.Exclude, v.engine.ID) || !s.hasRoom(v, j) {
				continue
			}
			for _, k := range helperCounts {
				if k > len(helpers) {
					break
				}
				if o := s.weigh(j, v, helpers, k); !found || o.score > best.score {
					best, found = o, true
				}
			}
		}
		if found {
			break
		}
	}
	best.helpers = slices.Clone(best.helpers)
	return best, found
}

// views prepares what is needed of every engine.
func (s *Scheduler) views(j *Job, now time.Time) []view {
	if cap(s.scratch) < len(s.order) {
		s.scratch = make([]view, len(s.order))
	}
	views := s.scratch[:len(s.order)]
	s.busy = 0
	for i, e := range s.order {
		s.look(&views[i], e, j, now)
		s.busy += views[i].busy() / float64(len(s.order))
	}
	return views
}

// busy is how much of an engine is taken, from 0 to 1: one that reads has no
// time left, one that writes has room for more writers.
func (v *view) busy() float64 {
	if len(v.engine.parts) > 0 {
		return 1
	}
	return min(float64(len(v.engine.writers))/packFull, 1)
}

func (s *Scheduler) look(v *view, e *engine, j *Job, now time.Time) {
	e.expire(now)
	claims := v.claims[:0]
	*v = view{engine: e, isUsual: !e.blocked && !slices.Contains(j.Exclude, e.ID)}
	writing, context := 0, 0
	overdue := time.Duration(0)
	for _, tokens := range e.held {
		v.memory += tokens
	}
	for _, r := range e.writers {
		v.memory += r.keeps
		if r.job.Prompt < helpFrom {
			v.isKin++
		}
		if r.isWriting {
			writing++
			context += r.job.Prompt
		} else {
			overdue = max(overdue, now.Sub(r.placed)-r.expected-overdueGrace)
		}
	}
	foreign, tokens := e.foreign(now)
	v.memory += tokens
	v.slots = len(e.writers) + foreign
	v.slowness = e.slowness(now)
	pass := s.figures.PassTime(writing+foreign, context+tokens)
	pass = time.Duration(float64(pass) * v.slowness)
	backlog := time.Duration(float64(e.backlog(now)) * v.slowness)
	// A pace learnt from late first events must not make writers look late already:
	// more reading would seem to cost them nothing.
	v.pass = pass + backlog
	// The pass under way ends, and a first token comes at the end of the pass in
	// which its prompt is read.
	v.ready = time.Duration(float64(backlog+pass*3/2)*e.pace) + overdue
	v.helping = time.Duration(float64(pass*3/2) * e.pace)
	v.claims = s.claims(claims, v, now)
}

// claims are the jobs that more reading at an engine delays: those that write
// there, wait there to be read, or have a part read there.
func (s *Scheduler) claims(claims []claim, v *view, now time.Time) []claim {
	e := v.engine
	for _, r := range e.writers {
		limit := r.job.PauseGoal
		if !r.isWriting {
			limit = max(r.job.Goal-now.Sub(r.placed), goalLeast)
		}
		claims = append(claims, claim{v.pass, limit, r.job.value()})
	}
	takes := time.Duration(0)
	for i, p := range e.parts {
		takes += p.cost
		if i == 0 {
			takes -= min(now.Sub(e.headSince), takes)
		}
		if r := s.jobs[p.job]; r != nil && r.endpoint != e.ID {
			claims = append(claims, claim{takes, max(r.job.Goal-now.Sub(r.placed), goalLeast), r.job.value()})
		}
	}
	return claims
}

// hasRoom reports whether an engine can begin a job without pushing another out.
// A prompt that no engine holds alone may be held by helpers in part.
func (s *Scheduler) hasRoom(v *view, j *Job) bool {
	if v.slots >= s.figures.Slots {
		return false
	}
	need := j.Prompt + j.Answer
	if need > s.figures.MemoryTokens {
		return s.free(v) >= s.figures.MemoryTokens/2
	}
	if len(v.engine.writers) == 0 && v.memory == 0 {
		return true
	}
	return need <= s.free(v)
}

// free is the memory of an engine that may be given away, in tokens.
func (s *Scheduler) free(v *view) int {
	return max(int(memoryShare*float64(s.figures.MemoryTokens))-v.memory, 0)
}

// excess is the part of a job that an engine does not hold, in tokens. Only a
// prompt beyond a whole memory is spread.
func (s *Scheduler) excess(j *Job, main *view) int {
	need := j.Prompt + j.Answer
	if need <= s.figures.MemoryTokens {
		return 0
	}
	return need - s.free(main)
}

// usualParts is the number of parts by which helpers are compared.
const usualParts = 8

// helpersFor returns the engines that could read along, those first where
// reading hurts least.
func (s *Scheduler) helpersFor(j *Job, views []view) []*view {
	read := s.figures.ReadTime(j.Prompt, usualParts)
	out := s.helping[:0]
	for i := range views {
		v := &views[i]
		if v.isUsual {
			v.harm = v.harmOf(read)
			out = append(out, v)
		}
	}
	slices.SortStableFunc(out, func(a, b *view) int {
		return cmp.Or(cmp.Compare(a.harm, b.harm), cmp.Compare(a.pass, b.pass))
	})
	s.helping = out
	return out
}

// weigh predicts one way to place a job: with the first k helpers that are not
// the engine itself.
func (s *Scheduler) weigh(j *Job, main *view, helpers []*view, k int) option {
	o := option{main: main, read: s.figures.ReadTime(j.Prompt, 1+k)}
	o.expected = main.ready + main.paced(o.read)
	harm := main.harmOf(o.read)
	chosen := helpers[:min(k, len(helpers))]
	if at := slices.Index(chosen, main); at >= 0 {
		// The main engine reads its own part: the next one takes its place.
		if k+1 > len(helpers) {
			o.score = -1
			return o
		}
		chosen = slices.Delete(slices.Clone(helpers[:k+1]), at, at+1)
	}
	for _, h := range chosen {
		o.expected = max(o.expected, h.helping+h.paced(o.read))
		harm += h.harmOf(o.read)
	}
	o.helpers = chosen
	if !s.holds(j, main, chosen) {
		o.score = -1
		return o
	}
	o.score = j.value()*j.timeliness(o.expected) - harm + s.company(j, main)
	o.score -= readerCost * float64(k)
	o.score -= engineCost * s.busy * o.read.Seconds() * float64(1+k)
	o.score -= blockCost * (o.read - s.figures.ReadTime(j.Prompt, 1+len(helpers))).Seconds()
	o.score -= hasteCost * j.value() * float64(o.expected) / float64(max(j.Goal, goalLeast))
	if main.engine.FailureDomain != j.Domain {
		o.score -= domainCost
	}
	return o
}

// holds reports whether an engine and its helpers have the memory for a job.
func (s *Scheduler) holds(j *Job, main *view, helpers []*view) bool {
	excess := s.excess(j, main)
	for _, h := range helpers {
		excess -= s.free(h)
	}
	return excess <= 0
}

func (v *view) paced(d time.Duration) time.Duration {
	return time.Duration(float64(d) * max(v.engine.pace, v.slowness))
}

// harmOf is what more reading costs the jobs that an engine has.
func (v *view) harmOf(read time.Duration) float64 {
	total := 0.0
	for _, c := range v.claims {
		total += c.value * (overrun(c.takes+read, c.limit) - overrun(c.takes, c.limit))
	}
	return total
}

// overrun is the part of a job's worth lost when something takes that long.
func overrun(takes, limit time.Duration) float64 {
	use := float64(takes) / float64(limit)
	switch {
	case use <= harmFrom:
		return 0
	case use >= harmFull:
		return lateLoss + (1-lateLoss)*min((use-harmFull)/(harmLost-harmFull), 1)
	default:
		return lateLoss * (use - harmFrom) / (harmFull - harmFrom)
	}
}

// company is what the other requests at an engine make it worth. Writers are
// packed, within what harmOf allows: a few more hardly slow a step, and engines
// without writers read in short passes.
func (s *Scheduler) company(j *Job, v *view) float64 {
	if j.Prompt >= helpFrom {
		return memoryGain * float64(v.memory) / float64(max(s.figures.MemoryTokens, 1))
	}
	kin := v.isKin
	if kin > packFull {
		kin = 2*packFull - kin
	}
	return packGain * float64(kin) / packFull
}

// timeliness is the part of a job's worth that a prediction leaves it.
func (j *Job) timeliness(expected time.Duration) float64 {
	if expected > j.Left {
		return 0
	}
	goal := time.Duration(float64(j.Goal) * goalMargin)
	if expected > goal {
		// Between one and two goals the prediction may still be wrong.
		over := float64(expected-goal) / float64(max(goal, time.Millisecond))
		return 1 - lateLoss*min(1, 0.5+over/2)
	}
	return 1
}
