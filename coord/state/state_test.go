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

// fixture applies commands at times given in seconds.
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

func TestAClaimIsGrantedOnce(t *testing.T) {
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

func TestAClaimWhoseHolderDiedIsNeverRunAgain(t *testing.T) {
	g := NewWithT(t)
	f := newFixture()
	f.claim(0, "k", "r1", "body")
	g.Expect(f.claim(69, "k", "r2", "body").Verdict).To(Equal(once.IsRunning))
	g.Expect(f.claim(71, "k", "r2", "body").Verdict).To(Equal(once.IsUnknown))
	g.Expect(f.claim(71, "k", "r1", "body").Verdict).To(Equal(once.IsUnknown))
	// The holder lives after all: its word is better than none.
	g.Expect(f.record(72, "k", "r1", once.Done, &once.Reply{Status: 200}).Verdict).To(Equal(once.WasRecorded))
	g.Expect(f.claim(73, "k", "r2", "body").Verdict).To(Equal(once.IsDone))
}

func TestAReleaseOvertakesItsClaim(t *testing.T) {
	g := NewWithT(t)
	f := newFixture()
	g.Expect(f.record(0, "k", "r1", once.Released, nil).Verdict).To(Equal(once.WasRecorded))
	g.Expect(f.claim(1, "k", "r1", "body").Verdict).To(Equal(once.IsReleased))
	g.Expect(f.claim(2, "k", "r2", "body").Verdict).To(Equal(once.Granted))
	g.Expect(f.record(3, "k", "r1", once.Released, nil).Verdict).To(Equal(once.NotHolder))
}

func TestALargeReplyIsKeptAsDigest(t *testing.T) {
	g := NewWithT(t)
	f := newFixture()
	f.claim(0, "k", "r1", "body")
	large := &once.Reply{Status: 200, Body: make([]byte, once.MaxReplyBody+1), Digest: "d"}
	f.record(1, "k", "r1", once.Done, large)
	g.Expect(f.claim(2, "k", "r2", "body").Reply).To(Equal(&once.Reply{Status: 200, Digest: "d", Truncated: true}))
}

// member is a machine with a monotonic clock of its own.
type member struct {
	*state.Machine
	elapsed time.Duration
}

func newMember(name string) *member {
	m := &member{}
	m.Machine = state.New(name, func() time.Duration { return m.elapsed })
	return m
}

// replicate has leader propose a command that every machine applies.
func replicate(index uint64, leader *member, followers ...*member) {
	c := leader.Stamp(state.Command{Fence: &state.NextFence{Target: "t"}})
	text, _ := c.Encode()
	for _, m := range append(followers, leader) {
		m.Apply(index, text)
	}
}

func TestTheClockCountsTheLeadersTimeAndKeepsAnEarlierLag(t *testing.T) {
	g := NewWithT(t)
	a, b := newMember("a"), newMember("b")
	b.elapsed = time.Hour // the monotonic clocks have nothing in common
	pass := func(d time.Duration) { a.elapsed += d; b.elapsed += d }

	pass(10 * time.Second)
	replicate(1, a, b)
	g.Expect(b.Now()).To(BeEquivalentTo(10e6))
	pass(5 * time.Second)
	g.Expect(b.Stamp(state.Command{}).Now).To(BeEquivalentTo(15e6))

	// a applies nothing for a while: as leader it is behind, and b follows it.
	late := b.Stamp(state.Command{Fence: &state.NextFence{Target: "t"}})
	text, _ := late.Encode()
	b.Apply(2, text)
	pass(5 * time.Second)
	a.Apply(2, text)
	g.Expect(a.Stamp(state.Command{}).Now).To(BeEquivalentTo(15e6))
	replicate(3, a, b)
	g.Expect(b.Stamp(state.Command{}).Now).To(BeEquivalentTo(15e6))
}

func lease(holder string, want int64) budget.Request {
	return budget.Request{Budget: "b", Holder: holder, Want: want, Limit: 100, Time: 10 * time.Second}
}

func (f *fixture) lease(seconds int64, r budget.Request) int64 {
	return f.apply(seconds, state.Command{Lease: &state.Lease{Requests: []budget.Request{r}}}).Lease[0].Amount
}

func TestSharesConvergeToFairness(t *testing.T) {
	g := NewWithT(t)
	f := newFixture()
	g.Expect(f.lease(0, lease("a", 100))).To(BeEquivalentTo(100))
	g.Expect(f.lease(1, lease("b", 100))).To(BeEquivalentTo(0))
	g.Expect(f.lease(5, lease("a", 100))).To(BeEquivalentTo(50))
	// The answer of second 5 may be lost: until second 10 a may still spend 100.
	g.Expect(f.lease(6, lease("b", 100))).To(BeEquivalentTo(0))
	g.Expect(f.lease(11, lease("b", 100))).To(BeEquivalentTo(50))
	g.Expect(f.lease(12, lease("b", 20))).To(BeEquivalentTo(20))
	g.Expect(f.lease(21, lease("a", 100))).To(BeEquivalentTo(80))
}

func TestALateCopyOfAnOldRequestChangesNothing(t *testing.T) {
	g := NewWithT(t)
	f := newFixture()
	renewal := lease("a", 100)
	renewal.Sequence = 2
	f.lease(0, renewal)
	back := lease("a", 0)
	back.Sequence = 1
	f.lease(1, back)
	g.Expect(f.lease(2, lease("b", 100))).To(BeEquivalentTo(0))
}

func TestLoadTokensAreWholeAndFirstComeFirstServed(t *testing.T) {
	g := NewWithT(t)
	f := newFixture()
	token := func(holder string, want int64) budget.Request {
		return budget.Request{Budget: "w", Holder: holder, Want: want, Least: 1, Limit: 2, Time: time.Minute}
	}
	g.Expect(f.lease(0, token("a", 1))).To(BeEquivalentTo(1))
	g.Expect(f.lease(0, token("b", 1))).To(BeEquivalentTo(1))
	g.Expect(f.lease(0, token("c", 1))).To(BeEquivalentTo(0))
	f.lease(1, token("a", 0))
	g.Expect(f.lease(1, token("c", 1))).To(BeEquivalentTo(1))
}

func TestDrawsNeverExceedTheRateAndTheBurst(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFixture()
		const rate = 100
		drawn, seconds := int64(0), int64(0)
		for range rapid.IntRange(1, 60).Draw(t, "draws") {
			seconds += rapid.Int64Range(0, 6).Draw(t, "pause")
			d := budget.Draw{Stream: "s", Want: rapid.Int64Range(100, 5000).Draw(t, "want"), Rate: rate, Time: time.Second}
			drawn += f.apply(seconds, state.Command{Draw: &state.Draw{Draws: []budget.Draw{d}}}).Draw[0].Amount
		}
		if most := rate*seconds + rate*int64(budget.Burst.Seconds()); drawn > most {
			t.Fatalf("%d drawn in %d s, at most %d", drawn, seconds, most)
		}
	})
}

