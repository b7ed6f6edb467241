package ratelimit_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/ratelimit"
)

func limitedTable(perSecond float64, now time.Time) *ratelimit.Table {
	t := ratelimit.NewTable()
	t.Observe("e", ratelimit.LimitTo(perSecond), now, now)
	return t
}

// takeUntil takes whatever is allotted in small steps and returns how much that was.
func takeUntil(t *ratelimit.Table, from, to time.Time) int {
	n := 0
	for now := from; now.Before(to); now = now.Add(10 * time.Millisecond) {
		for t.Take("e", now) {
			n++
		}
	}
	return n
}

func TestAllottedRate(t *testing.T) {
	for _, test := range []struct {
		perSecond float64
		allotsAll bool
		entries   int
		want      int // requests in 20 s
	}{
		{perSecond: 2, allotsAll: true, want: 40},
		{perSecond: 0.3, allotsAll: true, want: 6},
		{perSecond: 0, allotsAll: true, want: 5}, // one each 4 s, so that the limit can be lifted
		{perSecond: 400, allotsAll: true, want: 8000},
		{perSecond: 400, entries: 8, want: 500}, // half of the limit in equal parts
		{perSecond: 15, entries: 8, want: 0},    // less than one request a second
		{perSecond: 400, entries: 0, want: 0},   // an entry that has just started
	} {
		table := limitedTable(test.perSecond, start)
		table.SetAllotsAll(test.allotsAll, start)
		table.SetEntries(test.entries)
		got := takeUntil(table, start, at(20*time.Second))
		NewWithT(t).Expect(got).To(BeNumerically("~", test.want, max(1, test.want/100)), "%+v", test)
	}
}

func TestUnlimitedEndpointTakesAll(t *testing.T) {
	g := NewWithT(t)
	table := ratelimit.NewTable()
	g.Expect(table.Take("e", start)).To(BeTrue())
	g.Expect(table.Wait("e", start)).To(BeZero())
	table.Charge("e", 1, start)
	g.Expect(table.IsAvailable("e", start)).To(BeTrue())
}

func TestWait(t *testing.T) {
	g := NewWithT(t)
	table := limitedTable(2, start)
	g.Expect(table.Wait("e", start)).To(Equal(ratelimit.Never), "neither a share nor the whole rate")
	table.SetAllotsAll(true, start)
	g.Expect(table.Wait("e", start)).To(Equal(500 * time.Millisecond))
	g.Expect(table.Wait("e", at(500*time.Millisecond))).To(BeZero())
}

func TestCallsThatHaveToBeSentDelayOthers(t *testing.T) {
	g := NewWithT(t)
	table := limitedTable(2, start)
	table.SetAllotsAll(true, start)
	table.Charge("e", 4, start)
	table.Charge("e", math.MaxInt, start)
	table.Charge("e", math.MinInt, start)
	g.Expect(takeUntil(table, start, at(1490*time.Millisecond))).To(BeZero())
	g.Expect(takeUntil(table, start, at(4*time.Second))).To(BeNumerically(">", 2), "the debt is bounded")
}

func TestGrants(t *testing.T) {
	g := NewWithT(t)
	coordinator, entry := limitedTable(100, start), limitedTable(100, start)
	coordinator.SetAllotsAll(true, start)
	granted, wait := coordinator.Grant("e", start)
	g.Expect(granted).To(BeZero())
	g.Expect(wait).To(Equal(10 * time.Millisecond))
	entry.Deny("e", wait, start)
	ok, wait := entry.TakeGranted("e", at(4*time.Millisecond))
	g.Expect(ok).To(BeFalse())
	g.Expect(wait).To(Equal(6 * time.Millisecond))

	now := at(time.Second)
	granted, _ = coordinator.Grant("e", now)
	g.Expect(granted).To(Equal(3), "the one asked for and those of 20 ms")
	entry.Receive("e", granted, now)
	ok, _ = entry.TakeGranted("e", now)
	g.Expect(ok).To(BeTrue())
	ok, _ = entry.TakeGranted("e", now.Add(time.Second))
	g.Expect(ok).To(BeFalse(), "grants expire")
}

// Guards against a value that an endpoint or another entry sent and that keeps this
// process busy for ever.
func TestOddLimitsAreHandledAtOnce(t *testing.T) {
	for _, perSecond := range []float64{1e18, math.MaxFloat64, 1e-300, math.NaN(), math.Inf(1), -5} {
		g := NewWithT(t)
		table := ratelimit.NewTable()
		table.SetAllotsAll(true, start)
		table.Observe("e", ratelimit.LimitTo(perSecond), start, start)
		table.Merge([]ratelimit.Record{{Endpoint: "f", Limited: true, PerSecond: perSecond, At: start}}, start)
		for _, endpoint := range []string{"e", "f"} {
			granted, _ := table.Grant(endpoint, at(10*time.Second))
			g.Expect(granted).To(And(BeNumerically(">=", 1), BeNumerically("<=", 100)), "%v", perSecond)
			g.Expect(table.Wait(endpoint, at(time.Hour))).To(BeNumerically("<=", 4*time.Second))
		}
	}
}

