package blame

import (
	"cmp"
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/announce"
)

var start = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// step is something that an entry learns.
type step struct {
	at       float64 // seconds
	endpoint string  // that ended; empty for an answer
	keys     []Key
	lasted   float64 // seconds from the sending of the request to the end; 1 if 0
}

func ends(at float64, endpoint string, keys ...Key) step {
	return step{at: at, endpoint: endpoint, keys: keys}
}

// endsUnder is the end of an endpoint under a request that was sent to it lasted seconds before.
func endsUnder(at, lasted float64, endpoint string, keys ...Key) step {
	return step{at: at, endpoint: endpoint, keys: keys, lasted: lasted}
}

func answers(at float64, keys ...Key) step { return step{at: at, keys: keys} }

func (s *Store) apply(steps []step) {
	for _, x := range steps {
		now := at(x.at)
		if x.endpoint == "" {
			s.RecordSurvival(x.keys, now)
			continue
		}
		s.recordStep(x)
	}
}

func (s *Store) recordStep(x step) Report {
	return s.RecordEnd(announce.Run{ID: x.endpoint}, x.keys, at(x.at-cmp.Or(x.lasted, 1)), at(x.at), at(x.at))
}

func (s *Store) blamedAt(seconds float64) []Key {
	out := []Key{}
	for _, v := range s.sortedVerdicts(at(seconds)) {
		if v.blames(at(seconds)) {
			out = append(out, v.Key)
		}
	}
	return out
}

const bad, shared, own, same Key = "part bad", "part shared", "part own", "request 1"

