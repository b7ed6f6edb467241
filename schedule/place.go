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
	blockCost  = 10.0   // of a second of reading in one piece: what comes meanwhile waits
	engineCost = 4.0    // of a second of reading when all engines are busy: others wait that long
	stepCost   = 2.0    // of a second that an engine steps for one long answer only, when all engines are busy
	stepShort  = 0.4    // the same for a short prompt's answer, as others soon join it
	hasteCost  = 0.05   // of a first event at the goal against one at once: predictions err
	packGain   = 0.30   // of joining writers of the same kind: it leaves other engines free for long reading
	packFull   = 12     // writers of an engine from which on joining gains nothing more
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

// option is one way to place a job.
type option struct {
	main     *view
	split    *split
	helpers  []*view
	expected time.Duration
	score    float64
	read     time.Duration
}

// weighed is what a decision saw.
type weighed struct {
	room  int     // engines with a slot and memory
	busy  float64 // part of the engines that is taken
	score float64 // of the best way to place the job
}

func (w *weighed) note(d *Decision) {
	d.EnginesWithCapacity, d.Utilization, d.Score = w.room, w.busy, w.score
}

// place puts a job at the endpoint with the best score, when one has room.
func (s *Scheduler) place(j *Job, now time.Time) (Decision, weighed, bool) {
	best, room := s.best(j, now)
	w := weighed{room: room, busy: s.busy, score: best.score}
	if room == 0 || (best.score < 0 && len(s.jobs) > 0) {
		return Decision{}, w, false
	}
	main := best.main.engine
	r := &running{job: j, endpoint: main.ID, read: best.read, placed: now, expected: best.expected}
	d := Decision{
		Job: j.ID, Endpoint: main.ID, Address: main.Address, Expected: best.expected, Endpoints: len(s.order), QueueLength: len(s.queue),
	}
	w.note(&d)
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
	return d, w, true
}

// best returns the best way to place a job and how many engines have room for it;
// none is returned with 0.
func (s *Scheduler) best(j *Job, now time.Time) (best option, room int) {
	views := s.views(j, now)
	var helpers []*view
	if j.Prompt >= helpFrom || j.Prompt+j.Answer > s.figures.MemoryTokens {
		helpers = s.helpersFor(j, views)
	}
	splits := s.splits(j, views, helpers)
	for _, usual := range []bool{true, false} {
		for i := range views {
			v := &views[i]
			if v.isUsual != usual || slices.Contains(j.Exclude, v.engine.ID) || !s.hasRoom(v, j) {
				continue
			}
			fits := false
			for n := range splits {
				o, ok := s.weigh(j, v, &splits[n])
				if ok && (best.main == nil || o.score > best.score) {
					best = o
				}
				fits = fits || ok
			}
			if fits {
				room++
			}
		}
		if room > 0 {
			break
		}
	}
	if room > 0 {
		best.helpers = best.split.chosen(best.main, helpers)
	}
	return best, room
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

// notRanked is the place of an engine that is no helper: behind all.
const notRanked = 1 << 30

// usualParts is the number of parts by which helpers are compared.
const usualParts = 8

// helpersFor returns the engines that could read along, those first where
// reading hurts least.
func (s *Scheduler) helpersFor(j *Job, views []view) []*view {
	read := s.figures.PrefillTime(j.Prompt, usualParts)
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
	for i, v := range out {
		v.rank = i
	}
	s.helping = out
	return out
}

// split is one number of helpers, with what the first of them make of it. Where
// the engine that answers is one of the first, the next helper takes its place.
type split struct {
	index, helpers int
	read           time.Duration // of each part
	spared         time.Duration // how much less the most helpers would read in one piece
	with, next     sum           // of as many helpers, and of one more
	hasNext        bool
}

// sum is of the first helpers.
type sum struct {
	harm  float64
	ready time.Duration // until the last has read its part
	free  int           // tokens
}

// splits works out every number of helpers once, for all engines that may answer.
func (s *Scheduler) splits(j *Job, views []view, helpers []*view) []split {
	out := s.splitting[:0]
	most := min(len(helpers), helperCounts[len(helperCounts)-1])
	for index, k := range helperCounts {
		if k > len(helpers) {
			break
		}
		sp := split{index: index, helpers: k, read: s.figures.PrefillTime(j.Prompt, 1+k), hasNext: k < len(helpers)}
		sp.spared = sp.read - s.figures.PrefillTime(j.Prompt, 1+most)
		for i := range views {
			views[i].harms[index] = views[i].harmOf(sp.read)
		}
		for _, h := range helpers[:k] {
			sp.with.add(s, h, &sp)
		}
		sp.next = sp.with
		if sp.hasNext {
			sp.next.add(s, helpers[k], &sp)
		}
		out = append(out, sp)
	}
	s.splitting = out
	return out
}

func (t *sum) add(s *Scheduler, h *view, sp *split) {
	t.harm += h.harms[sp.index]
	t.ready = max(t.ready, h.helping+h.paced(sp.read))
	t.free += s.free(h)
}

// chosen returns the helpers of a split for the engine that answers.
func (sp *split) chosen(main *view, helpers []*view) []*view {
	if sp.helpers == 0 {
		return nil
	}
	if main.rank >= sp.helpers {
		return slices.Clone(helpers[:sp.helpers])
	}
	return slices.Delete(slices.Clone(helpers[:sp.helpers+1]), main.rank, main.rank+1)
}

// weigh predicts one way to place a job. It reports false for one that can't be.
func (s *Scheduler) weigh(j *Job, main *view, sp *split) (option, bool) {
	helping := sp.with
	if main.rank < sp.helpers {
		if !sp.hasNext {
			return option{}, false
		}
		helping = sp.next
		helping.harm -= main.harms[sp.index]
		helping.free -= s.free(main)
	}
	if s.excess(j, main) > helping.free {
		return option{}, false
	}
	o := option{main: main, split: sp, read: sp.read}
	o.expected = max(main.ready+main.paced(sp.read), helping.ready)
	o.score = j.value()*j.timeliness(o.expected) - main.harms[sp.index] - helping.harm + s.company(j, main)
	o.score -= readerCost * float64(sp.helpers)
	o.score -= engineCost * s.busy * sp.read.Seconds() * float64(1+sp.helpers)
	o.score -= blockCost * sp.spared.Seconds()
	o.score -= hasteCost * j.value() * float64(o.expected) / float64(max(j.due(), goalLeast))
	if main.engine.FailureDomain != j.Domain {
		o.score -= domainCost
	}
	return o, true
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
// without writers read in short passes. Answers that end together leave an engine
// free sooner.
func (s *Scheduler) company(j *Job, v *view) float64 {
	longer := s.busy * (s.writingTime(j) - v.until).Seconds()
	if j.Prompt >= helpFrom {
		return -stepCost * max(longer, 0)
	}
	kin := v.isKin * (1 + s.others)
	if kin > packFull {
		kin = 2*packFull - kin
	}
	return packGain*float64(kin)/packFull - stepShort*max(longer, 0)
}

// due is the time in which a job should begin to be answered: its goal, or what
// its caller has left when the goal is over.
func (j *Job) due() time.Duration {
	if j.Goal > 0 {
		return j.Goal
	}
	return j.Remaining
}

// timeliness is the part of a job's worth that a prediction leaves it.
func (j *Job) timeliness(expected time.Duration) float64 {
	if expected > j.Remaining {
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