// TestPromises runs random commands, with snapshots between them, against the
// promises of the state.
func TestPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &promises{fixture: newFixture(), released: map[string]bool{}, granted: map[string]string{}, done: map[string]bool{}}
		t.Repeat(map[string]func(*rapid.T){
			"accept":  p.accept,
			"claim":   p.claimAny,
			"record":  p.recordAny,
			"fence":   p.nextFence,
			"lease":   p.leaseAny,
			"restart": p.restart,
			"time":    func(t *rapid.T) { p.now += rapid.Int64Range(0, 40).Draw(t, "seconds") },
		})
	})
}

type promises struct {
	*fixture
	now      int64
	version  revision.Version
	fence    uint64
	granted  map[string]string // key to the one request that holds it
	released map[string]bool   // by key and request
	done     map[string]bool
	spending map[string][2]int64 // holder to amount and expiry, as the holder knows it
}

func must(text []byte, err error) []byte {
	if err != nil {
		panic(err)
	}
	return text
}

func (p *promises) accept(t *rapid.T) {
	base := p.version
	if rapid.Bool().Draw(t, "stale") && base.Revision > 0 {
		base.Revision--
	}
	a := p.apply(p.now, state.Command{Accept: &revision.Change{
		ID: rapid.StringMatching(`[a-z]{1,2}`).Draw(t, "id"), Base: base,
		Document: fmt.Appendf(nil, `{"v":%d}`, rapid.IntRange(0, 3).Draw(t, "v")),
	}}).Accept
	current := p.Configuration(revision.Version{}).Version
	if current.Less(p.version) {
		t.Fatalf("version went back from %v to %v", p.version, current)
	}
	if a.Verdict == revision.Conflict && base == p.version {
		t.Fatalf("conflict on the current base")
	}
	p.version = current
}

