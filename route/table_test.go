package route

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func table() *Table {
	return &Table{
		Version: 1,
		Routes: []Route{
			{Name: "short", Host: "h", PathPrefix: "/a/", Timeout: time.Second, Split: []WeightedService{{"s", 1}}},
			{Name: "long", Host: "h", PathPrefix: "/a/b/", Timeout: time.Second, Split: []WeightedService{{"s", 9}, {"t", 1}}, Public: true},
		},
		Services: []Service{{Name: "s"}, {Name: "t"}},
		Accounts: []Account{{Name: "x", Keys: []string{"k1", "k2"}}, {Name: "y", Keys: []string{"k3"}}},
	}
}

func TestTheLongestPrefixWins(t *testing.T) {
	g := NewWithT(t)
	c := table()
	g.Expect(c.Compile()).To(Succeed())
	g.Expect(c.Match("h", "/a/b/c").Name).To(Equal("long"))
	g.Expect(c.Match("h:80", "/a/x").Name).To(Equal("short"))
	g.Expect(c.Match("h", "/a")).To(BeNil(), "a prefix ends with a slash")
	g.Expect(c.Match("other", "/a/x")).To(BeNil())
}

func TestKeys(t *testing.T) {
	g := NewWithT(t)
	c := table()
	g.Expect(c.Compile()).To(Succeed())
	g.Expect(c.Account("k2").Name).To(Equal("x"))
	g.Expect(c.Account("nobody")).To(BeNil())
	g.Expect(c.NeedsKey(&c.Routes[0])).To(BeTrue())
	g.Expect(c.NeedsKey(&c.Routes[1])).To(BeFalse(), "the route is public")
}

func TestInvalidTables(t *testing.T) {
	tests := map[string]struct {
		spoil func(*Table)
		says  string
	}{
		"no timeout":          {func(t *Table) { t.Routes[0].Timeout = 0 }, `route "short" has no timeout`},
		"unknown service":     {func(t *Table) { t.Routes[0].Split[0].Service = "z" }, `unknown service "z"`},
		"no weight":           {func(t *Table) { t.Routes[0].Split[0].Weight = 0 }, "add up to 0"},
		"negative weight":     {func(t *Table) { t.Routes[1].Split[1].Weight = -1 }, "the weight -1"},
		"same place":          {func(t *Table) { t.Routes[1].PathPrefix = "/a/" }, "share host and prefix"},
		"a key of two":        {func(t *Table) { t.Accounts[1].Keys = []string{"k1"} }, "share a key"},
		"prefix without mark": {func(t *Table) { t.Routes[0].PathPrefix = "/a" }, "slash"},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			c := table()
			test.spoil(c)
			NewWithT(t).Expect(c.Compile()).To(MatchError(ContainSubstring(test.says)))
		})
	}
}

func TestASplitFollowsItsWeights(t *testing.T) {
	g := NewWithT(t)
	c := table()
	counts := map[string]int{}
	for draw := range uint64(1000) {
		counts[c.Routes[1].Choose(draw)]++
	}
	g.Expect(counts).To(Equal(map[string]int{"s": 900, "t": 100}))
}

func TestWhatMayRepeat(t *testing.T) {
	g := NewWithT(t)
	g.Expect((&Route{Kind: Idempotent}).MayRepeat()).To(BeTrue())
	g.Expect((&Route{Kind: NonIdempotent, Resumable: true}).MayRepeat()).To(BeFalse())
	g.Expect((&Route{Kind: Stream}).MayRepeat()).To(BeFalse())
	g.Expect((&Route{Kind: Stream, Resumable: true}).MayRepeat()).To(BeTrue())
}
