package schedule

import (
	"cmp"
	"slices"
	"time"
)

// Shares of an answer's worth that a choice may cost.
const (
	lateLoss    = 0.75 // of a late answer, by the sheets of the deployments
	goalMargin  = 0.85 // part of the goal that a prediction may use up
	domainCost  = 0.01 // of leaving the failure domain: bytes between domains
	readerCost  = 0.02 // of each helper: one more endpoint that may fail
	packGain    = 0.30 // of joining writers of the same kind: it leaves other engines free for long reading
	packFull    = 12   // writers of an engine from which on joining gains nothing more
	contextCost = 0.20 // of a full memory at the engine that writes a long answer
	mostHelpers = 16   // that an engine takes for one prompt
	helpFrom    = 20_000
)

// option is one way to place a job.
type option struct {
	main     *engine
	helpers  []*engine
	expected time.Duration
	score    float64
	read     time.Duration
}

// place puts a job at the endpoint with the best score, when one has room.
func (s *Scheduler) place(j *Job, now time.Time) (Decision, bool) {
	for _, e := range s.order {
		e.expire(now)
	}
	best, found := s.best(j, now)
	if !found {
		return Decision{}, false
	}
	r := &running{job: j, endpoint: best.main.ID, read: best.read, placed: now}
	d := Decision{Job: j.ID, Endpoint: best.main.ID, Expected: best.expected, Endpoints: len(s.order)}
	for _, h := range best.helpers {
		r.helpers = append(r.helpers, h.ID)
		d.Helpers = append(d.Helpers, Helper{ID: h.ID, Address: h.Address})
	}
	r.decision = d
	best.main.writers[j.ID] = r
	s.addParts(r, now)
	s.jobs[j.ID] = r
	return d, true
}

func (s *Scheduler) best(j *Job, now time.Time) (option, bool) {
	var best option
	found := false
	for _, avoidBlocked := range []bool{true, false} {
		for _, e := range s.order {
			if (avoidBlocked && e.blocked) || slices.Contains(j.Exclude, e.ID) || !s.hasRoom(e, j) {
				continue
			}
			for _, o := range s.options(j, e, now) {
				if !found || o.score > best.score {
					best, found = o, true
				}
			}
		}
		if found {
			return best, true
		}
	}
	return best, found
}

// hasRoom reports whether an engine can begin a job without pushing another out.
func (s *Scheduler) hasRoom(e *engine, j *Job) bool {
	return len(e.writers) < s.figures.Slots && e.memory()+j.Prompt+j.Answer <= s.figures.MemoryTokens
}

// options are the ways to read a job with its answer written at e.
func (s *Scheduler) options(j *Job, e *engine, now time.Time) []option {
	out := []option{s.weigh(j, e, nil, now)}
	if j.Prompt < helpFrom {
		return out
	}
	helpers := s.helpersFor(j, e, now)
	for k := 1; k <= len(helpers); k++ {
		out = append(out, s.weigh(j, e, helpers[:k], now))
	}
	return out
}

// helpersFor returns the endpoints that could read along, those first where
// reading hurts least.
func (s *Scheduler) helpersFor(j *Job, main *engine, now time.Time) []*engine {
	read := s.figures.ReadTime(j.Prompt, 8)
	type candidate struct {
		engine *engine
		harm   float64
		wait   time.Duration
	}
	var all []candidate
	for _, e := range s.order {
		if e == main || e.blocked || slices.Contains(j.Exclude, e.ID) {
			continue
		}
		all = append(all, candidate{e, s.harm(e, read, now), e.backlog(now)})
	}
	slices.SortStableFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.harm, b.harm), cmp.Compare(a.wait, b.wait))
	})
	out := make([]*engine, 0, mostHelpers)
	for _, c := range all[:min(len(all), mostHelpers)] {
		out = append(out, c.engine)
	}
	return out
}

// weigh predicts one way to place a job.
func (s *Scheduler) weigh(j *Job, main *engine, helpers []*engine, now time.Time) option {
	o := option{main: main, helpers: helpers, read: s.figures.ReadTime(j.Prompt, 1+len(helpers))}
	o.expected = s.wait(main, now) + o.read
	harm := s.harm(main, o.read, now)
	for _, h := range helpers {
		o.expected = max(o.expected, s.wait(h, now)+o.read)
		harm += s.harm(h, o.read, now)
	}
	o.score = j.value()*s.timeliness(j, main, o.expected, now) - harm
	o.score -= readerCost * float64(len(helpers))
	o.score += s.company(j, main)
	if main.FailureDomain != j.Domain {
		o.score -= domainCost
	}
	o.score -= float64(o.expected) / float64(10*time.Second)
	return o
}

// company is what the other requests at an engine make it worth. Short requests
// are packed: a few more writers hardly slow a step. Long ones are spread, since
// each step costs all their contexts.
func (s *Scheduler) company(j *Job, e *engine) float64 {
	if j.Prompt >= helpFrom {
		return -contextCost * float64(e.memory()) / float64(max(s.figures.MemoryTokens, 1))
	}
	kin := 0
	for _, r := range e.writers {
		if r.job.Prompt < helpFrom {
			kin++
		}
	}
	if kin > packFull {
		kin = 2*packFull - kin
	}
	return packGain * float64(kin) / packFull
}

// wait is the time until what an engine begins to read now can have an effect,
// besides the reading: the pass under way ends, and a first token comes at the
// end of the pass in which the prompt is read.
func (s *Scheduler) wait(e *engine, now time.Time) time.Duration {
	return e.backlog(now) + s.figures.PassTime(e.writing(), e.context())*3/2
}

// timeliness is the part of a job's worth that a prediction leaves it.
func (s *Scheduler) timeliness(j *Job, main *engine, expected time.Duration, now time.Time) float64 {
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

// harm is what more reading at an engine costs the jobs that it has.
func (s *Scheduler) harm(e *engine, read time.Duration, now time.Time) float64 {
	if len(e.writers) == 0 {
		return 0
	}
	backlog := e.backlog(now)
	pass := s.figures.PassTime(e.writing(), e.context())
	before, after := pass+backlog, pass+backlog+read
	total := 0.0
	for _, r := range e.writers {
		limit := r.job.PauseGoal
		if !r.isWriting {
			limit = r.job.Goal - now.Sub(r.placed)
		}
		if limit <= 0 {
			continue
		}
		total += r.job.value() * (overrun(after, limit) - overrun(before, limit))
	}
	return total
}

// overrun is the part of a job's worth lost when something takes that long.
func overrun(takes, limit time.Duration) float64 {
	use := float64(takes) / float64(limit)
	switch {
	case use <= 0.6:
		return 0
	case use >= 1.1:
		return lateLoss
	default:
		return lateLoss * (use - 0.6) / 0.5
	}
}
