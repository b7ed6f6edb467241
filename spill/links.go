// Package spill decides when traffic leaves the failure domain of its callers, and how
// much of it. It measures the links between failure domains. It performs no I/O and takes
// the current time as an argument.
package spill

import (
	"math"
	"sync"
	"time"
)

// Sample counts what an entry saw of the streams of one failure domain.
type Sample struct {
	Streams int `json:"n,omitempty"` // streams that began
	Events  int `json:"e,omitempty"` // events of these and earlier streams
	Late    int `json:"l,omitempty"` // events delayed as by a retransmission
}

// Add adds the counts of another sample.
func (s *Sample) Add(o Sample) {
	s.Streams += o.Streams
	s.Events += o.Events
	s.Late += o.Late
}

// IsEmpty reports whether nothing was counted.
func (s Sample) IsEmpty() bool { return s == Sample{} }

// maxSampleCount is far above what an entry sees between two reports.
const maxSampleCount = 1 << 30

func (s Sample) isValid() bool {
	for _, n := range []int{s.Streams, s.Events, s.Late} {
		if n < 0 || n > maxSampleCount {
			return false
		}
	}
	return true
}

// Parameters of the estimate.
const (
	// shapeMemory is the time constant of the mean number of events of a stream, which
	// depends on the requests and not on the links.
	shapeMemory = 10 * time.Second
	// priorStreams is the evidence, in streams without a delay, that each pair starts from.
	// As counts decay, the estimate returns to it.
	priorStreams = 2
	// priorEvents is the number of events of all domains that are added to those of one.
	priorEvents = 50
	// deviations is by how many standard deviations the delays of a pair must exceed those
	// that are usual within its domains, so that chance adds no cost.
	deviations = 1
	// minVariance keeps a single delayed event from counting where none is usual.
	minVariance = 0.25
	// dropAfter is how long the counts of a pair without streams are kept.
	dropAfter = time.Minute
)

// linkMemories are the time constants of the counts of a pair. The short one notices a loss
// within a second. The long one keeps the estimate while few streams cross, and lets a
// recovered link be used again within a few seconds.
var linkMemories = [...]time.Duration{400 * time.Millisecond, 1200 * time.Millisecond}

// Limits of the probability at which a change of a pair is reported.
const (
	badProbability  = 0.25
	goodProbability = 0.05
)

// pair names a caller's failure domain and that of an endpoint.
type pair struct{ from, to string }

// counts are decaying counts.
type counts struct {
	streams, events, late float64
	at                    time.Time
}

// decayed returns the counts as of now.
func (c counts) decayed(now time.Time, memory time.Duration) counts {
	if elapsed := now.Sub(c.at); elapsed > 0 {
		keep := math.Exp(-float64(elapsed) / float64(memory))
		c.streams, c.events, c.late, c.at = c.streams*keep, c.events*keep, c.late*keep, now
	}
	return c
}

// add decays the counts and adds a sample.
func (c counts) add(s Sample, now time.Time, memory time.Duration) counts {
	c = c.decayed(now, memory)
	c.streams += float64(s.Streams)
	c.events += float64(s.Events)
	c.late += float64(s.Late)
	return c
}

// linkCounts are the counts of a pair, by index in linkMemories.
type linkCounts [len(linkMemories)]counts

// Links estimates, for each pair of failure domains, the probability that a stream is late
// because of the links between them. It is safe for concurrent use.
type Links struct {
	mu    sync.Mutex
	pairs map[pair]linkCounts
	bad   map[pair]bool // pairs last reported as bad
	all   counts        // over all pairs, with shapeMemory
}

// NewLinks returns an estimate without evidence.
func NewLinks() *Links { return &Links{pairs: map[pair]linkCounts{}, bad: map[pair]bool{}} }

// Observe adds what an entry in one domain saw of the streams from endpoints in another, or
// in its own. It passes over a sample with counts out of range.
func (l *Links) Observe(from, to string, s Sample, now time.Time) {
	if !s.isValid() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	key := pair{from, to}
	c, known := l.pairs[key]
	if !known {
		l.dropOld(now)
	}
	for i, memory := range linkMemories {
		c[i] = c[i].add(s, now, memory)
	}
	l.pairs[key] = c
	l.all = l.all.add(s, now, shapeMemory)
}

func (l *Links) dropOld(now time.Time) {
	for key, c := range l.pairs {
		if now.Sub(c[0].at) > dropAfter {
			delete(l.pairs, key)
			delete(l.bad, key)
		}
	}
}

// Late returns the probability that the links make a stream between two domains late. It is
// 0 within a domain and without evidence.
func (l *Links) Late(from, to string, now time.Time) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.late(pair{from, to}, now)
}

// late returns the larger of the estimates with the short and the long memory.
func (l *Links) late(key pair, now time.Time) float64 {
	if key.from == key.to {
		return 0
	}
	forth, back := l.pairs[key], l.pairs[pair{key.to, key.from}]
	late := 0.0
	for i := range linkMemories {
		if forth[i].late+back[i].late > 0 {
			late = max(late, l.lateWithin(key, i, now))
		}
	}
	return late
}

// lateWithin compares the delays of a pair with those within its two domains: engines and
// entries that are slow delay streams there as well. Each stream needs both directions of a
// link, so the evidence of both counts. memory is an index in linkMemories.
func (l *Links) lateWithin(key pair, memory int, now time.Time) float64 {
	c := l.pairs[key][memory].decayed(now, linkMemories[memory])
	back := l.pairs[pair{key.to, key.from}][memory].decayed(now, linkMemories[memory])
	c.events, c.late = c.events+back.events, c.late+back.late
	usual := max(l.lateShare(key.from, memory, now), l.lateShare(key.to, memory, now))
	expected := usual * c.events
	excess := c.late - expected - deviations*math.Sqrt(expected+minVariance)
	if excess <= 0 {
		return 0
	}
	perStream := max(l.all.events/max(l.all.streams, 1), 1)
	return 1 - math.Exp(-excess/(c.events/perStream+priorStreams))
}

// lateShare returns the share of delayed events within a domain. A domain with few events is
// taken to be like all domains.
func (l *Links) lateShare(domain string, memory int, now time.Time) float64 {
	own, all := counts{}, counts{}
	for key, c := range l.pairs {
		if key.from != key.to {
			continue
		}
		within := c[memory].decayed(now, linkMemories[memory])
		all.events, all.late = all.events+within.events, all.late+within.late
		if key.from == domain {
			own = within
		}
	}
	return (own.late + priorEvents*all.late/max(all.events, priorEvents)) / (own.events + priorEvents)
}

// Change is a pair whose estimate turned bad or good again.
type Change struct {
	From, To string
	Late     float64 // probability that a stream is late
	IsBad    bool
}

// Changes returns the pairs whose estimates turned bad or good since the previous call. The
// distance between the two limits bounds how often a pair changes.
func (l *Links) Changes(now time.Time) []Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Change
	for key := range l.pairs {
		late := l.late(key, now)
		switch wasBad := l.bad[key]; {
		case !wasBad && late >= badProbability:
			l.bad[key] = true
		case wasBad && late <= goodProbability:
			delete(l.bad, key)
		default:
			continue
		}
		out = append(out, Change{From: key.from, To: key.to, Late: late, IsBad: l.bad[key]})
	}
	return out
}

// Estimates returns the estimate of each pair of different domains.
func (l *Links) Estimates(now time.Time) []Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Change
	for key := range l.pairs {
		if key.from != key.to {
			out = append(out, Change{From: key.from, To: key.to, Late: l.late(key, now), IsBad: l.bad[key]})
		}
	}
	return out
}
