package schedule_test

import (
	"bufio"
	"cmp"
	"encoding/json"
	"flag"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// The upper bound is the credit of a scheduler with full knowledge of all future
// requests, limited only by engine time: engine time is divisible, any number of
// engines may share a prefill at no cost, answers are always decoded in batches of
// sixteen, memory is unlimited, and nothing fails. Real schedulers stay well below it
// when demand exceeds capacity.

var (
	boundLog     = flag.String("bound.log", "", "output of a run with the entries' logs, for which the bound is computed")
	boundEngines = flag.Int("bound.engines", 14, "number of engines in that run")
)

// boundTimeSlot is the time resolution of the bound.
const boundTimeSlot = 100 * time.Millisecond

// demand is a request with its credit.
type demand struct {
	kind               int
	arrived            time.Duration
	engineSlots        float64 // engine time, in time slots
	decodeTime         time.Duration
	credit, lateCredit float64
	served             float64 // share that was allocated engine time
}

func newDemand(kind, prompt, answer int, arrived time.Duration) *demand {
	k, profile := requestKinds[kind], modelProfile
	n := float64(prompt)
	prefill := n/profile.PrefillPerSecond + n*n/2/1e6*profile.TimePerMPairs.Seconds()
	decode := float64(answer) * (profile.Step.Seconds()/float64(profile.Slots) + profile.StepPerDecode.Seconds())
	size := min(0.3+0.7*n/k.prompt, 4)
	return &demand{
		kind: kind, arrived: arrived, engineSlots: (prefill + decode) / boundTimeSlot.Seconds(),
		decodeTime: time.Duration(answer) * profile.Step, credit: k.credit * size, lateCredit: k.lateCredit * size,
	}
}

// allocation assigns the engine time of each slot to demands.
type allocation struct {
	free    []float64
	used    []map[*demand]float64
	windows map[*demand][2]int
}

// allocate gives a demand up to amount of engine time within its window, moving other
// demands within theirs, and returns the amount allocated.
func (a *allocation) allocate(d *demand, amount float64) float64 {
	allocated := 0.0
	for amount-allocated > 1e-9 {
		n := a.augment(d, amount-allocated)
		if n <= 1e-9 {
			break
		}
		allocated += n
	}
	return allocated
}

type pathStep struct {
	slot, prev int // prev is the index of the preceding step; -1 for the first
	demand     *demand
}

func (a *allocation) augment(d *demand, amount float64) float64 {
	visited := make([]bool, len(a.free))
	var path []pathStep
	add := func(d *demand, prev int) {
		window := a.windows[d]
		for s := window[0]; s < window[1]; s++ {
			if !visited[s] {
				visited[s] = true
				path = append(path, pathStep{s, prev, d})
			}
		}
	}
	add(d, -1)
	for i := 0; i < len(path); i++ {
		s := path[i].slot
		if a.free[s] > 1e-9 {
			return a.shiftAlong(path, i, amount)
		}
		for other, x := range a.used[s] {
			if x > 1e-9 {
				add(other, i)
			}
		}
	}
	return 0
}

// shiftAlong moves engine time along an augmenting path that ends in a slot with free time.
func (a *allocation) shiftAlong(path []pathStep, last int, amount float64) float64 {
	amount = min(amount, a.free[path[last].slot])
	for i := last; path[i].prev >= 0; i = path[i].prev {
		amount = min(amount, a.used[path[path[i].prev].slot][path[i].demand])
	}
	for i := last; i >= 0; i = path[i].prev {
		h := path[i]
		a.used[h.slot][h.demand] += amount
		if h.prev >= 0 {
			a.used[path[h.prev].slot][h.demand] -= amount
		}
	}
	a.free[path[last].slot] -= amount
	return amount
}

// upperBound returns the maximum share of the credit, in total and by kind. Demands are
// served in order of credit per engine time; late service gets only what is left.
func upperBound(demands []*demand, engines int) (total float64, byKind [3]float64) {
	end := time.Duration(0)
	for _, d := range demands {
		end = max(end, d.arrived)
	}
	a := &allocation{windows: map[*demand][2]int{}}
	for range int((end + 30*time.Second) / boundTimeSlot) {
		a.free = append(a.free, float64(engines))
		a.used = append(a.used, map[*demand]float64{})
	}
	type offer struct {
		d    *demand
		late bool
		gain float64
	}
	var offers []offer
	for _, d := range demands {
		offers = append(offers, offer{d, false, d.credit / d.engineSlots}, offer{d, true, d.lateCredit / d.engineSlots})
	}
	slices.SortStableFunc(offers, func(a, b offer) int { return cmp.Compare(b.gain, a.gain) })
	var earned, possible [3]float64
	for _, o := range offers {
		k := requestKinds[o.d.kind]
		from, limit := int(o.d.arrived/boundTimeSlot), k.goal+o.d.decodeTime
		if o.late {
			limit = k.deadline
		}
		a.windows[o.d] = [2]int{from, min(from+int((limit+boundTimeSlot-1)/boundTimeSlot)+1, len(a.free))}
		share := a.allocate(o.d, o.d.engineSlots*(1-o.d.served)) / o.d.engineSlots
		o.d.served += share
		earned[o.d.kind] += share * o.gain * o.d.engineSlots
		if !o.late {
			possible[o.d.kind] += o.d.credit
		}
	}
	earnedTotal, possibleTotal := 0.0, 0.0
	for k := range byKind {
		byKind[k] = earned[k] / max(possible[k], 1)
		earnedTotal += earned[k]
		possibleTotal += possible[k]
	}
	return earnedTotal / max(possibleTotal, 1), byKind
}

// The credit that the scheduler earns must not exceed the upper bound.
func TestUpperBoundOpposedWaves(t *testing.T) {
	g := NewWithT(t)
	for _, l := range []workload{
		{engines: 18, scale: 1, duration: 34 * time.Second, rateChanges: opposedWaves, seed: 1},
		{engines: 14, scale: 0.78, duration: 34 * time.Second, rateChanges: opposedWaves, seed: 1},
	} {
		s := simulate(l, newScheduler(l))
		var all []*demand
		for _, r := range s.requests {
			all = append(all, newDemand(r.kind, r.prompt, r.events*46, r.arrived))
		}
		limit, byKind := upperBound(all, l.engines)
		ours := s.result()
		t.Logf("%d engines: earned %.3f of a bound of %.3f, by kind %.3f of %.3f", l.engines, ours.total, limit, ours.byKind, byKind)
		g.Expect(ours.total).To(BeNumerically("<=", limit))
	}
}

// TestBoundOfALog computes the bound for a recorded run from the request lines in the
// entries' logs.
func TestBoundOfALog(t *testing.T) {
	if *boundLog == "" {
		t.Skip("-bound.log is not set")
	}
	g := NewWithT(t)
	all, err := loadDemands(*boundLog)
	g.Expect(err).ToNot(HaveOccurred())
	limit, byKind := upperBound(all, *boundEngines)
	t.Logf("%d prompts, %d engines: bound %.3f, by kind %.3f", len(all), *boundEngines, limit, byKind)
}

// loadDemands reads the first attempt of each prompt from a log.
func loadDemands(path string) ([]*demand, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }()
	type line struct {
		Time    time.Time `json:"time"`
		Msg     string    `json:"msg"`
		Route   string    `json:"route"`
		Prompt  int       `json:"prompt"`
		Hint    int       `json:"hint"`
		Answer  int       `json:"answer"`
		TotalMs int64     `json:"total_ms"`
	}
	first := map[[3]int]line{} // attempts of one request have the same token counts
	scanner := bufio.NewScanner(f)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		_, text, _ := strings.Cut(scanner.Text(), "{")
		var l line
		if json.Unmarshal([]byte("{"+text), &l) != nil || l.Msg != "request" || l.Prompt == 0 {
			continue
		}
		l.Time = l.Time.Add(-time.Duration(l.TotalMs) * time.Millisecond)
		key := [3]int{l.Prompt, l.Hint, l.Answer}
		if earlier, known := first[key]; !known || l.Time.Before(earlier.Time) {
			first[key] = l
		}
	}
	var lines []line
	prompts, counts := map[string]float64{}, map[string]float64{}
	for _, l := range first {
		lines = append(lines, l)
		prompts[l.Route] += float64(l.Prompt)
		counts[l.Route]++
	}
	slices.SortFunc(lines, func(a, b line) int { return a.Time.Compare(b.Time) })
	var out []*demand
	for _, l := range lines {
		mean, kind := prompts[l.Route]/counts[l.Route], 0
		for k := range requestKinds {
			if mean > requestKinds[k].prompt/2 {
				kind = k
			}
		}
		answer := min(l.Hint, l.Answer)
		if answer == 0 {
			answer = int(requestKinds[kind].events * 46)
		}
		out = append(out, newDemand(kind, l.Prompt, answer, l.Time.Sub(lines[0].Time)))
	}
	return out, scanner.Err()
}
