package membership_test

import (
	"encoding/json"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/jacinthplank/jacinthplank/coord/membership"
)

// FuzzReceive guards against a message of another member that ends the one that receives it, makes it lose
// the members beside, or keeps it from being known as alive.
func FuzzReceive(f *testing.F) {
	now := time.Unix(1_800_000_000, 0)
	table := func(name string) *membership.Table {
		return membership.New(membership.Options{Self: membership.Record{Name: name, Address: "127.0.0.1:1", Watcher: true, Incarnation: 5, Sequence: 7}})
	}
	b := table("b")
	b.Receive(table("c").Prepare("b"), now)
	for _, m := range []membership.Message{
		b.Prepare("a"),
		{
			From: membership.Record{Name: "b", Incarnation: 5, Watcher: true}, Table: 5, Head: 1 << 63, Ack: 9, AckTable: 5,
			Records: []membership.Record{{Name: "a", Incarnation: 5, State: membership.Dead, Suspects: []string{"b", "c"}}},
		},
		{From: membership.Record{Name: "a", Incarnation: 9, State: membership.Left}},
		{From: membership.Record{Name: "b", Incarnation: 5}, Records: []membership.Record{{Name: "a", Incarnation: math.MaxUint64, State: membership.Dead}}},
		{From: membership.Record{Name: "b", Incarnation: 5}, Records: []membership.Record{{Name: "a", Incarnation: 5, Sequence: math.MaxUint64, Suspects: []string{"b"}}}},
		{From: membership.Record{Name: "b", Incarnation: math.MaxUint64, Sequence: math.MaxUint64}},
		{From: membership.Record{Name: "b", Incarnation: 6, Suspects: []string{"x", "c", "b", "c"}}},
	} {
		data, err := json.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var m membership.Message
		if json.Unmarshal(data, &m) != nil || m.From.Name == "" {
			return // gossip refuses messages without a sender
		}
		for _, r := range append([]membership.Record{m.From}, m.Records...) {
			if r.State > membership.Left || r.Name == "" || r.Name == "sound" {
				return // gossip passes on no such record
			}
		}
		a := table("a")
		for range 2 {
			a.Receive(m, now)
			a.Expire(now)
			if _, err := json.Marshal(a.Prepare(m.From.Name)); err != nil {
				t.Fatal(err)
			}
			now = now.Add(time.Second)
		}
		if self := a.Self(); self.State != membership.Alive || self.Incarnation < 5 || self.Sequence < 7 {
			t.Fatalf("it is %v in incarnation %d, sequence %d", self.State, self.Incarnation, self.Sequence)
		}
		// It takes what others tell, and tells it.
		a.Receive(table("sound").Prepare("a"), now)
		if r, ok := a.Get("sound"); !ok || r.State != membership.Alive {
			t.Fatalf("sound member %+v", r)
		}
		c := table("c")
		c.Receive(a.Prepare("c"), now)
		if r, ok := c.Get("a"); !ok || r.Incarnation != a.Self().Incarnation {
			t.Fatalf("told as %+v", r)
		}
		if len(a.Members()) > len(m.Records)+3 {
			t.Fatalf("%d members of %d records", len(a.Members()), len(m.Records))
		}
		for _, r := range a.Members() {
			if len(slices.Compact(slices.Sorted(slices.Values(r.Suspects)))) != len(r.Suspects) || !slices.IsSorted(r.Suspects) {
				t.Errorf("suspects %q", r.Suspects)
			}
		}
	})
}
