package timeline

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// DefaultCapacity is the default number of events that a daemon keeps.
const DefaultCapacity = 65_536

// scanBatch is the number of events that a query scans under one hold of the lock,
// so that recorders are not blocked for long.
const scanBatch = 1024

var (
	recorded    = metrics.NewCounter("jacinthplank_timeline_events_total")
	overwritten = metrics.NewCounter("jacinthplank_timeline_overwritten_total")
)

// Part holds the events of one daemon that match a query.
type Part struct {
	Daemon string
	Events []Event
	// Lost counts overwritten events, of any request, that may have been in the
	// queried range. It is an upper bound on the missing events.
	Lost uint64
	// Cut counts the matching events that were left out because of the limit. They
	// are older than Events.
	Cut uint64
	// Since is the time from which the daemon has kept every event.
	Since time.Time
	// Err is set when the daemon could not be asked.
	Err error
}

// Log stamps the events of one daemon and keeps the newest. It implements
// Recorder and is safe for concurrent use.
type Log struct {
	daemon string
	now    func() time.Time

	mu    sync.Mutex
	clock Stamp
	start Stamp
	ring  *Ring
}

// NewLog returns a log of the named daemon that keeps up to capacity events.
func NewLog(daemon string, capacity int, now func() time.Time) *Log {
	start := Stamp{WallMicros: now().UnixMicro()}
	return &Log{daemon: daemon, now: now, clock: start, start: start, ring: NewRing(capacity)}
}

// Record implements Recorder.
func (l *Log) Record(e Event) {
	now := l.now().UnixMicro()
	e.Daemon = l.daemon

	l.mu.Lock()
	l.clock = l.clock.Next(now)
	e.WallMicros, e.Logical = l.clock.WallMicros, l.clock.Logical
	before := l.ring.Lost()
	l.ring.Add(e)
	lost := l.ring.Lost() != before
	l.mu.Unlock()

	recorded.Inc()
	if lost {
		overwritten.Inc()
	}
}

// Stamp returns a new stamp to send with a message.
func (l *Log) Stamp() Stamp {
	now := l.now().UnixMicro()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.clock = l.clock.Next(now)
	return l.clock
}

// ObserveStamp advances the clock past a stamp received with a message. A stamp
// more than maxClockLead ahead of the wall clock is ignored, so that one wrong
// clock does not advance all the others.
func (l *Log) ObserveStamp(remote Stamp) {
	now := l.now().UnixMicro()
	if remote.WallMicros > now+maxClockLead.Microseconds() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.clock = l.clock.Observe(remote, now)
}

// maxClockLead is the maximum lead of another daemon's clock that is followed.
const maxClockLead = 10 * time.Second

// Query returns the newest events that match f, oldest first.
func (l *Log) Query(f Filter) Part {
	part := Part{Daemon: l.daemon}
	sequence := uint64(0)
	for more := true; more; {
		sequence, more = l.scanBatchFrom(f, sequence, &part)
	}
	if excess := len(part.Events) - f.limit(); excess > 0 {
		part.Cut = uint64(excess)
		part.Events = part.Events[excess:]
	}
	return part
}

// scanBatchFrom scans one batch of events, starting at sequence. It returns the
// sequence number to continue at and whether there are more events.
func (l *Log) scanBatchFrom(f Filter, sequence uint64, part *Part) (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	sequence = max(sequence, l.ring.Oldest())
	end := min(sequence+scanBatch, l.ring.Next())
	for ; sequence < end; sequence++ {
		if e := l.ring.at(sequence); f.Match(e) {
			part.Events = append(part.Events, *e)
		}
	}
	l.setLost(f, part)
	return sequence, sequence < l.ring.Next()
}

func (l *Log) setLost(f Filter, part *Part) {
	part.Lost, part.Since = 0, l.start.Time()
	if l.ring.Lost() == 0 {
		return
	}
	part.Since = l.ring.lastOverwritten.Time().Add(time.Microsecond)
	if f.From.Before(part.Since) {
		part.Lost = l.ring.Lost()
	}
}

// Stamp returns the stamp of the event.
func (e *Event) Stamp() Stamp { return Stamp{WallMicros: e.WallMicros, Logical: e.Logical} }
