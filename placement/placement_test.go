package placement_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/directory"
	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/placement"
	"github.com/jacinthplank/jacinthplank/submit"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// newMembers returns a directory of n members in three failure domains.
func newMembers(n int) (*directory.Directory, []*directory.Member) {
	d := directory.New(time.Hour)
	for i := range n {
		d.Announce(start, directory.Endpoint{
			Name: fmt.Sprintf("e%04d", i), FailureDomain: fmt.Sprint("d", i%3), Models: []string{"m"},
			Incarnation: 1, Sequence: 1, MaxPrompt: 400_000, PrefillPerSec: 20_000,
		})
	}
	return d, d.Model("m")
}

func promptBlocks(first, n int) []engine.Block {
	blocks := make([]engine.Block, n)
	for i := range blocks {
		blocks[i] = engine.Block(uint64(first+1)*0x9e3779b97f4a7c15 + uint64(i)*0xbf58476d1ce4e5b9)
	}
	return blocks
}

func newQuery(blocks []engine.Block) *placement.Query {
	return &placement.Query{
		Now: start, Tokens: len(blocks) * engine.BlockTokens, Class: submit.ClassOf(len(blocks) * engine.BlockTokens),
		Blocks: blocks, Random: 42, Domain: "d0",
		Distance: func(string) time.Duration { return time.Millisecond },
	}
}

func TestEntriesAgreeWithoutCoordination(t *testing.T) {
	g := NewWithT(t)
	_, list := newMembers(300)
	moved := 0
	for prompt := range 200 {
		q := newQuery(promptBlocks(prompt, 16))
		first, _ := placement.NewPlacer().Choose(q, list)
		q.Random = uint64(prompt) // another entry
		second, _ := placement.NewPlacer().Choose(q, list)
		if first.Member != second.Member {
			moved++
		}
	}
	g.Expect(moved).To(BeNumerically("<", 10))
}

func TestPrefixAffinityYieldsToLongWait(t *testing.T) {
	g := NewWithT(t)
	d, list := newMembers(15)
	p := placement.NewPlacer()
	blocks := promptBlocks(1, 40)
	cachedMember := list[7]
	p.Learn(start, cachedMember, blocks, 0)

	longer := append(append([]engine.Block{}, blocks...), promptBlocks(2, 4)...)
	choice, ok := p.Choose(newQuery(longer), list)
	g.Expect(ok).To(BeTrue())
	g.Expect(choice.Member).To(Equal(cachedMember))
	g.Expect(choice.Cached).To(BeNumerically(">=", 32*engine.BlockTokens))

	d.Observe(start, submit.Backlog{Endpoint: cachedMember.Name, Wait: 10 * time.Second})
	choice, _ = p.Choose(newQuery(longer), list)
	g.Expect(choice.Member).NotTo(Equal(cachedMember), "waiting costs more than a full prefill elsewhere")
}

func TestExpiredHintIsIgnored(t *testing.T) {
	g := NewWithT(t)
	_, list := newMembers(15)
	p := placement.NewPlacer()
	blocks := promptBlocks(1, 40)
	p.Learn(start, list[7], blocks, 0)
	stale := start.Add(time.Hour)
	q := newQuery(blocks)
	q.Now = stale
	choice, _ := p.Choose(q, list)
	g.Expect(choice.Cached).To(BeZero(), "the hint is an hour old")
}

func TestLocalFailureDomainPreferredUntilBusy(t *testing.T) {
	g := NewWithT(t)
	dir, list := newMembers(15)
	p := placement.NewPlacer()
	q := newQuery(nil)
	q.Tokens = 200
	choice, _ := p.Choose(q, list)
	g.Expect(choice.Member.FailureDomain).To(Equal("d0"))

	wait := func(d time.Duration) {
		for _, m := range list {
			if m.FailureDomain == "d0" {
				dir.Observe(start, submit.Backlog{Endpoint: m.Name, Wait: d})
			}
		}
	}
	wait(20 * time.Millisecond)
	choice, _ = p.Choose(q, list)
	g.Expect(choice.Member.FailureDomain).To(Equal("d0"), "the shorter wait does not outweigh the penalty of another domain")

	wait(100 * time.Millisecond)
	choice, _ = p.Choose(q, list)
	g.Expect(choice.Member.FailureDomain).NotTo(Equal("d0"))
}

func TestLeavingAndBlockedEndpointsAreSkipped(t *testing.T) {
	g := NewWithT(t)
	d, list := newMembers(3)
	p := placement.NewPlacer()
	d.Observe(start, submit.Backlog{Endpoint: list[0].Name, Leaving: true})
	q := newQuery(promptBlocks(1, 4))
	q.Blocked = func(m *directory.Member) bool { return m == list[1] }
	q.Avoid = []string{list[2].Name}
	choice, ok := p.Choose(q, list)
	g.Expect(ok).To(BeTrue())
	g.Expect(choice.Member).To(Equal(list[2]), "tried before, but the only usable member")
	q.Blocked = func(m *directory.Member) bool { return true }
	_, ok = p.Choose(q, list)
	g.Expect(ok).To(BeFalse())
}

func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{15, 100, 2700} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			_, list := newMembers(n)
			p := placement.NewPlacer()
			q := newQuery(promptBlocks(1, 64))
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				q.Random = uint64(i)
				p.Choose(q, list)
			}
		})
	}
}
