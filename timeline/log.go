package timeline

import (
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

// DefaultCapacity is the number of events that a daemon keeps.
const DefaultCapacity = 65_536

// scanBatch is how many events a query looks at before it lets recorders in.
const scanBatch = 1024

var (
	recorded    = metrics.NewCounter("jacinthplank_timeline_events_total")
	overwritten = metrics.NewCounter("jacinthplank_timeline_overwritten_total")
)

// Part is the events of one daemon that a query chose.
type Part struct {
	Daemon string
	Events []Event
	// Lost counts overwritten events of any request that may have been in the
	// asked range: at most as many are missing.
	Lost uint64
	// Since is the time from which the daemon has every event.
	Since time.Time
	// Err is set when the daemon could not be asked.
	Err error
}

// Log stamps the events of one daemon and keeps the newest. It is a Recorder
// and safe for concurrent use.
type Log struct {
	daemon string
	now    func() time.Time

	mu    sync.Mutex
	clock Stamp
	start Stamp
	ring  *Ring
}

// NewLog returns a log for capacity events of the named daemon.
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

// Stamp returns a new stamp, to send along with a message.
func (l *Log) Stamp() Stamp {
	now := l.now().UnixMicro()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.clock = l.clock.Next(now)
	return l.clock
}

// Seen moves the clock past a stamp that came with a message. A stamp more than
// maxAhead beyond the wall clock is left out, so that one wrong clock does not
// set all the others forward.
func (l *Log) Seen(remote Stamp) {
	now := l.now().UnixMicro()
	if remote.WallMicros > now+maxAhead.Microseconds() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.clock = l.clock.Seen(remote, now)
}

// maxAhead is how far another daemon's clock may be ahead to be followed.
const maxAhead = 10 * time.Second

// Query returns the newest events that f chooses, oldest first.
func (l *Log) Query(f Filter) Part {
	part := Part{Daemon: l.daemon}
	sequence := uint64(0)
	for more := true; more; {
		sequence, more = l.scan(f, sequence, &part)
	}
	if cut := len(part.Events) - f.limit(); cut > 0 {
		part.Lost += uint64(cut)
		part.Since = part.Events[cut].Stamp().Time()
		part.Events = part.Events[cut:]
	}
	return part
}

// scan looks at one batch of events from sequence on. It returns where to go on
// and whether there is more.
func (l *Log) scan(f Filter, sequence uint64, part *Part) (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	sequence = max(sequence, l.ring.Oldest())
	end := min(sequence+scanBatch, l.ring.Next())
	for ; sequence < end; sequence++ {
		if e := l.ring.at(sequence); f.Match(e) {
			part.Events = append(part.Events, *e)
		}
	}
	l.tellLost(f, part)
	return sequence, sequence < l.ring.Next()
}

func (l *Log) tellLost(f Filter, part *Part) {
	part.Lost, part.Since = 0, l.start.Time()
	if l.ring.Lost() == 0 {
		return
	}
	part.Since = l.ring.dropped.Time().Add(time.Microsecond)
	if f.From.Before(part.Since) {
		part.Lost = l.ring.Lost()
	}
}

// Stamp returns the stamp of the event.
func (e *Event) Stamp() Stamp { return Stamp{WallMicros: e.WallMicros, Logical: e.Logical} }
