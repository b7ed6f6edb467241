package blame

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// delayedReport is a report on its way to the entry that judges.
type delayedReport struct {
	data    []byte // as it was sent
	arrives float64
}

// send returns what an entry sends at a time, and takes some time on the way.
func (s *Store) send(g Gomega, r Report, sentAt, takes float64) delayedReport {
	s.Stamp(&r, at(sentAt))
	data, err := json.Marshal(r)
	g.Expect(err).NotTo(HaveOccurred())
	return delayedReport{data: data, arrives: sentAt + takes}
}

// receive merges reports in the order in which they arrive.
func (s *Store) receive(g Gomega, reports []delayedReport) {
	slices.SortStableFunc(reports, func(a, b delayedReport) int { return at(a.arrives).Compare(at(b.arrives)) })
	for _, x := range reports {
		var r Report
		g.Expect(json.Unmarshal(x.data, &r)).To(Succeed())
		s.Merge(&r, at(x.arrives))
	}
}

// fastest is how long the fastest messages between entries take, in seconds.
const fastest = 0.0002

// inTouch lets entries send lists to the one that judges once a second. One of them is slow.
func (s *Store) inTouch(g Gomega, until float64, entries ...*Store) {
	for second := until - 5; second < until; second++ {
		for i, e := range entries {
			takes := fastest
			if int(second)%3 == i {
				takes = 0.03
			}
			s.receive(g, []delayedReport{e.send(g, Report{}, second, takes)})
		}
	}
}

// forEachDelay calls f with all combinations of how long three reports take.
func forEachDelay(t *testing.T, f func(g Gomega, first, second, third float64)) {
	delays := []float64{fastest, 0.0012, 0.005, 0.04, 0.06, 0.15}
	for _, first := range delays {
		for _, second := range delays {
			for _, third := range delays {
				t.Run(fmt.Sprint(first, second, third), func(t *testing.T) { f(NewWithT(t), first, second, third) })
			}
		}
	}
}

// TestRetriesAreCountedWhateverTheirReportsTake guards against a request that ends endpoint after
// endpoint and is let through for a second and third time, as reports on its retries took
// different times to the entry that judges and the retries seemed to overlap.
func TestRetriesAreCountedWhateverTheirReportsTake(t *testing.T) {
	for _, test := range []struct {
		name  string
		waits float64 // of the first attempt for its endpoint
	}{{"all attempts end at once", 0.0003}, {"the first attempt takes long", 0.055}} {
		t.Run(test.name, func(t *testing.T) {
			forEachDelay(t, func(g Gomega, first, second, third float64) {
				judge, entry, other := NewStore(), NewStore(), NewStore()
				judge.inTouch(g, 8, entry, other)
				a, b, c := 8+test.waits, 8+test.waits+0.0005, 8+test.waits+0.0015
				judge.receive(g, []delayedReport{
					entry.send(g, entry.recordStep(endsUnder(a, test.waits, "a", same)), a+0.0001, first),
					entry.send(g, entry.recordStep(endsUnder(b, 0.0004, "b", same)), b+0.0001, second),
					other.send(g, other.recordStep(endsUnder(c, 0.0004, "c", same)), c+0.0001, third),
				})
				g.Expect(judge.blamedAt(9)).To(ConsistOf(same))
			})
		})
	}
}

// TestRetriesOfOneEntryKeepTheirOrder guards against retries of one entry that seem to overlap, as
// the report on the second was faster than any message before, or as another entry told the end
// of the first later than its own did.
func TestRetriesOfOneEntryKeepTheirOrder(t *testing.T) {
	forEachDelay(t, func(g Gomega, first, second, third float64) {
		judge, entry, other := NewStore(), NewStore(), NewStore()
		judge.receive(g, []delayedReport{
			entry.send(g, entry.recordStep(endsUnder(8, 0.0004, "a", same)), 8.0001, first),
			entry.send(g, entry.recordStep(endsUnder(8.0005, 0.00049, "b", same)), 8.0006, second),
			other.send(g, other.recordStep(endsUnder(8.0003, 0.01, "a", another)), 8.0004, third),
		})
		g.Expect(judge.countRetries(same, nil).occasions).To(Equal(2))

		// An entry that judges next is told in the same form.
		next := NewStore()
		report := judge.Report(at(9))
		next.Merge(&report, at(9))
		g.Expect(next.countRetries(same, nil).occasions).To(Equal(2))
	})
}

