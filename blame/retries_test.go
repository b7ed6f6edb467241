package blame

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/announce"
)

const another Key = "request 2"

// TestJudgeRetries guards against a request that ends endpoint after endpoint within
// milliseconds and is let through again, as its ends were taken for one occasion, and against
// sound requests that are blamed for the loss of a failure domain.
func TestJudgeRetries(t *testing.T) {
	const short = 0.0005 // seconds for which an attempt lasts that ends its endpoint at once
	for _, test := range []struct {
		name  string
		steps []step
		want  []Key
	}{
		{
			"the attempts of an entry and the repeat of its client follow one another",
			[]step{endsUnder(1, short, "a", same, shared), endsUnder(1.001, short, "b", same, shared), endsUnder(1.002, short, "c", same, shared)},
			[]Key{same},
		},
		{
			"two attempts at a time, on two occasions",
			[]step{
				endsUnder(1, short, "a", same), endsUnder(1.001, short, "b", same),
				endsUnder(5, short, "a2", same), endsUnder(5.001, short, "b2", same),
			},
			[]Key{same},
		},
		{
			"a failure domain is lost with attempts of one request that were all under way",
			[]step{endsUnder(1, 0.06, "a", same), endsUnder(1.01, 0.05, "b", same), endsUnder(1.02, 0.04, "c", same), endsUnder(1.03, 0.05, "d", same)},
			nil,
		},
		{
			"a failure domain is lost bit by bit, and a sound request is retried at endpoints that are lost next",
			[]step{
				endsUnder(1, 0.06, "a", same), endsUnder(1.01, 0.02, "b", another), endsUnder(1.02, short, "c", same),
				endsUnder(1.03, 0.02, "d", "request 3"), endsUnder(1.04, short, "e", same), endsUnder(1.05, short, "f", another),
			},
			nil,
		},
		{
			"an endpoint that is lost without the request is reported last",
			[]step{endsUnder(1, short, "a", same), endsUnder(1.01, short, "b", same), endsUnder(1.02, short, "c", same), endsUnder(1.03, 0.02, "d", another)},
			nil,
		},
		{
			"a sound request was retried wherever the cause was: neither is known to be it",
			[]step{
				endsUnder(1, short, "a", same), endsUnder(1, 0.01, "a", another), endsUnder(1.01, short, "b", same),
				endsUnder(1.01, short, "b", another), endsUnder(1.02, short, "c", another), endsUnder(1.02, short, "c", same),
			},
			nil,
		},
		{
			"two requests end endpoints at different times",
			[]step{
				endsUnder(1, short, "a", same), endsUnder(1.001, short, "b", same), endsUnder(1.002, short, "c", same),
				endsUnder(5, short, "a2", another), endsUnder(5.001, short, "b2", another), endsUnder(5.002, short, "c2", another),
			},
			[]Key{same, another},
		},
		{
			"nobody knows which of two requests it was, and another one ends endpoints",
			[]step{
				endsUnder(1, short, "a", same, another), endsUnder(1.001, short, "b", same, another), endsUnder(1.002, short, "c", same, another, "request 4"),
				endsUnder(1.003, short, "d", same, another, "request 4"), endsUnder(1.004, short, "e", same, another, "request 4"),
				endsUnder(5, short, "a2", "request 3"), endsUnder(5.001, short, "b2", "request 3"), endsUnder(5.002, short, "c2", "request 3"),
			},
			[]Key{"request 3"},
		},
		{
			"the cause comes again, beside other sound requests",
			[]step{
				endsUnder(1, short, "a", same, another), endsUnder(1.01, short, "b", same, another), endsUnder(1.02, short, "c", same, another),
				endsUnder(5, short, "a2", same, "request 3"), endsUnder(5.01, short, "b2", same),
			},
			[]Key{same},
		},
		{
			"a part that several retried requests share is still found",
			[]step{
				endsUnder(1, short, "a", same, bad), endsUnder(1.01, short, "b", same, bad), endsUnder(1.02, short, "c", same, bad),
				endsUnder(2, short, "d", another, bad), endsUnder(2.01, short, "e", another, bad), endsUnder(2.02, short, "f", another, bad),
				endsUnder(3, short, "g", "request 3", bad),
			},
			[]Key{bad},
		},
		{
			"a request whose time of sending is unknown",
			[]step{endsUnder(1, 1e6, "a", same), endsUnder(1.01, 1e6, "b", same), endsUnder(1.02, 1e6, "c", same)},
			nil,
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := NewStore()
			s.apply(test.steps)
			NewWithT(t).Expect(s.blamedAt(7)).To(ConsistOf(test.want))
		})
	}
}

