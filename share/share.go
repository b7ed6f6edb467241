// Package share measures how client accounts and kinds of requests divide the time of the
// engines of a service, and says who is behind when they compete for it. It performs no
// I/O and takes the current time as an argument.
package share

import (
	"cmp"
	"slices"
	"time"
)

// Work is what one request asks of the engines.
type Work struct {
	Account string
	Kind    string
	Urgency int           // 0 is the highest
	Time    time.Duration // engine time
}

// Limits on how unequally requests are served, from the requirements on contention.
const (
	// minRatio is the least share of its requests that an account or a kind has served,
	// relative to all requests.
	minRatio = 0.25
	// floorMargin is added in proportion to minRatio: the ratio is measured over a sliding window,
	// and requests that are let through are served a moment later.
	floorMargin = 0.6
	// maxLead is how much larger the served share of a kind may be than that of a more
	// urgent kind.
	maxLead = 0.05
	// leadMargin is kept in reserve. Refused callers of a less urgent kind come back, and
	// most of them are served after a surge: in simulated surges of long prompts that are the most
	// urgent, margins of 0.04 and 0.08 left a lead of up to 0.12 and 0.06 for single
	// seeds, and 0.12 refused a tenth of the short prompts more.
	leadMargin = 0.08
	// minSamples is the number of requests in the window from which a ratio counts. Fewer
	// would exclude a kind because of a single refusal of another one.
	minSamples = 8
	// urgencyStep is the difference in mean urgency from which a kind is more urgent than
	// another. Accounts that override the urgency of a kind shift its mean.
	urgencyStep = 0.5
	// contentionTime is how long after a refusal a kind counts as short of engines.
	contentionTime = time.Second
	// shareLifetime is how long computed shares are used.
	shareLifetime = 100 * time.Millisecond
)

// record is the use of one account or kind.
type record struct {
	window
	refusedAt time.Time // latest refusal
	overShare bool      // used more than its share when the shares were last computed
}

// Table tracks the use of the engines of one service in a sliding window. It is not safe
// for concurrent use.
type Table struct {
	all      window
	accounts map[string]*record
	kinds    map[string]*record
	sharesAt time.Time // when the shares of the accounts were last computed
}

// NewTable returns a table without use.
func NewTable() *Table {
	return &Table{accounts: map[string]*record{}, kinds: map[string]*record{}}
}

// Serve records that work was placed at a time, which is before now for work that another
// table recorded first.
func (t *Table) Serve(w Work, placedAt, now time.Time) { t.add(w, served(w), 1, placedAt, now) }

// Withdraw takes back what Serve recorded at a time, for work that ended before its answer
// began.
func (t *Table) Withdraw(w Work, placedAt, now time.Time) { t.add(w, served(w), -1, placedAt, now) }

// Refuse records that work was refused.
func (t *Table) Refuse(w Work, now time.Time) {
	t.Miss(w, now)
	t.accounts[w.Account].refusedAt, t.kinds[w.Kind].refusedAt = now, now
}

// Miss records that work was placed and not answered.
func (t *Table) Miss(w Work, now time.Time) { t.add(w, refused(w), 1, now, now) }

// Return takes back a refusal or a miss, for work that has come again and is decided anew.
func (t *Table) Return(w Work, refusedAt, now time.Time) { t.add(w, refused(w), -1, refusedAt, now) }

func served(w Work) totals  { return totals{served: 1, used: w.Time, urgency: w.Urgency} }
func refused(w Work) totals { return totals{refused: 1, missed: w.Time, urgency: w.Urgency} }

func (t *Table) add(w Work, sums totals, factor int, at, now time.Time) {
	if bucketOf(now) > t.all.last {
		t.expire(now)
	}
	t.all.add(sums, factor, at, now)
	recordOf(t.accounts, w.Account).add(sums, factor, at, now)
	recordOf(t.kinds, w.Kind).add(sums, factor, at, now)
}

