package blame

import (
	"encoding/json"
	"slices"
	"testing"
	"time"
)

// FuzzMerge guards against reports of another entry that end the one that judges, grow its state
// beyond its bounds or leave it inconsistent, whatever ages and clocks they tell.
func FuzzMerge(f *testing.F) {
	entry := NewStore()
	for second := range 4 {
		r := entry.recordStep(endsUnder(1+float64(second)/1000, 0.0004, string(rune('a'+second)), same, another))
		entry.Stamp(&r, at(2))
		data, err := json.Marshal(r)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data, data, int64(time.Second))
	}
	f.Add([]byte(`{"ends":[{"endpoint":"a","born":1,"age":1000,"suspects":["request 1"]}],"sender":1,"clock":9223372036854775807}`),
		[]byte(`{"ends":[{"endpoint":"a","born":1,"age":-9223372036854775808,"lasted":9223372036854775807,"suspects":["request 1"]}],"sender":1,"clock":-9223372036854775808}`), int64(0))
	f.Fuzz(func(t *testing.T, first, second []byte, between int64) {
		s := NewStore()
		s.Judge(at(1))
		now := at(2)
		for _, data := range [][]byte{first, second, first} {
			var r Report
			if json.Unmarshal(data, &r) != nil {
				return
			}
			s.Merge(&r, now)
			s.checkState(t, now)
			now = now.Add(time.Duration(uint64(between) % uint64(endRetention)))
		}
	})
}

// checkState checks the bounds, and that ends and records are those of each other, in order of time.
func (s *Store) checkState(t *testing.T, now time.Time) {
	t.Helper()
	if len(s.ends) > maxEnds || len(s.verdicts) > maxVerdicts+maxWatched || len(s.senders) > 2 {
		t.Fatalf("%d ends, %d verdicts, %d senders", len(s.ends), len(s.verdicts), len(s.senders))
	}
	if !slices.IsSortedFunc(s.ends, byTime) {
		t.Fatal("ends are not in order of time")
	}
	for _, e := range s.ends {
		if e.at.After(now) {
			t.Fatalf("the end of %v is %v ahead", e.run, e.at.Sub(now))
		}
		for k := range e.suspects {
			if s.records[k] == nil || !slices.Contains(s.records[k].ends, e) {
				t.Fatalf("the record of %q lacks the end of %v", k, e.run)
			}
		}
	}
	for k, r := range s.records {
		if len(r.ends) == 0 || !slices.IsSortedFunc(r.ends, byTime) {
			t.Fatalf("the record of %q has %d ends, or not in order of time", k, len(r.ends))
		}
		for _, e := range r.ends {
			if !slices.Contains(s.ends, e) {
				t.Fatalf("the record of %q has a forgotten end", k)
			}
		}
	}
}
