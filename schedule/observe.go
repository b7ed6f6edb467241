package schedule

import "time"

// Load is what an engine says of itself, some hundred milliseconds late.
type Load struct {
	Running      int     // requests that it reads or writes
	Queued       int     // requests that wait there
	MemoryTokens int     // tokens in memory
	Slowdown     float64 // how much longer its steps take than the figures say; 1 for a sound engine
}

// Trust in what engines say.
const (
	loadFresh  = 1500 * time.Millisecond // a period and a half of the questions
	loadLag    = 400 * time.Millisecond  // what began or ended that recently may be missing
	slowFrom   = 1.3                     // a pace from which on an engine counts as slow
	foreignMin = 2                       // requests beyond the known ones that are no mere lag
)

// observation is the last word of an engine, as far as it goes beyond what is
// known here.
type observation struct {
	at      time.Time
	foreign int // requests of entries that are gone
	memory  int // their tokens
	pace    float64
}

// ObserveLoad takes an engine's word on its load. Work that nobody here knows belongs
// to entries that are gone, and takes slots and memory all the same.
func (s *Scheduler) ObserveLoad(endpoint string, l Load, now time.Time) {
	e := s.engines[endpoint]
	if e == nil {
		return
	}
	known, tokens := 0, 0
	for _, r := range e.writers {
		known++
		tokens += r.keeps
	}
	for _, t := range e.held {
		tokens += t
	}
	known += len(e.helps)
	o := observation{at: now, pace: max(l.Slowdown, 1)}
	if foreign := l.Running + l.Queued - known - e.endedSince(now.Add(-loadLag)); foreign >= foreignMin {
		o.foreign = foreign
		o.memory = max(l.MemoryTokens-tokens, 0)
	}
	e.observed = o
}

// noteEnd keeps when jobs ended, for reports that still count them.
func (e *engine) noteEnd(now time.Time) {
	kept := e.ended[:0]
	for _, t := range e.ended {
		if now.Sub(t) <= loadFresh {
			kept = append(kept, t)
		}
	}
	e.ended = append(kept, now)
}

func (e *engine) endedSince(t time.Time) int {
	n := 0
	for _, at := range e.ended {
		if at.After(t) {
			n++
		}
	}
	return n
}

// foreign returns the work at an engine that nobody here knows.
func (e *engine) foreign(now time.Time) (requests, tokens int) {
	if now.Sub(e.observed.at) > loadFresh {
		return 0, 0
	}
	return e.observed.foreign, e.observed.memory
}

// slowness is the pace that an engine tells of itself, 1 when it is sound.
func (e *engine) slowness(now time.Time) float64 {
	if now.Sub(e.observed.at) > loadFresh || e.observed.pace < slowFrom {
		return 1
	}
	return e.observed.pace
}