func recordOf(records map[string]*record, name string) *record {
	r := records[name]
	if r == nil {
		r = &record{}
		records[name] = r
	}
	return r
}

// expire advances all windows and drops the records of accounts and kinds without requests.
func (t *Table) expire(now time.Time) {
	t.all.advance(now)
	for _, records := range []map[string]*record{t.accounts, t.kinds} {
		for name, r := range records {
			if r.advance(now); r.sum.requests() <= 0 {
				delete(records, name)
			}
		}
	}
}

// Used returns the engine time that an account used in the window.
func (t *Table) Used(account string, now time.Time) time.Duration {
	r := t.accounts[account]
	if r == nil {
		return 0
	}
	r.advance(now)
	return r.sum.used
}

// IsOverShare reports whether an account used more than its share: the engine time that
// each account gets if what all of them used is divided equally, and what one doesn't need
// goes to the others.
func (t *Table) IsOverShare(account string, now time.Time) bool {
	if t.sharesAt.IsZero() || now.Sub(t.sharesAt) >= shareLifetime {
		t.computeShares(now)
	}
	r := t.accounts[account]
	return r != nil && r.overShare
}

func (t *Table) computeShares(now time.Time) {
	t.sharesAt = now
	t.expire(now)
	demands := make([]time.Duration, 0, len(t.accounts))
	for _, r := range t.accounts {
		demands = append(demands, r.sum.demand())
	}
	level := divide(t.all.sum.used, demands)
	for _, r := range t.accounts {
		r.overShare = r.sum.used > level
	}
}

// divide returns the level up to which demands can be met with the time available.
func divide(available time.Duration, demands []time.Duration) time.Duration {
	slices.SortFunc(demands, cmp.Compare)
	level := time.Duration(0)
	for i, d := range demands {
		level = available / time.Duration(len(demands)-i)
		if d >= level {
			return level
		}
		available -= d
	}
	return max(level, 0)
}

// ServedRatio returns the share of a kind's requests in the window that was served; 1
// without requests.
func (t *Table) ServedRatio(kind string, now time.Time) float64 { return ratioOf(t.kinds[kind], now) }

func ratioOf(r *record, now time.Time) float64 {
	if r == nil {
		return 1
	}
	r.advance(now)
	return r.sum.ratio()
}

// IsStarved reports whether an account or a kind is served so much less often than all
// together that its requests go before all others.
func (t *Table) IsStarved(account, kind string, now time.Time) bool {
	t.all.advance(now)
	all, recent := t.all.sum, t.all.recent()
	return t.accounts[account].isStarved(&all, &recent, now) || t.kinds[kind].isStarved(&all, &recent, now)
}

// isStarved compares the served share with that of all requests, over the whole window and
// over its latest part.
func (r *record) isStarved(all, allRecent *totals, now time.Time) bool {
	if r == nil {
		return false
	}
	r.advance(now)
	const floor = minRatio * (1 + floorMargin)
	recent := r.recent()
	return r.sum.ratio() < floor*all.ratio() || recent.ratio() < floor*allRecent.ratio()
}

// Leads returns the name of a more urgent kind that is short of engines and is served
// less often than a kind whose request has this urgency, by more than is allowed; empty for
// none. waits reports whether requests of a kind wait now.
func (t *Table) Leads(kind string, urgency int, waits func(kind string) bool, now time.Time) string {
	own := t.kinds[kind]
	if own == nil {
		return ""
	}
	own.advance(now)
	lead := own.sum.ratio() - (maxLead - leadMargin)
	limit := min(own.sum.meanUrgency(), float64(urgency)) - urgencyStep
	for name, r := range t.kinds {
		if name == kind || (now.Sub(r.refusedAt) >= contentionTime && !waits(name)) {
			continue
		}
		r.advance(now)
		if r.sum.requests() >= minSamples && r.sum.meanUrgency() <= limit && r.sum.ratio() < lead {
			return name
		}
	}
	return ""
}