func TestJudge(t *testing.T) {
	for _, test := range []struct {
		name  string
		steps []step
		want  []Key
	}{
		{"two ends are too few", []step{ends(1, "a", bad), ends(2, "b", bad)}, nil},
		{"three ends on separate occasions", []step{ends(1, "a", bad), ends(2, "b", bad), ends(3, "c", bad)}, []Key{bad}},
		{
			"several entries report the same end",
			[]step{ends(1, "a", bad), ends(1.2, "a", bad, own), ends(2, "b", bad), ends(2.3, "b", bad)},
			nil,
		},
		{
			"a failure domain is lost with all its endpoints",
			[]step{ends(1, "a", shared), ends(1.01, "b", shared), ends(1.05, "c", shared), ends(1.08, "d", shared)},
			nil,
		},
		{
			"sound requests that share a part with the cause are answered",
			[]step{ends(1, "a", bad, shared), answers(1.5, shared), ends(2, "b", bad, shared), ends(3, "c", bad, shared), answers(3.1, shared), ends(4, "d", bad, shared)},
			[]Key{bad},
		},
		{
			"a sound request was retried where the cause ended the endpoints",
			[]step{ends(1, "a", bad, own), ends(2, "b", bad, own), ends(3, "c", bad), ends(4, "d", bad, own)},
			[]Key{bad},
		},
		{
			"a sound request that is blamed first is cleared by a better cause",
			[]step{ends(1, "a", "part x", bad), ends(2, "b", "part x", bad), ends(3, "c", "part x"), ends(3.05, "d", bad), ends(4, "e", bad), ends(5, "f", bad)},
			[]Key{bad},
		},
		{
			"two causes at once",
			[]step{
				ends(1, "a", bad), ends(1.5, "b", "part z"), ends(2, "c", bad), ends(2.5, "d", "part z"),
				ends(3, "e", bad), ends(3.5, "f", "part z"), ends(4, "g", bad), ends(4.5, "h", "part z"),
			},
			[]Key{"part z", bad},
		},
		{
			"endpoints end often, and a sound request was on some of them",
			[]step{
				ends(1, "a", "part a", own), ends(1.5, "b", "part b"), ends(2, "c", "part c", own), ends(2.5, "d", "part d"),
				ends(3, "e", "part e", own), ends(3.5, "f", "part f"), ends(4, "g", "part g"),
			},
			nil,
		},
		{
			"endpoints go on ending for another reason after a verdict",
			[]step{
				ends(1, "a", bad), ends(1.5, "b", bad), ends(2, "c", bad), ends(2.5, "d", "part d"), ends(3, "e", "part e"),
				ends(3.5, "f", "part f"), ends(4, "g", "part g"), ends(4.5, "h", "part h"),
			},
			[]Key{bad},
		},
		{
			"a part that all requests have was answered before, but no endpoint lasts to answer now",
			[]step{answers(0.5, "part all"), ends(1, "a", bad, "part all"), ends(2, "b", bad, "part all"), ends(3, "c", bad, "part all"), ends(4, "d", bad, "part all")},
			[]Key{bad},
		},
		{
			"one request comes again and again, and shares its parts with sound ones",
			[]step{
				answers(0.5, shared), ends(1, "a", same, shared), ends(2, "b", same, shared), ends(3, "c", same, shared),
			},
			[]Key{same},
		},
		{
			"one request comes again and again, and a part of its prompt was never seen before",
			[]step{ends(1, "a", same, bad), ends(2, "b", same, bad), ends(3, "c", same, bad)},
			[]Key{same},
		},
		{
			"several requests, each repeated, share the cause",
			[]step{
				ends(1, "a", same, bad), ends(1.5, "b", same, bad), ends(2, "c", "request 2", bad), ends(2.5, "d", "request 2", bad),
				ends(3, "e", same, bad), ends(3.5, "f", "request 2", bad),
			},
			[]Key{bad},
		},
		{
			"an answer after the verdict clears",
			[]step{ends(1, "a", bad), ends(2, "b", bad), ends(3, "c", bad), answers(3.5, bad)},
			nil,
		},
		{
			"an answer between the ends starts the count anew",
			[]step{ends(1, "a", bad), ends(2, "b", bad), answers(2.5, bad), ends(3, "c", bad), ends(4, "d", bad)},
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

// Guards against a cause that is let through for good, or never again, once its verdict
// has expired.
func TestVerdictExpiresAndOneEndRenewsIt(t *testing.T) {
	g := NewWithT(t)
	s := NewStore()
	s.apply([]step{ends(1, "a", bad), ends(2, "b", bad), ends(3, "c", bad)})
	v, isBlamed := s.Blamed([]Key{own, bad}, at(4))
	g.Expect(isBlamed).To(BeTrue())
	g.Expect(v.Until).To(Equal(at(3).Add(blameTime)))
	again := 3 + blameTime.Seconds() + 1
	g.Expect(s.blamedAt(again)).To(BeEmpty())
	s.apply([]step{ends(again, "d", bad)})
	g.Expect(s.blamedAt(again)).To(ConsistOf(bad))
	s.apply([]step{ends(again+blameTime.Seconds()+1, "e", bad), answers(again+blameTime.Seconds()+2, bad)})
	g.Expect(s.blamedAt(again + blameTime.Seconds() + 3)).To(BeEmpty())
}

// Guards against a sound part that nearly all requests have and that is blamed for long,
// as nothing with it is sent that could clear it.
func TestKeyThatWasAnsweredIsTriedAgainSoon(t *testing.T) {
	g := NewWithT(t)
	s := NewStore()
	s.apply([]step{answers(0.5, shared), ends(1, "a", shared), ends(2, "b", shared), ends(3, "c", shared)})
	g.Expect(s.blamedAt(3 + provenTime.Seconds() - 1)).To(ConsistOf(shared))
	g.Expect(s.blamedAt(3 + provenTime.Seconds() + 1)).To(BeEmpty())
	s.apply([]step{ends(15, "d", shared)})
	g.Expect(s.blamedAt(15 + 2*provenTime.Seconds() - 1)).To(ConsistOf(shared))
	for n := range 20 {
		s.apply([]step{ends(float64(16+n), fmt.Sprint("e", n), shared)})
	}
	g.Expect(s.verdicts[shared].Until).To(Equal(at(35).Add(blameTime)))
}

// Guards against a store that grows with the number of ends, requests or causes.
func TestStoreIsBounded(t *testing.T) {
	g := NewWithT(t)
	s := NewStore()
	for n := range 10 * maxEnds {
		keys := []Key{Key(fmt.Sprint("part cause", n/4))}
		for i := range 20 {
			keys = append(keys, Key(fmt.Sprint("part ", n, "-", i)))
		}
		s.RecordEnd(announce.Run{ID: fmt.Sprint(n)}, keys, at(float64(n)-1), at(float64(n)), at(float64(n)))
	}
	g.Expect(s.ends).To(HaveLen(maxEnds))
	g.Expect(len(s.records)).To(BeNumerically("<=", maxEnds*maxSuspects))
	g.Expect(len(s.records)).To(BeNumerically("<", 22*maxEnds))
	g.Expect(len(s.verdicts)).To(BeNumerically("<=", maxVerdicts))
	for n := range 5 * maxAnswered {
		s.RecordSurvival([]Key{Key(fmt.Sprint("part answered ", n))}, at(0))
	}
	g.Expect(len(s.answered.current) + len(s.answered.previous)).To(BeNumerically("<=", 2*maxAnswered))
	later := 10*maxEnds + endRetention.Seconds() + 1
	s.apply([]step{ends(later, "last", own)})
	g.Expect(s.ends).To(HaveLen(1))
	g.Expect(s.records).To(HaveLen(1))
}

// tell passes the verdicts of one entry to another.
func tell(judge, follower *Store, seconds float64) {
	follower.Follow(judge.Tell(follower.Digest(), at(seconds)), true, at(seconds))
}

// Guards against an entry that blames or clears by itself what the judging entry, which
// knows more, does not, and against one that lets everything through while it hears none.
func TestFollower(t *testing.T) {
	g := NewWithT(t)
	judge, follower := NewStore(), NewStore()
	tell(judge, follower, 0)
	follower.apply([]step{ends(1, "a", own), ends(1.5, "b", own), ends(2, "c", own)})
	g.Expect(follower.blamedAt(2)).To(BeEmpty(), "the other entry judges")

	judge.apply([]step{ends(1, "a", bad), ends(2, "b", bad), ends(2.1, "d", shared), ends(2.9, "e", shared), ends(3, "c", bad)})
	tell(judge, follower, 3.1)
	g.Expect(follower.blamedAt(3.1)).To(ConsistOf(bad))
	g.Expect(judge.Tell(follower.Digest(), at(3.2))).To(BeNil(), "nothing has changed")
	g.Expect(follower.RecordSurvival([]Key{shared, "part unknown"}, at(3.3))).To(ConsistOf(shared), "the judging entry has to know")

	judge.apply([]step{answers(3.4, bad)})
	tell(judge, follower, 3.5)
	g.Expect(follower.blamedAt(3.5)).To(BeEmpty())

	alone := 4 + toldLifetime.Seconds()
	follower.apply([]step{ends(alone, "f", own)})
	g.Expect(follower.blamedAt(alone)).To(ConsistOf(own))
}

// Guards against verdicts that are lost with the entry that judged, and against an entry
// that begins to judge and blames what was answered elsewhere.
func TestNextJudgeKnowsWhatTheOthersKnow(t *testing.T) {
	g := NewWithT(t)
	judge, first, second := NewStore(), NewStore(), NewStore()
	first.apply([]step{ends(1, "a", bad, shared), ends(2, "b", bad, shared), answers(2.5, shared)})
	second.apply([]step{ends(3, "c", bad, shared), answers(3.2, shared)})
	for _, s := range []*Store{first, second} {
		report := s.Report(at(4))
		judge.Merge(&report, at(4))
	}
	g.Expect(judge.blamedAt(4)).To(ConsistOf(bad))
	tell(judge, first, 4)
	tell(judge, second, 4)

	next := second
	next.Judge(at(5))
	report := first.Report(at(5))
	next.Merge(&report, at(5))
	g.Expect(next.blamedAt(5)).To(ConsistOf(bad))
	starting := NewStore()
	tell(next, starting, 6)
	g.Expect(starting.blamedAt(6)).To(ConsistOf(bad))
}

func TestRequestKey(t *testing.T) {
	g := NewWithT(t)
	key := RequestKey("caller", "POST", "host/path", []byte("body"))
	g.Expect(RequestKey("caller", "POST", "host/path", []byte("body"))).To(Equal(key))
	for _, other := range []Key{
		RequestKey("another", "POST", "host/path", []byte("body")), RequestKey("caller", "GET", "host/path", []byte("body")),
		RequestKey("caller", "POST", "host/path2", []byte("body")), RequestKey("caller", "POST", "host/path", nil),
		RequestKey("callerP", "OST", "host/path", []byte("body")),
	} {
		g.Expect(other).NotTo(Equal(key))
	}
}

func TestPartKeyIsBounded(t *testing.T) {
	g := NewWithT(t)
	g.Expect(PartKey("5c1e07a2")).To(Equal(Key("part 5c1e07a2")))
	long := strings.Repeat("x", 10_000)
	g.Expect(len(PartKey(long))).To(BeNumerically("<=", len(partPrefix)+maxPartID))
	g.Expect(PartKey(long)).NotTo(Equal(PartKey(long + "y")))
}
