package ratelimit_test

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/ratelimit"
)

var start = time.Unix(1000, 0)

func at(d time.Duration) time.Time { return start.Add(d) }

func unlimited() ratelimit.Statement { return ratelimit.Statement{} }

func TestLimitTo(t *testing.T) {
	for value, kind := range map[float64]ratelimit.StatementKind{
		0: ratelimit.Limited, 0.3: ratelimit.Limited, 1e9: ratelimit.Limited,
		-1: ratelimit.Unreadable, math.Inf(1): ratelimit.Unreadable, math.Inf(-1): ratelimit.Unreadable,
	} {
		NewWithT(t).Expect(ratelimit.LimitTo(value).Kind).To(Equal(kind), "%v", value)
	}
	NewWithT(t).Expect(ratelimit.LimitTo(math.NaN()).Kind).To(Equal(ratelimit.Unreadable))
}

func TestLimitHoldsWhileStated(t *testing.T) {
	g := NewWithT(t)
	table := ratelimit.NewTable()
	_, changed := table.Observe("e", unlimited(), at(0), at(0))
	g.Expect(changed).To(BeFalse())
	g.Expect(table.Records()).To(BeEmpty(), "only endpoints that stated a limit are kept")

	_, changed = table.Observe("e", ratelimit.LimitTo(2), at(0), at(time.Second))
	g.Expect(changed).To(BeTrue())
	_, changed = table.Observe("e", ratelimit.LimitTo(2), at(2*time.Second), at(3*time.Second))
	g.Expect(changed).To(BeFalse())
	_, changed = table.Observe("e", ratelimit.Statement{Kind: ratelimit.Unreadable}, at(4*time.Second), at(5*time.Second))
	g.Expect(changed).To(BeFalse())
	perSecond, limited := table.Limit("e")
	g.Expect(limited).To(BeTrue(), "an unreadable value neither sets nor lifts a limit")
	g.Expect(perSecond).To(Equal(2.0))

	_, changed = table.Observe("e", unlimited(), at(2900*time.Millisecond), at(6*time.Second))
	g.Expect(changed).To(BeFalse(), "the request was sent before the limit was last stated")
	_, changed = table.Observe("e", unlimited(), at(3100*time.Millisecond), at(6*time.Second))
	g.Expect(changed).To(BeTrue())
	_, limited = table.Limit("e")
	g.Expect(limited).To(BeFalse())
	g.Expect(table.LimitedCount()).To(BeZero())
}

func TestMergeKeepsLatestStatement(t *testing.T) {
	g := NewWithT(t)
	table := ratelimit.NewTable()
	table.Observe("e", ratelimit.LimitTo(2), at(0), at(time.Second))
	lifted := ratelimit.Record{Endpoint: "e", At: at(500 * time.Millisecond)}
	g.Expect(table.Merge([]ratelimit.Record{lifted}, at(2*time.Second))).To(BeEmpty(), "older than the limit")
	lifted.At = at(1500 * time.Millisecond)
	g.Expect(table.Merge([]ratelimit.Record{lifted}, at(2*time.Second))).To(HaveLen(1))
	other := ratelimit.Record{Endpoint: "f", Limited: true, PerSecond: 1, At: at(time.Hour)}
	g.Expect(table.Merge([]ratelimit.Record{other}, at(2*time.Second))).To(HaveLen(1))
	g.Expect(table.Records()[1].At).To(Equal(at(2*time.Second)), "a statement isn't made in the future")
}

func TestRecordsEnd(t *testing.T) {
	g := NewWithT(t)
	table := ratelimit.NewTable()
	table.Observe("left", ratelimit.LimitTo(2), at(0), at(0))
	table.Observe("lifted", ratelimit.LimitTo(2), at(0), at(0))
	table.Observe("lifted", unlimited(), at(time.Second), at(time.Second))
	table.Observe("silent", ratelimit.LimitTo(2), at(0), at(0))
	table.Observe("gone", ratelimit.LimitTo(2), at(0), at(0))
	table.Forget("left")
	inUse := func(endpoint string) bool { return endpoint != "gone" }
	table.Expire(at(2*time.Minute), inUse)
	g.Expect(table.Records()).To(HaveLen(1))
	_, limited := table.Limit("silent")
	g.Expect(limited).To(BeTrue(), "an endpoint that gets no requests can't lift its limit")
	table.Expire(at(time.Hour), func(string) bool { return false })
	g.Expect(table.Records()).To(BeEmpty())
	g.Expect(table.LimitedCount()).To(BeZero())
}

func TestStatementsArePassedOnAgain(t *testing.T) {
	g := NewWithT(t)
	table := ratelimit.NewTable()
	g.Expect(table.TakeReport("e", true, at(0))).To(BeFalse())
	table.Observe("e", ratelimit.LimitTo(2), at(0), at(0))
	g.Expect(table.TakeReport("e", true, at(0))).To(BeTrue())
	g.Expect(table.TakeReport("e", false, at(100*time.Millisecond))).To(BeFalse())
	g.Expect(table.TakeReport("e", true, at(100*time.Millisecond))).To(BeTrue())
	g.Expect(table.TakeReport("e", false, at(300*time.Millisecond))).To(BeTrue())
	table.Observe("e", unlimited(), at(time.Second), at(time.Second))
	g.Expect(table.TakeReport("e", false, at(2*time.Second))).To(BeFalse())
}
