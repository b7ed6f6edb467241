package directory

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/jacinthplank/jacinthplank/submit"
)

// Endpoint is the announcement of an endpoint.
type Endpoint struct {
	Name          string
	Address       string // IP:port of the process next to the endpoint
	FailureDomain string
	Kind          string // one of the configuration's endpoint kinds
	Service       string // name of the plain service; empty for an engine
	Models        []string
	Adapters      []string

	MemoryBlocks int // KV memory, in memory blocks
	MemoryTokens int // tokens per memory block
	MaxPrompt    int // longest prompt, in tokens, that the endpoint can hold by itself
	ExportsKV    bool

	PrefillPerSec  float64 // tokens per second of prefill at position 0
	DecodePerSec   float64 // tokens per second of decode for one sequence
	AttentionScale int     // token position at which attention doubles the cost of prefill; 0 to ignore attention

	Incarnation uint64 // increases with each start of the endpoint process
	Sequence    uint64 // increases with each announcement within an incarnation
	Backlog     submit.Backlog
}

// isNewerThan reports whether e was announced after old.
func (e *Endpoint) isNewerThan(old *Endpoint) bool {
	if e.Incarnation != old.Incarnation {
		return e.Incarnation > old.Incarnation
	}
	return e.Sequence > old.Sequence
}

// sameDescription reports whether e equals old, apart from backlog and sequence
// number.
func (e *Endpoint) sameDescription(old *Endpoint) bool {
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

// Member is the state of one endpoint as seen by this daemon. Its announcement is
// immutable. State that arrives with answers is updated in place and can be read
// without a lock.
type Member struct {
	Endpoint
	Hash uint64 // hash of the name, for rendezvous hashing

	state *memberState
}

// memberState is the mutable state that is kept when the announcement changes
// within one incarnation.
type memberState struct {
	sequence  atomic.Uint64
	lastSeen  atomic.Int64 // Unix nanoseconds of the last heartbeat or backlog
	leaving   atomic.Bool
	report    atomic.Pointer[Report]
	sentShort atomic.Int64 // prefill tokens of short requests sent since the report
	sentLong  atomic.Int64 // prefill tokens of long requests sent since the report
}

// Report is a backlog with its time of arrival.
type Report struct {
	submit.Backlog
	At time.Time
}

func newMember(now time.Time, e Endpoint) *Member {
	m := &Member{Endpoint: e, Hash: xxhash.Sum64String(e.Name), state: &memberState{}}
	m.state.sequence.Store(e.Sequence)
	m.renewLease(now)
	m.setBacklog(now, e.Backlog)
	return m
}

// withAnnouncement returns a member with announcement e that shares the state of m.
func (m *Member) withAnnouncement(e Endpoint) *Member {
	return &Member{Endpoint: e, Hash: m.Hash, state: m.state}
}

func (m *Member) renewLease(now time.Time) { m.state.lastSeen.Store(now.UnixNano()) }

func (m *Member) setBacklog(now time.Time, b submit.Backlog) {
	if b.Leaving {
		m.state.leaving.Store(true)
	}
	m.state.report.Store(&Report{Backlog: b, At: now})
	m.state.sentShort.Store(0)
	m.state.sentLong.Store(0)
}

// applyAnnouncement applies the backlog b of an announcement. An empty backlog does
// not replace one that arrived with an answer, but its Leaving flag still counts.
func (m *Member) applyAnnouncement(now time.Time, b submit.Backlog) {
	if b != (submit.Backlog{Endpoint: b.Endpoint, Leaving: b.Leaving}) {
		m.setBacklog(now, b)
		return
	}
	if b.Leaving {
		m.state.leaving.Store(true)
	}
}

// Leaving reports whether the endpoint is leaving and takes no new work. Once true,
// it stays true for the incarnation.
func (m *Member) Leaving() bool { return m.state.leaving.Load() }

// Report returns the latest backlog.
func (m *Member) Report() *Report { return m.state.report.Load() }

// Age returns the time since the latest backlog arrived.
func (m *Member) Age(now time.Time) time.Duration { return now.Sub(m.Report().At) }

// LastSeen returns the time of the last heartbeat or backlog.
func (m *Member) LastSeen() time.Time { return time.Unix(0, m.state.lastSeen.Load()) }

// AddSent adds to the prefill tokens that this daemon sent to the endpoint since
// its latest backlog.
func (m *Member) AddSent(tokens int, long bool) {
	if long {
		m.state.sentLong.Add(int64(tokens))
		return
	}
	m.state.sentShort.Add(int64(tokens))
}

// Sent returns the prefill tokens of short and long requests that this daemon sent
// since the latest backlog.
func (m *Member) Sent() (short, long int) {
	return int(m.state.sentShort.Load()), int(m.state.sentLong.Load())
}
