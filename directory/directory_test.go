package directory_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/directory"
	"github.com/jacinthplank/jacinthplank/submit"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func announcement(name string, incarnation, sequence uint64) directory.Endpoint {
	return directory.Endpoint{Name: name, Models: []string{"m"}, Incarnation: incarnation, Sequence: sequence}
}

func TestStaleAnnouncementIsIgnored(t *testing.T) {
	g := NewWithT(t)
	d := directory.New(0)
	g.Expect(d.Announce(start, announcement("a", 2, 5))).To(BeTrue())

	old := announcement("a", 1, 9)
	old.Models = []string{"other"}
	g.Expect(d.Announce(start, old)).To(BeFalse())
	g.Expect(d.Announce(start, announcement("a", 2, 5))).To(BeFalse())
	g.Expect(d.Model("other")).To(BeEmpty())
	g.Expect(d.Model("m")).To(HaveLen(1))
}

func TestLeavingLastsForTheIncarnation(t *testing.T) {
	g := NewWithT(t)
	d := directory.New(0)
	d.Announce(start, announcement("a", 1, 1))
	d.Observe(start, submit.Backlog{Endpoint: "a", Leaving: true})
	d.Observe(start, submit.Backlog{Endpoint: "a"}) // a late answer
	d.Announce(start, announcement("a", 1, 2))
	g.Expect(d.Get("a").Leaving()).To(BeTrue())

	d.Remove(start, "a")
	d.Announce(start, announcement("a", 1, 3))
	g.Expect(d.Get("a").Leaving()).To(BeTrue(), "after the endpoint was dropped")

	d.Announce(start, announcement("a", 2, 1))
	g.Expect(d.Get("a").Leaving()).To(BeFalse())
}

func TestMemberWithoutHeartbeatsExpires(t *testing.T) {
	g := NewWithT(t)
	d := directory.New(3 * time.Second)
	d.Announce(start, announcement("a", 1, 7))
	d.Announce(start, announcement("b", 1, 7))
	d.Observe(start.Add(2*time.Second), submit.Backlog{Endpoint: "b"})

	gone := d.Expire(start.Add(4 * time.Second))
	g.Expect(gone).To(HaveLen(1))
	g.Expect(gone[0].Name).To(Equal("a"))
	g.Expect(d.Model("m")).To(HaveLen(1))

	g.Expect(d.Announce(start.Add(5*time.Second), announcement("a", 1, 6))).To(BeFalse(), "late announcement of the dropped endpoint")
	g.Expect(d.Announce(start.Add(5*time.Second), announcement("a", 1, 8))).To(BeTrue())
}

func TestReadersDoNotAllocate(t *testing.T) {
	g := NewWithT(t)
	d := directory.New(0)
	for _, name := range []string{"a", "b", "c"} {
		d.Announce(start, announcement(name, 1, 1))
	}
	allocations := testing.AllocsPerRun(100, func() {
		for _, m := range d.Model("m") {
			_ = m.Report().Wait
		}
	})
	g.Expect(allocations).To(BeZero())
}