// simulatedEntry is an entry that sends as many requests as it may.
type simulatedEntry struct {
	table       *ratelimit.Table
	coordinator *simulatedEntry // nil while it can't reach one; itself for the coordinator
}

func (e *simulatedEntry) trySend(now time.Time) bool {
	if e.coordinator == nil || e.coordinator == e {
		return e.table.Take("e", now)
	}
	if ok, wait := e.table.TakeGranted("e", now); ok || wait > 0 {
		return ok
	}
	granted, wait := e.coordinator.table.Grant("e", now)
	if granted == 0 {
		e.table.Deny("e", wait, now)
		return false
	}
	e.table.Receive("e", granted-1, now)
	return true
}

// fleetChange changes who coordinates whom at a time of the simulation.
type fleetChange func(now time.Duration, entries []*simulatedEntry)

// elect makes one entry the coordinator of those in a range; nil leaves them without.
func elect(now time.Duration, members []*simulatedEntry, coordinator *simulatedEntry) {
	for _, e := range members {
		e.coordinator = coordinator
		e.table.SetAllotsAll(e == coordinator, at(now))
	}
}

// simulateFleet returns the arrivals at an endpoint that states a limit while each entry
// has more requests for it than it takes.
func simulateFleet(perSecond float64, entries int, change fleetChange) []time.Duration {
	const duration, step = 20 * time.Second, 20 * time.Millisecond
	random := rand.New(rand.NewPCG(1, uint64(entries)))
	var fleet []*simulatedEntry
	for range entries {
		fleet = append(fleet, &simulatedEntry{table: limitedTable(perSecond, start)})
	}
	var arrivals []time.Duration
	for now := time.Duration(0); now < duration; now += step {
		change(now, fleet)
		for _, n := range random.Perm(entries) {
			for fleet[n].trySend(at(now)) {
				arrivals = append(arrivals, now+time.Duration(random.Int64N(int64(50*time.Millisecond))))
			}
		}
	}
	slices.Sort(arrivals)
	return arrivals
}

// maxInWindow returns the most arrivals within 4 s.
func maxInWindow(arrivals []time.Duration) int {
	most, first := 0, 0
	for i, a := range arrivals {
		for a-arrivals[first] > 4*time.Second {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// TestFleetKeepsToLimit checks the platform's bound, one and a half times the limit and
// five requests within 4 s, for all entries together.
func TestFleetKeepsToLimit(t *testing.T) {
	changes := map[string]fleetChange{
		"one coordinator": func(now time.Duration, fleet []*simulatedEntry) {
			if now == 0 {
				elect(now, fleet, fleet[0])
				setEntries(fleet, len(fleet))
			}
		},
		"a start at which nobody knows the others": func(now time.Duration, fleet []*simulatedEntry) {
			if now == 2*time.Second {
				elect(now, fleet, fleet[0])
				setEntries(fleet, len(fleet))
			}
		},
		"no coordinator": func(now time.Duration, fleet []*simulatedEntry) {
			if now == 0 {
				setEntries(fleet, len(fleet))
			}
		},
		"a coordinator that changes every second": func(now time.Duration, fleet []*simulatedEntry) {
			setEntries(fleet, len(fleet))
			if now%time.Second == 0 {
				elect(now, fleet, fleet[int(now/time.Second)%len(fleet)])
			}
			if now%time.Second == 700*time.Millisecond {
				elect(now, fleet, nil)
			}
		},
		"a part that is cut off with the old coordinator": func(now time.Duration, fleet []*simulatedEntry) {
			setEntries(fleet, len(fleet))
			half := len(fleet) / 2
			switch now {
			case 0:
				elect(now, fleet, fleet[0])
			case 5 * time.Second: // the rest elects another one before the old one has noticed
				elect(now, fleet[half:], fleet[half])
			case 6 * time.Second:
				elect(now, fleet[:half], nil)
			case 12 * time.Second:
				elect(now, fleet, fleet[half])
			}
		},
	}
	for name, change := range changes {
		for _, perSecond := range []float64{0, 0.3, 1, 7, 40, 300} {
			for _, entries := range []int{2, 8, 33, 105} {
				arrivals := simulateFleet(perSecond, entries, change)
				NewWithT(t).Expect(maxInWindow(arrivals)).To(BeNumerically("<=", 1.5*4*perSecond+5),
					"%s, %v a second, %d entries", name, perSecond, entries)
			}
		}
	}
}

func setEntries(fleet []*simulatedEntry, entries int) {
	for _, e := range fleet {
		e.table.SetEntries(entries)
	}
}

func TestFleetUsesLimit(t *testing.T) {
	for _, perSecond := range []float64{0.3, 1, 7, 300} {
		for _, entries := range []int{2, 33} {
			arrivals := simulateFleet(perSecond, entries, func(now time.Duration, fleet []*simulatedEntry) {
				if now == 0 {
					elect(now, fleet, fleet[0])
				}
			})
			NewWithT(t).Expect(len(arrivals)).To(BeNumerically(">=", int(0.9*20*perSecond)), fmt.Sprint(perSecond, entries))
		}
	}
}
