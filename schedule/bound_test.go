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

// The bound below is what a scheduler could earn that knows every request of the
// day beforehand, by the engines' arithmetic alone: engine time flows, any number of
// engines may read one prompt at no cost, answers are always written sixteen at a
// time, memory has no limit, and nothing else fails. No real scheduler comes near it
// where the demand exceeds the engines.

var (
	boundLog     = flag.String("bound.log", "", "output of a run with the entries' logs; its bound is told")
	boundEngines = flag.Int("bound.engines", 14, "engines of that run")
)

// boundSlot is the grain of time.
const boundSlot = 100 * time.Millisecond

// demand is one request with what it is worth.
type demand struct {
	kind        int
	arrived     time.Duration
	work        float64 // slots of one engine
	span        time.Duration
	worth, late float64
	placed      float64 // the part of it that was given engine time
}

func newDemand(kind, prompt, answer int, arrived time.Duration) *demand {
	k, f := dayKinds[kind], modelFigures
	n := float64(prompt)
	read := n/f.PrefillPerSecond + n*n/2/1e6*f.TimePerMPairs.Seconds()
	write := float64(answer) * (f.Step.Seconds()/float64(f.Slots) + f.StepPerDecode.Seconds())
	size := min(0.3+0.7*n/k.prompt, 4)
	return &demand{
		kind: kind, arrived: arrived, work: (read + write) / boundSlot.Seconds(),
		span: time.Duration(answer) * f.Step, worth: k.worth * size, late: k.late * size,
	}
}

// flow is the use of slots by demands.
type flow struct {
	room []float64
	used []map[*demand]float64
	ends map[*demand][2]int
}

// push gives a demand up to amount within its slots, moving others aside within
// theirs, and returns what it got.
func (f *flow) push(d *demand, amount float64) float64 {
	got := 0.0
	for amount-got > 1e-9 {
		n := f.augment(d, amount-got)
		if n <= 1e-9 {
			break
		}
		got += n
	}
	return got
}

type hop struct {
	slot, from int // from is an index into the hops before; -1 for the first
	moved      *demand
}

func (f *flow) augment(d *demand, amount float64) float64 {
	seen := make([]bool, len(f.room))
	var hops []hop
	add := func(d *demand, from int) {
		ends := f.ends[d]
		for s := ends[0]; s < ends[1]; s++ {
			if !seen[s] {
				seen[s] = true
				hops = append(hops, hop{s, from, d})
			}
		}
	}
	add(d, -1)
	for i := 0; i < len(hops); i++ {
		s := hops[i].slot
		if f.room[s] > 1e-9 {
			return f.shift(hops, i, amount)
		}
		for other, x := range f.used[s] {
			if x > 1e-9 {
				add(other, i)
			}
		}
	}
	return 0
}

// shift moves along a path of hops that ends in a slot with room.
func (f *flow) shift(hops []hop, last int, amount float64) float64 {
	amount = min(amount, f.room[hops[last].slot])
	for i := last; hops[i].from >= 0; i = hops[i].from {
		amount = min(amount, f.used[hops[hops[i].from].slot][hops[i].moved])
	}
	for i := last; i >= 0; i = hops[i].from {
		h := hops[i]
		f.used[h.slot][h.moved] += amount
		if h.from >= 0 {
			f.used[hops[h.from].slot][h.moved] -= amount
		}
	}
	f.room[hops[last].slot] -= amount
	return amount
}

// bound returns the share of the worth that could be earned, whole and by kind.
// Demands are served by worth for engine time, each late only with what is left.
func bound(all []*demand, engines int) (whole float64, kinds [3]float64) {
	end := time.Duration(0)
	for _, d := range all {
		end = max(end, d.arrived)
	}
	f := &flow{ends: map[*demand][2]int{}}
	for range int((end + 30*time.Second) / boundSlot) {
		f.room = append(f.room, float64(engines))
		f.used = append(f.used, map[*demand]float64{})
	}
	type offer struct {
		d    *demand
		late bool
		gain float64
	}
	var offers []offer
	for _, d := range all {
		offers = append(offers, offer{d, false, d.worth / d.work}, offer{d, true, d.late / d.work})
	}
	slices.SortStableFunc(offers, func(a, b offer) int { return cmp.Compare(b.gain, a.gain) })
	var earned, owed [3]float64
	for _, o := range offers {
		k := dayKinds[o.d.kind]
		from, limit := int(o.d.arrived/boundSlot), k.goal+o.d.span
		if o.late {
			limit = k.deadline
		}
		f.ends[o.d] = [2]int{from, min(from+int((limit+boundSlot-1)/boundSlot)+1, len(f.room))}
		got := f.push(o.d, o.d.work*(1-o.d.placed)) / o.d.work
		o.d.placed += got
		earned[o.d.kind] += got * o.gain * o.d.work
		if !o.late {
			owed[o.d.kind] += o.d.worth
		}
	}
	total, asked := 0.0, 0.0
	for k := range kinds {
		kinds[k] = earned[k] / max(owed[k], 1)
		total += earned[k]
		asked += owed[k]
	}
	return total / max(asked, 1), kinds
}

// TestBoundOfOpposedWaves: what the scheduler earns of what could be earned.
func TestBoundOfOpposedWaves(t *testing.T) {
	g := NewWithT(t)
	for _, l := range []load{
		{engines: 18, scale: 1, length: 34 * time.Second, waves: opposedWaves, seed: 1},
		{engines: 14, scale: 0.78, length: 34 * time.Second, waves: opposedWaves, seed: 1},
	} {
		s := play(l, newScheduler(l))
		var all []*demand
		for _, r := range s.all {
			all = append(all, newDemand(r.kind, r.prompt, r.events*46, r.arrived))
		}
		most, kinds := bound(all, l.engines)
		ours := s.result()
		t.Logf("%d engines: earned %.3f of a bound of %.3f, by kind %.3f of %.3f", l.engines, ours.whole, most, ours.kinds, kinds)
		g.Expect(ours.whole).To(BeNumerically("<=", most))
	}
}

// TestBoundOfALog tells the bound of a day that was played, from the lines that the
// entries wrote at the ends of requests.
func TestBoundOfALog(t *testing.T) {
	if *boundLog == "" {
		t.Skip("no -bound.log")
	}
	g := NewWithT(t)
	all, err := demandsOf(*boundLog)
	g.Expect(err).ToNot(HaveOccurred())
	most, kinds := bound(all, *boundEngines)
	t.Logf("%d prompts, %d engines: bound %.3f, by kind %.3f", len(all), *boundEngines, most, kinds)
}

// demandsOf reads the first tries of all prompts in a log.
func demandsOf(path string) ([]*demand, error) {
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
	first := map[[3]int]line{} // tries of one caller have the same figures
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
		if before, known := first[key]; !known || l.Time.Before(before.Time) {
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
		for k := range dayKinds {
			if mean > dayKinds[k].prompt/2 {
				kind = k
			}
		}
		answer := min(l.Hint, l.Answer)
		if answer == 0 {
			answer = int(dayKinds[kind].events * 46)
		}
		out = append(out, newDemand(kind, l.Prompt, answer, l.Time.Sub(lines[0].Time)))
	}
	return out, scanner.Err()
}
