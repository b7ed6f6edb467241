package emulator

import (
	"time"

	"github.com/jacinthplank/jacinthplank/engine"
)

// Bounds on what an engine remembers to report.
const (
	keptEvents  = 8192 // cache events
	keptSamples = 1024 // load samples
)

// reports holds back cache events and load samples until their lag has passed.
type reports struct {
	cfg      Config
	sequence uint64
	events   []timedEvent
	samples  []timedLoad
}

type timedEvent struct {
	at    time.Time
	event engine.CacheEvent
}

type timedLoad struct {
	at   time.Time
	load engine.Load
}

func newReports(cfg Config) *reports { return &reports{cfg: cfg} }

func (r *reports) addEvent(now time.Time, e engine.CacheEvent, lost bool) {
	r.sequence++
	e.Sequence = r.sequence
	if lost {
		return
	}
	r.events = append(r.events, timedEvent{now, e})
	if len(r.events) > keptEvents {
		r.events = r.events[len(r.events)-keptEvents/2:]
	}
}

func (r *reports) eventsAfter(after uint64, now time.Time) []engine.CacheEvent {
	var events []engine.CacheEvent
	for _, t := range r.events {
		if t.event.Sequence > after && now.Sub(t.at) >= r.cfg.EventLag {
			events = append(events, t.event)
		}
	}
	return events
}

func (r *reports) addLoad(now time.Time, l engine.Load) {
	r.samples = append(r.samples, timedLoad{now, l})
	if len(r.samples) > keptSamples {
		r.samples = r.samples[len(r.samples)-keptSamples/2:]
	}
}

// load returns the newest sample that is at least LoadLag old.
func (r *reports) load(now time.Time) engine.Load {
	var newest engine.Load
	for _, s := range r.samples {
		age := now.Sub(s.at)
		if age < r.cfg.LoadLag {
			break
		}
		newest = s.load
		newest.Age = age
	}
	return newest
}

func (e *Engine) event(b engine.Block, dropped bool) {
	lost := e.random.Float64() < e.cfg.EventLoss
	e.report.addEvent(time.Now(), engine.CacheEvent{Dropped: dropped, Blocks: []engine.Block{b}}, lost)
}

func (e *Engine) sample() {
	var l engine.Load
	for _, a := range e.queue {
		switch {
		case a.ended:
		case a.running:
			l.Running++
		default:
			l.Waiting++
		}
	}
	l.UsedBlocks = e.own + e.cache.pinned()*e.cfg.prefixCost()
	e.report.addLoad(time.Now(), l)
}
