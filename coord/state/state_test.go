package state_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/jacinthplank/jacinthplank/coord/budget"
	"github.com/jacinthplank/jacinthplank/coord/once"
	"github.com/jacinthplank/jacinthplank/coord/revision"
	"github.com/jacinthplank/jacinthplank/coord/state"
)

const retention = 1000 * time.Hour

// fixture is a machine whose commands are applied at times given in seconds.
type fixture struct {
	*state.Machine
	index uint64
}

func newFixture() *fixture { return &fixture{Machine: newMachine()} }

func newMachine() *state.Machine {
	return state.New("member", func() time.Duration { return 0 })
}

func (f *fixture) apply(seconds int64, c state.Command) state.Result {
	c.Now = seconds * 1e6
	text, err := c.Encode()
	if err != nil {
		panic(err)
	}
	f.index++
	var r state.Result
	if err := json.Unmarshal(f.Apply(f.index, text), &r); err != nil {
		panic(err)
	}
	return r
}

func (f *fixture) claim(seconds int64, key, request, body string) once.Answer {
	return *f.apply(seconds, state.Command{Claim: &once.Claim{
		Key: once.Key{Account: "a", Service: "s", Key: key}, Request: request, Body: body,
		Remaining: time.Minute, Retention: retention,
	}}).Claim
}

func (f *fixture) record(seconds int64, key, request string, s once.State, reply *once.Reply) once.Answer {
	return *f.apply(seconds, state.Command{Record: &once.Outcome{
		Key: once.Key{Account: "a", Service: "s", Key: key}, Request: request, State: s, Reply: reply,
	}}).Record
}

func TestClaimIsGrantedOnce(t *testing.T) {
	g := NewWithT(t)
	f := newFixture()
	first := f.claim(1, "k", "r1", "body")
	g.Expect(first.Verdict).To(Equal(once.Granted))
	g.Expect(f.claim(2, "k", "r1", "body")).To(Equal(first))
	g.Expect(f.claim(2, "k", "r2", "body").Verdict).To(Equal(once.IsRunning))
	g.Expect(f.claim(2, "k", "r2", "other").Verdict).To(Equal(once.KeyReused))

	reply := &once.Reply{Status: 201, Body: []byte("registered")}
	g.Expect(f.record(3, "k", "r2", once.Done, reply).Verdict).To(Equal(once.NotHolder))
	g.Expect(f.record(3, "k", "r1", once.Done, reply).Verdict).To(Equal(once.WasRecorded))
	g.Expect(f.record(4, "k", "r1", once.Done, reply).Verdict).To(Equal(once.WasRecorded))
	g.Expect(f.record(4, "k", "r1", once.Released, nil).Verdict).To(Equal(once.IsDone))
	g.Expect(f.claim(5, "k", "r3", "body").Reply).To(Equal(reply))
}

func TestExpiredClaimBecomesUnknownAndIsNotGrantedAgain(t *testing.T) {
	g := NewWithT(t)
	f := newFixture()
	f.claim(0, "k", "r1", "body")
	g.Expect(f.claim(69, "k", "r2", "body").Verdict).To(Equal(once.IsRunning))
	g.Expect(f.claim(71, "k", "r2", "body").Verdict).To(Equal(once.IsUnknown))
	g.Expect(f.claim(71, "k", "r1", "body").Verdict).To(Equal(once.IsUnknown))
	// A holder that outlived its deadline may still report its outcome.
	g.Expect(f.record(72, "k", "r1", once.Done, &once.Reply{Status: 200}).Verdict).To(Equal(once.WasRecorded))
	g.Expect(f.claim(73, "k", "r2", "body").Verdict).To(Equal(once.IsDone))
}

