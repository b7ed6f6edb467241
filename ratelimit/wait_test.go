package ratelimit

import (
	"math"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestStatedWait(t *testing.T) {
	g := NewWithT(t)
	table, now := NewTable(), time.Unix(1000, 0)
	table.Observe("a", Statement{Wait: 3 * time.Second}, now, now)
	g.Expect(table.AnyWaits(now)).To(BeTrue())
	g.Expect(table.Take("a", now.Add(time.Second))).To(BeFalse())
	g.Expect(table.Wait("a", now.Add(time.Second))).To(Equal(2 * time.Second))
	ok, wait := table.TakeGranted("a", now.Add(time.Second))
	g.Expect(ok).To(BeFalse())
	g.Expect(wait).To(Equal(2 * time.Second))
	g.Expect(table.Take("b", now)).To(BeTrue(), "another endpoint")
	g.Expect(table.Take("a", now.Add(3*time.Second))).To(BeTrue(), "after the wait")
	g.Expect(table.AnyWaits(now.Add(3 * time.Second))).To(BeFalse())
}

func TestLatestEndOfWaitApplies(t *testing.T) {
	g := NewWithT(t)
	table, now := NewTable(), time.Unix(1000, 0)
	table.Observe("a", Statement{Wait: 3 * time.Second}, now, now)
	table.Observe("a", Statement{Wait: time.Second}, now, now.Add(time.Second))
	table.Observe("a", Statement{}, now, now.Add(time.Second))
	table.Merge([]Record{{Endpoint: "a", WaitUntil: now.Add(2 * time.Second), At: now}}, now)
	g.Expect(table.StatedWait("a", now)).To(Equal(3 * time.Second))
	table.Merge([]Record{{Endpoint: "a", WaitUntil: now.Add(5 * time.Second)}}, now)
	g.Expect(table.StatedWait("a", now)).To(Equal(5 * time.Second))
	table.Merge([]Record{{Endpoint: "a", WaitUntil: now.Add(24 * time.Hour)}}, now)
	g.Expect(table.StatedWait("a", now)).To(Equal(maxWait))
	table.Forget("a")
	g.Expect(table.StatedWait("a", now)).To(BeZero(), "a new run")
}

func TestWaitOutlastsRetentionOfLimits(t *testing.T) {
	g := NewWithT(t)
	table, now := NewTable(), time.Unix(1000, 0)
	table.Observe("a", Statement{Wait: 5 * time.Minute}, now, now)
	all := func(string) bool { return true }
	later := now.Add(2 * liftedRetention)
	table.Expire(later, all)
	g.Expect(table.StatedWait("a", later)).To(Equal(5*time.Minute - 2*liftedRetention))
	table.Expire(now.Add(5*time.Minute), all)
	g.Expect(table.Records()).To(BeEmpty())
}

func TestWaitFor(t *testing.T) {
	for _, test := range []struct {
		seconds float64
		want    time.Duration
	}{
		{1.5, 1500 * time.Millisecond}, {0, 0}, {-1, 0}, {math.NaN(), 0}, {math.Inf(1), 0}, {math.Inf(-1), 0}, {1e300, maxWait},
	} {
		NewWithT(t).Expect(WaitFor(test.seconds)).To(Equal(test.want), "%g seconds", test.seconds)
	}
}
