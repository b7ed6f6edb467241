package announce

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

var t0 = time.Unix(1000, 0)

func at(s int) time.Time { return t0.Add(time.Duration(s) * time.Second) }

func one(id, address string, born, sequence int64, state State) Endpoint {
	return Endpoint{ID: id, Service: "s", Address: address, StartedAtMs: born, Sequence: sequence, State: state}
}

func TestAnnouncements(t *testing.T) {
	tests := []struct {
		name     string
		say      []Endpoint
		verdicts []ApplyResult
		ready    []string
	}{
		{"a new endpoint and its next heartbeat", []Endpoint{
			one("a", "1:1", 5, 1, Ready), one("a", "1:1", 5, 2, Ready),
		}, []ApplyResult{Changed, Refreshed}, []string{"a"}},
		{"a late heartbeat does not undo draining", []Endpoint{
			one("a", "1:1", 5, 3, Draining), one("a", "1:1", 5, 2, Ready),
		}, []ApplyResult{Changed, Stale}, nil},
		{"a heartbeat after the good-bye", []Endpoint{
			one("a", "1:1", 5, 1, Ready), {ID: "a", State: Left}, one("a", "1:1", 5, 9, Ready),
		}, []ApplyResult{Changed, Changed, Stale}, nil},
		{"started anew under its id, with counts from 1", []Endpoint{
			one("a", "1:1", 5, 90, Draining), one("a", "1:1", 8, 1, Ready),
		}, []ApplyResult{Changed, Changed}, []string{"a"}},
		{"a delayed heartbeat of the start before", []Endpoint{
			one("a", "1:1", 8, 1, Ready), one("a", "1:1", 5, 90, Draining),
		}, []ApplyResult{Changed, Stale}, []string{"a"}},
		{"another endpoint takes the address", []Endpoint{
			one("a", "1:1", 5, 1, Ready), one("b", "1:1", 8, 1, Ready), one("a", "1:1", 5, 2, Ready),
		}, []ApplyResult{Changed, Changed, Stale}, []string{"b"}},
		{"a dead endpoint's heartbeat comes after its address was taken", []Endpoint{
			one("b", "1:1", 8, 1, Ready), one("a", "1:1", 5, 7, Ready),
		}, []ApplyResult{Changed, Stale}, []string{"b"}},
		{"a good-bye of nobody", []Endpoint{{ID: "x", State: Left}}, []ApplyResult{Stale}, nil},
		{"a good-bye of the start before", []Endpoint{
			one("a", "1:1", 8, 1, Ready), {ID: "a", StartedAtMs: 5, State: Left},
		}, []ApplyResult{Changed, Stale}, []string{"a"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			r := New()
			for i, e := range test.say {
				g.Expect(r.Apply(e, at(i))).To(Equal(test.verdicts[i]), "step %d", i)
			}
			var ready []string
			for _, h := range r.Ready("s") {
				ready = append(ready, h.ID)
			}
			g.Expect(ready).To(Equal(test.ready))
		})
	}
}

// TestOrderDoesNotMatter: whatever way announcements take, what the endpoint said
// last holds.
func TestOrderDoesNotMatter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		said := []Endpoint{
			one("a", "1:1", 5, 1, Ready), one("a", "1:1", 5, 2, Ready), one("a", "1:1", 5, 3, Draining),
			one("a", "1:1", 9, 1, Ready), one("a", "1:1", 9, 2, Draining),
		}
		r := New()
		for i, k := range rapid.Permutation([]int{0, 1, 2, 3, 4}).Draw(t, "order") {
			r.Apply(said[k], at(i))
		}
		if h, _ := r.Get("a"); h.StartedAtMs != 9 || h.State != Draining {
			t.Fatalf("holds %+v", h)
		}
	})
}

func TestSilentEndpointsAreForgottenAtLast(t *testing.T) {
	g := NewWithT(t)
	r := New()
	r.Apply(one("a", "1:1", 5, 1, Ready), at(0))
	r.Expire(at(60))
	g.Expect(r.All()).To(HaveLen(1))
	r.Expire(t0.Add(retention + time.Second))
	g.Expect(r.All()).To(BeEmpty())
}
