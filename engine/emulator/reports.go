package emulator

import (
	"time"

	"github.com/jacinthplank/jacinthplank/engine"
)

// Limits of a reportBuffer. When one is exceeded, only the newest entries, half
// the limit, are kept.
const (
	maxEvents  = 8192 // cache events
	maxSamples = 1024 // load samples
)

// reportBuffer delays cache events and load samples by the configured lag.
type reportBuffer struct {
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

func newReportBuffer(cfg Config) *reportBuffer { return &reportBuffer{cfg: cfg} }

func (r *reportBuffer) addEvent(now time.Time, e engine.CacheEvent, lost bool) {
	r.sequence++
	e.Sequence = r.sequence
	if lost {
		return
	}
	r.events = append(r.events, timedEvent{now, e})
	if len(r.events) > maxEvents {
		r.events = r.events[len(r.events)-maxEvents/2:]
	}
}

func (r *reportBuffer) eventsAfter(after uint64, now time.Time) []engine.CacheEvent {
	var events []engine.CacheEvent
	for _, t := range r.events {
		if t.event.Sequence > after && now.Sub(t.at) >= r.cfg.EventLag {
			events = append(events, t.event)
		}
	}
	return events
}

func (r *reportBuffer) addLoad(now time.Time, l engine.Load) {
	r.samples = append(r.samples, timedLoad{now, l})
	if len(r.samples) > maxSamples {
		r.samples = r.samples[len(r.samples)-maxSamples/2:]
	}
}

// load returns the most recent sample that is at least LoadLag old.
func (r *reportBuffer) load(now time.Time) engine.Load {
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

func (e *Engine) recordCacheEvent(b engine.Block, evicted bool) {
	lost := e.rng.Float64() < e.cfg.EventLoss
	e.reports.addEvent(time.Now(), engine.CacheEvent{Dropped: evicted, Blocks: []engine.Block{b}}, lost)
}

func (e *Engine) sampleLoad() {
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
	l.UsedBlocks = e.privateBlocks + e.cache.pinnedBlocks()*e.cfg.memoryPerPrefixBlock()
	e.reports.addLoad(time.Now(), l)
}