func (p *promises) claimAny(t *rapid.T) {
	key := rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key")
	request := rapid.StringMatching(`r[0-5]`).Draw(t, "request")
	a := p.claim(p.now, key, request, "body")
	if a.Verdict != once.Granted {
		return
	}
	if holder := p.granted[key]; holder != "" && holder != request {
		t.Fatalf("%s granted to %s and to %s", key, holder, request)
	}
	if p.done[key] || p.released[key+request] {
		t.Fatalf("%s granted again to %s", key, request)
	}
	p.granted[key] = request
}

func (p *promises) recordAny(t *rapid.T) {
	key := rapid.SampledFrom([]string{"k1", "k2"}).Draw(t, "key")
	request := rapid.StringMatching(`r[0-5]`).Draw(t, "request")
	s := rapid.SampledFrom([]once.State{once.Done, once.Unknown, once.Released}).Draw(t, "state")
	a := p.record(p.now, key, request, s, nil)
	if a.Verdict != once.WasRecorded {
		return
	}
	if s == once.Released {
		p.released[key+request] = true
		if p.granted[key] == request {
			p.granted[key] = ""
		}
		return
	}
	if p.granted[key] != request {
		t.Fatalf("%s recorded by %s, held by %q", key, request, p.granted[key])
	}
	p.done[key] = true
}

func (p *promises) nextFence(t *rapid.T) {
	n := p.apply(p.now, state.Command{Fence: &state.NextFence{Target: "e"}}).Fence
	if n <= p.fence {
		t.Fatalf("fence %d after %d", n, p.fence)
	}
	p.fence = n
}

func (p *promises) leaseAny(t *rapid.T) {
	if p.spending == nil {
		p.spending = map[string][2]int64{}
	}
	holder := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "holder")
	want := rapid.Int64Range(0, 120).Draw(t, "want")
	if want == 0 {
		delete(p.spending, holder) // a holder stops spending before it says so
	}
	amount := p.lease(p.now, lease(holder, want))
	if want > 0 && rapid.Bool().Draw(t, "answered") {
		p.spending[holder] = [2]int64{amount, p.now + 10}
	}
	sum := int64(0)
	for _, s := range p.spending {
		if s[1] > p.now {
			sum += s[0]
		}
	}
	if sum > 100 {
		t.Fatalf("holders spend %d of 100", sum)
	}
}

func (p *promises) restart(t *rapid.T) {
	snapshot := must(p.Snapshot())
	other := newMachine()
	if err := other.Restore(snapshot); err != nil {
		t.Fatal(err)
	}
	if string(must(other.Snapshot())) != string(snapshot) {
		t.Fatalf("snapshot changed by a round trip")
	}
	p.Machine = other
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
			t.Fatalf("%s gives %s: %v", text, first, err)
		}
		m.Apply(2, text)
		if err := newMachine().Restore(must(m.Snapshot())); err != nil {
			t.Fatal(err)
		}
	})
}