// TestSoundRequestIsNotBlamedWhateverReportsTake guards against a sound request that is blamed when
// a failure domain is lost with several copies of it, as their reports took different times and
// the copies seemed to be retries.
func TestSoundRequestIsNotBlamedWhateverReportsTake(t *testing.T) {
	forEachDelay(t, func(g Gomega, first, second, third float64) {
		judge, entry, other := NewStore(), NewStore(), NewStore()
		judge.inTouch(g, 8, entry, other)
		judge.receive(g, []delayedReport{
			entry.send(g, entry.recordStep(endsUnder(8, 0.006, "a", same)), 8.0001, first),
			entry.send(g, entry.recordStep(endsUnder(8.001, 0.008, "b", same)), 8.0011, second),
			other.send(g, other.recordStep(endsUnder(8.002, 0.007, "c", same)), 8.0021, third),
		})
		g.Expect(judge.blamedAt(9)).To(BeEmpty(), "all copies were under way")

		// It is retried at endpoints that are about to be lost, with other requests on them.
		judge.inTouch(g, 12, entry, other)
		judge.receive(g, []delayedReport{
			entry.send(g, entry.recordStep(endsUnder(12, 0.006, "d", another)), 12.0001, first),
			entry.send(g, entry.recordStep(endsUnder(12.001, 0.0004, "e", another)), 12.0011, second),
			other.send(g, other.recordStep(endsUnder(12.002, 0.0004, "f", another)), 12.0021, third),
			other.send(g, other.recordStep(endsUnder(12.0015, 0.01, "g", "request 3")), 12.0021, third),
		})
		g.Expect(judge.blamedAt(13)).To(BeEmpty())
	})
}

// TestReportsOfEarlierVersionAreMerged guards against ends that are lost or moved while entries
// of a version that sends no clock are in the fleet.
func TestReportsOfEarlierVersionAreMerged(t *testing.T) {
	g := NewWithT(t)
	judge, entry := NewStore(), NewStore()
	judge.inTouch(g, 1, entry)
	r := entry.recordStep(endsUnder(1, 0.5, "a", same))
	r.Refresh(at(1.5))
	judge.Merge(&r, at(1.6))
	g.Expect(judge.ends).To(HaveLen(1))
	g.Expect(judge.ends[0].at).To(BeTemporally("==", at(1.1)))
}

// TestTransitOfReports guards against ends that are moved for good by a clock that was suspended
// or runs at another rate, by an entry that started again, or by one slow first message.
func TestTransitOfReports(t *testing.T) {
	ms := func(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }
	type sample struct {
		seconds float64       // of arrival
		late    time.Duration // the clock seems to be behind
		want    time.Duration
	}
	for _, test := range []struct {
		name    string
		samples []sample
	}{
		{"the first message is slow", []sample{{1, ms(40), 0}, {2, ms(1), 0}, {3, ms(40), ms(39)}, {4, ms(1), 0}}},
		{"a clock was suspended for an hour", []sample{{1, ms(1), 0}, {2, time.Hour, 0}, {3, time.Hour + ms(2), ms(2)}}},
		{"a clock was suspended for a second", []sample{{1, ms(1), 0}, {2, ms(1001), ms(1000)}, {13, ms(1001), ms(1000)}, {24, ms(1001), 0}}},
		{"a window keeps the fastest of the one before", []sample{{1, ms(1), 0}, {11.5, ms(41), ms(40)}, {21, ms(31), ms(30)}, {22, ms(31), 0}}},
		{"nothing was heard for long", []sample{{1, ms(1), 0}, {60, ms(31), 0}, {61, ms(36), ms(5)}}},
		{"a clock that is faster", []sample{{1, ms(1), 0}, {2, ms(0.9), 0}, {3, ms(0.8), 0}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			c := &senderClock{since: at(1)}
			for _, x := range test.samples {
				reading := at(x.seconds).Sub(start) - x.late
				g.Expect(c.transit(reading, at(x.seconds))).To(BeNumerically("~", x.want, time.Microsecond))
			}
		})
	}
	t.Run("entries that start again are forgotten", func(t *testing.T) {
		g := NewWithT(t)
		judge := NewStore()
		for n := range 100 {
			judge.inTouch(g, float64(10*n), NewStore())
		}
		g.Expect(len(judge.senders)).To(BeNumerically("<=", 4))
	})
}