// A caller that sends its key again, with a new request, is answered from the record
// for as long as the configuration says, whatever an endpoint process remembers.
func TestRecordAnswersResendsForItsWholeRetention(t *testing.T) {
	const day = 24 * 60 * 60
	const sevenDays = 7 * day
	g := NewWithT(t)
	f := newFixture()
	claim := func(seconds int64, key, request string) once.Verdict {
		return f.apply(seconds, state.Command{Claim: &once.Claim{
			Key: once.Key{Account: "a", Service: "s", Key: key}, Request: request, Body: "body",
			Remaining: time.Minute, Retention: sevenDays * time.Second,
		}}).Claim.Verdict
	}
	g.Expect(claim(0, "done", "r1")).To(Equal(once.Granted))
	g.Expect(claim(0, "lost", "r1")).To(Equal(once.Granted))
	f.record(0, "done", "r1", once.Done, &once.Reply{Status: 201})
	for _, seconds := range []int64{day + 1, 2 * day, sevenDays - 1} {
		restored := newMachine()
		g.Expect(restored.Restore(must(f.Snapshot()))).To(Succeed())
		f.Machine = restored
		g.Expect(claim(seconds, "done", "r2")).To(Equal(once.IsDone), "second %d", seconds)
		g.Expect(claim(seconds, "lost", "r2")).To(Equal(once.IsUnknown), "second %d", seconds)
	}
	g.Expect(claim(sevenDays+1, "done", "r3")).To(Equal(once.Granted))
}

func TestReleaseBeforeClaimPreventsGrant(t *testing.T) {
	g := NewWithT(t)
	f := newFixture()
	g.Expect(f.record(0, "k", "r1", once.Released, nil).Verdict).To(Equal(once.WasRecorded))
	g.Expect(f.claim(1, "k", "r1", "body").Verdict).To(Equal(once.IsReleased))
	granted := f.claim(2, "k", "r2", "body")
	g.Expect(granted.Verdict).To(Equal(once.Granted))
	g.Expect(f.record(3, "k", "r1", once.Released, nil).Verdict).To(Equal(once.WasRecorded), "a resend gets the first answer")
	g.Expect(f.record(3, "k", "r3", once.Released, nil).Verdict).To(Equal(once.NotHolder))
	g.Expect(f.claim(4, "k", "r4", "body")).To(Equal(once.Answer{Verdict: once.IsRunning, Request: "r2", Fence: granted.Fence}), "no resend ends the claim of r2")
	g.Expect(f.claim(4, "k", "r1", "body").Verdict).To(Equal(once.IsReleased))
	g.Expect(f.record(5, "k", "r1", once.Done, nil).Verdict).To(Equal(once.NotHolder))
}

func TestOversizedReplyBodyIsDropped(t *testing.T) {
	g := NewWithT(t)
	f := newFixture()
	f.claim(0, "k", "r1", "body")
	large := &once.Reply{Status: 200, Body: make([]byte, once.MaxReplyBodyBytes+1), Digest: "d"}
	f.record(1, "k", "r1", once.Done, large)
	g.Expect(f.claim(2, "k", "r2", "body").Reply).To(Equal(&once.Reply{Status: 200, Digest: "d", Truncated: true}))
}

// member is a machine with a simulated monotonic clock.
type member struct {
	*state.Machine
	elapsed time.Duration
}

func newMember(name string) *member {
	m := &member{}
	m.Machine = state.New(name, func() time.Duration { return m.elapsed })
	return m
}

// replicate lets leader propose a command and applies it on all members.
func replicate(index uint64, leader *member, followers ...*member) {
	c := leader.Stamp(state.Command{Fence: &state.NextFence{Target: "t"}})
	text, _ := c.Encode()
	for _, m := range append(followers, leader) {
		m.Apply(index, text)
	}
}

func TestNewLeaderKeepsClockLagOfPreviousLeader(t *testing.T) {
	g := NewWithT(t)
	a, b := newMember("a"), newMember("b")
	b.elapsed = time.Hour // the monotonic clocks of members are unrelated
	advance := func(d time.Duration) { a.elapsed += d; b.elapsed += d }

	advance(10 * time.Second)
	replicate(1, a, b)
	g.Expect(b.Now()).To(BeEquivalentTo(10e6))
	advance(5 * time.Second)
	g.Expect(b.Stamp(state.Command{}).Now).To(BeEquivalentTo(15e6))

	// a applies the command 5 s late. As leader its clock lags, and b adopts the lag.
	command := b.Stamp(state.Command{Fence: &state.NextFence{Target: "t"}})
	text, _ := command.Encode()
	b.Apply(2, text)
	advance(5 * time.Second)
	a.Apply(2, text)
	g.Expect(a.Stamp(state.Command{}).Now).To(BeEquivalentTo(15e6))
	replicate(3, a, b)
	g.Expect(b.Stamp(state.Command{}).Now).To(BeEquivalentTo(15e6))
}

func lease(holder string, want int64) budget.Request {
	return budget.Request{Budget: "b", Holder: holder, Want: want, Limit: 100, Duration: 10 * time.Second}
}