// TestRetriesAreToldInOrder guards against retries at several entries whose order is lost on
// their way to the entry that judges, as their reports wait for different times.
func TestRetriesAreToldInOrder(t *testing.T) {
	g := NewWithT(t)
	judge := NewStore()
	first, second := NewStore(), NewStore()
	run := func(s *Store, seconds float64, endpoint string) Report {
		x := endsUnder(seconds, 0.0005, endpoint, same)
		return s.recordStep(x)
	}
	early := run(first, 1, "a")
	early.Append(run(first, 1.001, "b"))
	late := run(second, 1.002, "c")
	late.Refresh(at(1.003))
	judge.Merge(&late, at(1.003))
	early.Refresh(at(1.020))
	judge.Merge(&early, at(1.020))
	g.Expect(judge.blamedAt(2)).To(ConsistOf(same))

	// An entry that judges next is told in the same form.
	next := NewStore()
	report := judge.Report(at(2))
	next.Merge(&report, at(2))
	g.Expect(next.blamedAt(2)).To(ConsistOf(same))
	g.Expect(next.hasEvidence(same)).To(BeTrue())
}

// TestReportsAreJoinedInAnyOrder guards against a retry that seems to be sent before the end that it
// follows, as the report on its own end was made later and joined to what waits first.
func TestReportsAreJoinedInAnyOrder(t *testing.T) {
	g := NewWithT(t)
	entry, judge := NewStore(), NewStore()
	second := entry.RecordEnd(announce.Run{ID: "b"}, []Key{same}, at(1.0021), at(1.0025), at(1.004))
	first := entry.RecordEnd(announce.Run{ID: "a"}, []Key{same}, at(1.0010), at(1.0020), at(1.003))
	var waiting Report
	waiting.Append(second)
	waiting.Append(first)
	waiting.Refresh(at(1.010))
	judge.Merge(&waiting, at(1.010))
	g.Expect(judge.ends).To(HaveLen(2))
	g.Expect(judge.ends[0].at).To(BeTemporally("==", at(1.0020)))
	g.Expect(judge.ends[1].at).To(BeTemporally("==", at(1.0025)))
	g.Expect(judge.countRetries(same, nil).occasions).To(Equal(2))
}

// TestVerdictOutlastsItsEnds guards against a request that is let through again before its time, as
// others have ended so many endpoints since that its own ends are forgotten.
func TestVerdictOutlastsItsEnds(t *testing.T) {
	g := NewWithT(t)
	s := NewStore()
	const requests, pause = maxEnds, 4.0
	for n := range requests {
		began := 1 + pause*float64(n)
		for i := range 3 {
			s.recordStep(endsUnder(began+float64(i)/1000, 0.0004, fmt.Sprintf("e-%d-%d", n, i), Key(fmt.Sprint(requestPrefix, n))))
		}
		oldest := max(0, n-int(blameTime.Seconds()/pause)+1)
		g.Expect(s.blamedAt(began + 1)).To(HaveLen(n + 1 - oldest))
	}
	g.Expect(len(s.ends)).To(BeNumerically("<=", maxEnds))
	s.RecordSurvival([]Key{Key(fmt.Sprint(requestPrefix, requests-1)), Key(fmt.Sprint(requestPrefix, requests-100))}, at(1+pause*requests))
	g.Expect(s.blamedAt(1 + pause*requests)).To(HaveLen(requests - 2))
}
