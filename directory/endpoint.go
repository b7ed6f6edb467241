package directory

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthplank/jacinthplank/submit"
)

// Endpoint is what an endpoint announces of itself.
type Endpoint struct {
	Name          string
	Address       string // IP:port of the process beside the endpoint
	FailureDomain string
	Kind          string // one of the configuration's endpoint kinds
	Service       string // plain service; empty for an engine
	Models        []string
	Adapters      []string

	MemoryBlocks int // KV memory, in memory blocks
	MemoryTokens int // tokens per memory block
	MaxPrompt    int // longest prompt in tokens that the endpoint alone can hold
	ExportsKV    bool

	PrefillPerSec  float64 // tokens per second of prefill at position 0
	DecodePerSec   float64 // tokens per second of decode for one sequence
	AttentionScale int     // position in tokens at which attention doubles the cost of prefill; 0 for none

	Incarnation uint64 // grows with each start of the endpoint process
	Sequence    uint64 // grows with each announcement of one incarnation
	Backlog     submit.Backlog
}

// newer reports whether e was announced after old.
func (e *Endpoint) newer(old *Endpoint) bool {
	if e.Incarnation != old.Incarnation {
		return e.Incarnation > old.Incarnation
	}
	return e.Sequence > old.Sequence
}

// same reports whether e describes the same endpoint as old, apart from its
// backlog and sequence number.
func (e *Endpoint) same(old *Endpoint) bool {
	return e.Address == old.Address &&
		e.FailureDomain == old.FailureDomain &&
		e.Kind == old.Kind &&
		e.Service == old.Service &&
		e.MemoryBlocks == old.MemoryBlocks &&
		e.MemoryTokens == old.MemoryTokens &&
		e.MaxPrompt == old.MaxPrompt &&
		e.ExportsKV == old.ExportsKV &&
		e.PrefillPerSec == old.PrefillPerSec &&
		e.DecodePerSec == old.DecodePerSec &&
		e.AttentionScale == old.AttentionScale &&
		e.Incarnation == old.Incarnation &&
		slices.Equal(e.Models, old.Models) &&
		slices.Equal(e.Adapters, old.Adapters)
}

// Member is one endpoint as this daemon knows it. The announcement in it never
// changes; what rides on answers is updated in place and may be read without a
// lock.
type Member struct {
	Endpoint
	Hash uint64 // hash of the name, for rendezvous hashing

	live *live
}

// live is what outlasts a change of the announcement within one incarnation.
type live struct {
	sequence atomic.Uint64
	seen     atomic.Int64 // unix nanoseconds of the last sign of life
	leaving  atomic.Bool
	report   atomic.Pointer[Report]
	short    atomic.Int64 // prefill tokens of short requests sent since the report
	long     atomic.Int64 // prefill tokens of long requests sent since the report
}

// Report is a backlog with the time at which it arrived.
type Report struct {
	submit.Backlog
	At time.Time
}

func newMember(now time.Time, e Endpoint) *Member {
	m := &Member{Endpoint: e, Hash: xxhash.Sum64String(e.Name), live: &live{}}
	m.live.sequence.Store(e.Sequence)
	m.touch(now)
	m.observe(now, e.Backlog)
	return m
}

// changed returns a member with the new announcement e and the state of m.
func (m *Member) changed(e Endpoint) *Member {
	return &Member{Endpoint: e, Hash: m.Hash, live: m.live}
}

func (m *Member) touch(now time.Time) { m.live.seen.Store(now.UnixNano()) }

func (m *Member) observe(now time.Time, b submit.Backlog) {
	if b.Leaving {
		m.live.leaving.Store(true)
	}
	m.live.report.Store(&Report{Backlog: b, At: now})
	m.live.short.Store(0)
	m.live.long.Store(0)
}

// announced takes the backlog of an announcement. One that tells nothing but
// the name does not replace what answers told.
func (m *Member) announced(now time.Time, b submit.Backlog) {
	if b != (submit.Backlog{Endpoint: b.Endpoint, Leaving: b.Leaving}) {
		m.observe(now, b)
		return
	}
	if b.Leaving {
		m.live.leaving.Store(true)
	}
}

// Leaving reports whether the endpoint takes no new work. Once true, it stays
// true for this incarnation.
func (m *Member) Leaving() bool { return m.live.leaving.Load() }

// Report returns the newest backlog.
func (m *Member) Report() *Report { return m.live.report.Load() }

// Age returns the time since the newest backlog arrived.
func (m *Member) Age(now time.Time) time.Duration { return now.Sub(m.Report().At) }

// Seen returns the time of the last sign of life.
func (m *Member) Seen() time.Time { return time.Unix(0, m.live.seen.Load()) }

// AddSent counts prefill tokens that this daemon sent to the endpoint since its
// newest backlog.
func (m *Member) AddSent(tokens int, long bool) {
	if long {
		m.live.long.Add(int64(tokens))
		return
	}
	m.live.short.Add(int64(tokens))
}

// Sent returns the prefill tokens of short and long requests that were sent
// since the newest backlog.
func (m *Member) Sent() (short, long int) {
	return int(m.live.short.Load()), int(m.live.long.Load())
}