func (f *fixture) lease(seconds int64, r budget.Request) int64 {
	return f.apply(seconds, state.Command{Lease: &state.Lease{Requests: []budget.Request{r}}}).Lease[0].Amount
}

func TestLeasesConvergeToFairShares(t *testing.T) {
	g := NewWithT(t)
	f := newFixture()
	g.Expect(f.lease(0, lease("a", 100))).To(BeEquivalentTo(100))
	g.Expect(f.lease(1, lease("b", 100))).To(BeEquivalentTo(0))
	g.Expect(f.lease(5, lease("a", 100))).To(BeEquivalentTo(50))
	// The answer at second 5 may be lost, so a may spend 100 until second 10.
	g.Expect(f.lease(6, lease("b", 100))).To(BeEquivalentTo(0))
	g.Expect(f.lease(11, lease("b", 100))).To(BeEquivalentTo(50))
	g.Expect(f.lease(12, lease("b", 20))).To(BeEquivalentTo(20))
	g.Expect(f.lease(21, lease("a", 100))).To(BeEquivalentTo(80))
}

func TestDelayedDuplicateLeaseRequestIsIgnored(t *testing.T) {
	g := NewWithT(t)
	f := newFixture()
	renewal := lease("a", 100)
	renewal.Sequence = 2
	f.lease(0, renewal)
	release := lease("a", 0)
	release.Sequence = 1
	f.lease(1, release)
	g.Expect(f.lease(2, lease("b", 100))).To(BeEquivalentTo(0))
}

func TestMinimumLeasesAreFirstComeFirstServed(t *testing.T) {
	g := NewWithT(t)
	f := newFixture()
	request := func(holder string, want int64) budget.Request {
		return budget.Request{Budget: "w", Holder: holder, Want: want, MinAmount: 1, Limit: 2, Duration: time.Minute}
	}
	g.Expect(f.lease(0, request("a", 1))).To(BeEquivalentTo(1))
	g.Expect(f.lease(0, request("b", 1))).To(BeEquivalentTo(1))
	g.Expect(f.lease(0, request("c", 1))).To(BeEquivalentTo(0))
	f.lease(1, request("a", 0))
	g.Expect(f.lease(1, request("c", 1))).To(BeEquivalentTo(1))
}

func TestDrawsNeverExceedRateAndBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture()
		const rate = 100
		drawn, seconds := int64(0), int64(0)
		for range rapid.IntRange(1, 60).Draw(t, "draws") {
			seconds += rapid.Int64Range(0, 6).Draw(t, "pause")
			d := budget.Draw{Bucket: "s", Want: rapid.Int64Range(100, 5000).Draw(t, "want"), Rate: rate, Duration: time.Second}
			drawn += f.apply(seconds, state.Command{Draw: &state.Draw{Draws: []budget.Draw{d}}}).Draw[0].Amount
		}
		if limit := rate*seconds + rate*int64(budget.BurstDuration.Seconds()); drawn > limit {
			t.Fatalf("%d drawn in %d s, at most %d", drawn, seconds, limit)
		}
	})
}

// TestInvariants runs random commands and snapshot round trips and checks the
// invariants of the state.
func TestInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &invariantModel{fixture: newFixture(), released: map[string]bool{}, granted: map[string]string{}, done: map[string]bool{}}
		t.Repeat(map[string]func(*rapid.T){
			"accept":  m.accept,
			"claim":   m.claimRandom,
			"record":  m.recordRandom,
			"fence":   m.nextFence,
			"lease":   m.leaseRandom,
			"restart": m.restoreSnapshot,
			"time":    func(t *rapid.T) { m.now += rapid.Int64Range(0, 40).Draw(t, "seconds") },
		})
	})
}

type invariantModel struct {
	*fixture
	now      int64
	version  revision.Version
	fence    uint64
	granted  map[string]string // request that holds the claim, by key
	released map[string]bool   // by key and request
	done     map[string]bool
	spending map[string][2]int64 // amount and expiry known to the holder, by holder
}

func must(text []byte, err error) []byte {
	if err != nil {
		panic(err)
	}
	return text
}

func (m *invariantModel) accept(t *rapid.T) {
	base := m.version
	if rapid.Bool().Draw(t, "stale") && base.Revision > 0 {
		base.Revision--
	}
	a := m.apply(m.now, state.Command{Accept: &revision.Change{
		ID: rapid.StringMatching(`[a-z]{1,2}`).Draw(t, "id"), Base: base,
		Document: fmt.Appendf(nil, `{"v":%d}`, rapid.IntRange(0, 3).Draw(t, "v")),
	}}).Accept
	current := m.Configuration(revision.Version{}).Version
	if current.Less(m.version) {
		t.Fatalf("version decreased from %v to %v", m.version, current)
	}
	if a.Verdict == revision.Conflict && base == m.version {
		t.Fatalf("conflict although the base is the current version")
	}
	m.version = current
}

func (m *invariantModel) claimRandom(t *rapid.T) {
	key := rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key")
	request := rapid.StringMatching(`r[0-5]`).Draw(t, "request")
	a := m.claim(m.now, key, request, "body")
	if a.Verdict != once.Granted {
		return
	}
	if holder := m.granted[key]; holder != "" && holder != request {
		t.Fatalf("key %s granted to %s and to %s", key, holder, request)
	}
	if m.done[key] || m.released[key+request] {
		t.Fatalf("key %s granted again to %s", key, request)
	}
	m.granted[key] = request
}

func (m *invariantModel) recordRandom(t *rapid.T) {
	key := rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key")
	request := rapid.StringMatching(`r[0-5]`).Draw(t, "request")
	s := rapid.SampledFrom([]once.State{once.Done, once.Unknown, once.Released}).Draw(t, "state")
	a := m.record(m.now, key, request, s, nil)
	if a.Verdict != once.WasRecorded {
		return
	}
	if s == once.Released {
		m.released[key+request] = true
		if m.granted[key] == request {
			m.granted[key] = ""
		}
		return
	}
	if m.granted[key] != request {
		t.Fatalf("key %s recorded by %s, held by %q", key, request, m.granted[key])
	}
	m.done[key] = true
}

func (m *invariantModel) nextFence(t *rapid.T) {
	n := m.apply(m.now, state.Command{Fence: &state.NextFence{Target: "e"}}).Fence
	if n <= m.fence {
		t.Fatalf("fencing token %d issued after %d", n, m.fence)
	}
	m.fence = n
}

func (m *invariantModel) leaseRandom(t *rapid.T) {
	if m.spending == nil {
		m.spending = map[string][2]int64{}
	}
	holder := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "holder")
	want := rapid.Int64Range(0, 120).Draw(t, "want")
	if want == 0 {
		delete(m.spending, holder) // a holder stops spending before it returns its lease
	}
	amount := m.lease(m.now, lease(holder, want))
	if want > 0 && rapid.Bool().Draw(t, "answered") {
		m.spending[holder] = [2]int64{amount, m.now + 10}
	}
	sum := int64(0)
	for _, s := range m.spending {
		if s[1] > m.now {
			sum += s[0]
		}
	}
	if sum > 100 {
		t.Fatalf("holders may spend %d in total, limit 100", sum)
	}
}

func (m *invariantModel) restoreSnapshot(t *rapid.T) {
	snapshot := must(m.Snapshot())
	restored := newMachine()
	if err := restored.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	if string(must(restored.Snapshot())) != string(snapshot) {
		t.Fatalf("snapshot differs after a round trip")
	}
	m.Machine = restored
}

func FuzzDecodeCommand(f *testing.F) {
	f.Add([]byte(`{"now":1,"claim":{"key":{"account":"a","service":"s","key":"k"},"request":"r","remaining":-1}}`))
	f.Add([]byte(`{"now":1,"accept":{"id":"i","document":{"a":[{"name":"x"}]}}}`))
	f.Add([]byte(`{"now":1,"record":{"key":{"key":"k"},"request":"r","state":"released"}}`))
	f.Add([]byte(`{"now":1,"lease":{"requests":[{"budget":"b","want":9223372036854775807,"limit":9223372036854775807,"time":-5}]}}`))
	f.Add([]byte(`{"now":1,"draw":{"draws":[{"stream":"s","want":9223372036854775807,"rate":9223372036854775807}]}}`))
	f.Add([]byte(`{"now":1,"fence":{"target":"t"}}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		m := newMachine()
		first := m.Apply(1, text)
		var r state.Result
		if err := json.Unmarshal(first, &r); err != nil {
			t.Fatalf("command %s: cannot decode result %s: %v", text, first, err)
		}
		m.Apply(2, text)
		if err := newMachine().Restore(must(m.Snapshot())); err != nil {
			t.Fatal(err)
		}
	})
}
