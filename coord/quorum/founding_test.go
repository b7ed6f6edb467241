package quorum

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
)

// foundingTicks are the durations of the tests' foundings in ticks.
var foundingTicks = foundingTiming{delay: 25, step: 5, repeat: 1, wait: 20}

// foundingDisk returns the founding of a disk that knows acceptors at the given addresses, which
// is also its name.
func foundingDisk(address, disk string, acceptors ...string) *founding {
	f := newFounding(Member{Name: address, Address: address, Disk: DiskIdentity(disk)}, foundingTicks, foundingState{})
	var members []Member
	for _, a := range acceptors {
		members = append(members, Member{Address: a})
	}
	f.setAcceptors(members)
	return f
}

// exchange delivers all messages between disks, by address, until none is left, and ticks.
func exchange(ticks int, disks map[string]*founding) {
	for range ticks {
		for _, f := range disks {
			f.tick()
		}
		for pending := true; pending; {
			pending = false
			for _, f := range disks {
				_, out := f.take()
				for _, o := range out {
					if to := disks[o.to.Address]; to != nil {
						to.step(o.message)
						pending = true
					}
				}
			}
		}
	}
}

// TestMajorityOfAcceptorsFounds guards against a proposer that leaves out acceptors too soon or
// without a majority of the promises, or counts those of others.
func TestMajorityOfAcceptorsFounds(t *testing.T) {
	g := NewWithT(t)
	acceptors := []string{"a", "b", "c"}
	a := foundingDisk("a", "a1", acceptors...)
	for range foundingTicks.delay + 10*foundingTicks.wait {
		a.tick()
	}
	g.Expect(a.ballot).To(Equal(Ballot{1, "a1"}))
	g.Expect(a.chosen.isZero()).To(BeTrue(), "nobody has promised")

	a = foundingDisk("a", "a1", acceptors...)
	for range foundingTicks.delay {
		a.tick()
	}
	promise := func(from string, b Ballot) Message {
		disk := DiskIdentity(from + "1")
		return Message{Kind: FoundingPromise, From: disk, Sender: Member{Name: from, Address: from, Disk: disk}, Ballot: b, Founding: foundingState{promised: b}}
	}
	a.step(promise("a", a.ballot))
	a.step(promise("a", a.ballot))
	a.step(promise("b", Ballot{1, "a2"}))
	rejected := promise("c", a.ballot)
	rejected.Reject = true
	rejected.Founding.promised = Ballot{}
	a.step(rejected)
	forged := promise("b", a.ballot)
	forged.Sender.Disk = "b2"
	a.step(forged)
	for range 2 * foundingTicks.wait {
		a.tick()
	}
	g.Expect(a.promises).To(HaveLen(1), "the promises of others are to another ballot, refused or not the sender's")
	g.Expect(a.proposed.isZero()).To(BeTrue())

	a = foundingDisk("a", "a1", acceptors...)
	for range foundingTicks.delay {
		a.tick()
	}
	a.step(promise("a", a.ballot))
	a.step(promise("b", a.ballot))
	for range foundingTicks.wait - 1 {
		a.tick()
	}
	g.Expect(a.proposed.isZero()).To(BeTrue(), "c may promise in time")
	a.tick()
	g.Expect(a.proposed.configuration.Voters).To(HaveLen(2))
	accepted := Message{Kind: FoundingAccepted, From: "a1", Sender: a.self, Ballot: a.ballot}
	a.step(accepted)
	a.step(accepted)
	g.Expect(a.chosen.isZero()).To(BeTrue(), "one disk of three has accepted")
	accepted.From, accepted.Sender = "b1", Member{Name: "b", Address: "b", Disk: "b1"}
	a.step(accepted)
	g.Expect(a.chosen).To(Equal(a.proposed))
}

// TestFoundingWithAllAcceptorsWaitsForNobody guards against a first start that takes longer than
// two exchanges of messages after the delay.
func TestFoundingWithAllAcceptorsWaitsForNobody(t *testing.T) {
	g := NewWithT(t)
	disks := map[string]*founding{}
	for _, a := range []string{"a", "b", "c"} {
		disks[a] = foundingDisk(a, a+"1", "a", "b", "c")
		disks[a].hear(Member{Name: "d", Address: "d", Disk: "d1"})
		disks[a].heard["d"] = heardDisk{disks[a].heard["d"].member, foundingTicks.delay - 1}
	}
	exchange(foundingTicks.delay, disks)
	for _, f := range disks {
		g.Expect(f.chosen.configuration.Voters).To(HaveLen(4), "three that have promised and one that was heard")
		g.Expect(f.chosen).To(Equal(disks["a"].chosen))
	}
}

// TestFoundingOutlastsOneAcceptor guards against a quorum that never forms, or too late, because
// one acceptor is lost before or during its own ballot.
func TestFoundingOutlastsOneAcceptor(t *testing.T) {
	const limit = 55 // ticks of 100 ms: the bound of 5.5 s
	for _, lost := range []string{"a", "b", "c"} {
		for at := range limit {
			t.Run(fmt.Sprintf("%s at tick %d", lost, at), func(t *testing.T) {
				g := NewWithT(t)
				disks := map[string]*founding{}
				for _, a := range []string{"a", "b", "c"} {
					disks[a] = foundingDisk(a, a+"1", "a", "b", "c")
				}
				exchange(at, disks)
				if at >= foundingTicks.delay {
					// It is lost after it has sent its request, before it gets a reply.
					disks[lost].tick()
				}
				delete(disks, lost)
				exchange(limit-at, disks)
				for _, f := range disks {
					g.Expect(f.chosen.isZero()).To(BeFalse())
				}
			})
		}
	}
}

// TestAcceptedConfigurationIsProposedAgain guards against a second quorum: the proposer is lost
// after a majority has accepted, before it has told anybody.
func TestAcceptedConfigurationIsProposedAgain(t *testing.T) {
	g := NewWithT(t)
	disks := map[string]*founding{}
	for _, a := range []string{"a", "b", "c"} {
		disks[a] = foundingDisk(a, a+"1", "a", "b", "c")
	}
	first := newDecree(Ballot{1, "a1"}, Configuration{Voters: []Member{disks["a"].self, disks["b"].self}})
	older := newDecree(Ballot{1, "x1"}, Configuration{Voters: []Member{disks["c"].self}})
	disks["b"].state = foundingState{promised: Ballot{2, "a1"}, accepted: Ballot{2, "a1"}, decree: first}
	disks["c"].state = foundingState{promised: Ballot{1, "x1"}, accepted: Ballot{1, "x1"}, decree: older}
	delete(disks, "a")
	exchange(100, disks)
	g.Expect(disks["b"].chosen).To(Equal(first))
	g.Expect(disks["c"].chosen).To(Equal(first))
	g.Expect(disks["b"].state.accepted.Number).To(BeNumerically(">", 2))
}

// TestProposerWithoutRepliesDoesNotKeepOthersFromFounding guards against a first start that never ends
// because all leave the decision to a disk that receives nothing.
func TestProposerWithoutRepliesDoesNotKeepOthersFromFounding(t *testing.T) {
	g := NewWithT(t)
	disks := map[string]*founding{}
	for _, a := range []string{"a", "b", "c"} {
		disks[a] = foundingDisk(a, a+"1", "a", "b", "c")
	}
	isolated := disks["a"]
	delete(disks, "a")
	for range foundingTicks.delay + 4*foundingTicks.wait {
		isolated.tick()
		_, out := isolated.take()
		for _, o := range out {
			if to := disks[o.to.Address]; to != nil {
				to.step(o.message)
			}
		}
		exchange(1, disks)
	}
	g.Expect(disks["b"].chosen.isZero()).To(BeFalse())
	g.Expect(disks["c"].chosen).To(Equal(disks["b"].chosen))
}

// TestFoundingOnSlowLinksEnds guards against proposers that overtake each other for ever because
// no reply comes within the time that they leave to each other.
func TestFoundingOnSlowLinksEnds(t *testing.T) {
	type late struct {
		at int
		to string
		m  Message
	}
	for delay := range 30 { // ticks of 100 ms, each way
		g := NewWithT(t)
		disks := map[string]*founding{}
		for _, a := range []string{"a", "b", "c"} {
			disks[a] = foundingDisk(a, a+"1", "a", "b", "c", "d")
		}
		var queue []late
		for now := range 1000 {
			for _, a := range []string{"a", "b", "c"} {
				f := disks[a]
				f.tick()
				for len(queue) > 0 && queue[0].at <= now {
					if to := disks[queue[0].to]; to != nil {
						to.step(queue[0].m)
					}
					queue = queue[1:]
				}
				_, out := f.take()
				for _, o := range out {
					queue = append(queue, late{now + delay, o.to.Address, o.message})
				}
			}
		}
		for _, f := range disks {
			g.Expect(f.chosen.isZero()).To(BeFalse(), "with messages late by %d ticks", delay)
		}
	}
}

// TestDiskOutsideOfAcceptorsTakesNoPart guards against promises of a disk that isn't a seed's, or
// that may have been emptied.
func TestDiskOutsideOfAcceptorsTakesNoPart(t *testing.T) {
	g := NewWithT(t)
	for _, f := range []*founding{foundingDisk("d", "d1", "a", "b", "c"), foundingDisk("a", "a2")} {
		for range 200 {
			f.tick()
			f.step(Message{Kind: FoundingPrepare, From: "b1", Sender: Member{Name: "b", Address: "b", Disk: "b1"}, Ballot: Ballot{1, "b1"}})
		}
		state, out := f.take()
		g.Expect(state).To(BeNil())
		g.Expect(out).To(BeEmpty())
	}
}

// TestStateComesWithTheMessagesThatDependOnIt guards against a promise, an acceptance or the number
// of a ballot that is used before it is written, and lost with the power.
func TestStateComesWithTheMessagesThatDependOnIt(t *testing.T) {
	g := NewWithT(t)
	a := foundingDisk("a", "a1", "a", "b", "c")
	for range foundingTicks.delay {
		a.tick()
	}
	state, out := a.take()
	g.Expect(state.promised).To(Equal(Ballot{1, "a1"}))
	g.Expect(out).NotTo(BeEmpty())

	sender := Member{Name: "b", Address: "b", Disk: "b1"}
	request := Message{Kind: FoundingPrepare, From: "b1", Sender: sender, Ballot: Ballot{4, "b1"}}
	a.step(request)
	state, out = a.take()
	g.Expect(state.promised).To(Equal(request.Ballot))
	g.Expect(out).To(HaveLen(1))
	g.Expect(out[0].message.Kind).To(Equal(FoundingPromise))

	request.Kind, request.Founding.decree = FoundingPropose, newDecree(request.Ballot, Configuration{Voters: []Member{sender}})
	a.step(request)
	state, out = a.take()
	g.Expect(*state).To(Equal(foundingState{promised: request.Ballot, accepted: request.Ballot, decree: request.Founding.decree}))
	g.Expect(out).To(HaveLen(1))
	g.Expect(out[0].message.Kind).To(Equal(FoundingAccepted))

	saved := newFounding(a.self, foundingTicks, *state)
	state, _ = saved.take()
	g.Expect(state).NotTo(BeNil(), "what was read may not be on disk")
}

// TestDiskThatIsNoAcceptorAnyMoreGivesUp guards against a majority of no acceptors.
func TestDiskThatIsNoAcceptorAnyMoreGivesUp(t *testing.T) {
	g := NewWithT(t)
	a := foundingDisk("a", "a1", "a", "b", "c")
	for range foundingTicks.delay {
		a.tick()
	}
	ballot := a.ballot
	g.Expect(ballot.isZero()).To(BeFalse())
	a.setAcceptors(nil)
	for range 2 * foundingTicks.wait {
		a.step(Message{Kind: FoundingPromise, From: "b1", Sender: Member{Name: "b", Address: "b", Disk: "b1"}, Ballot: ballot, Founding: foundingState{promised: ballot}})
		a.step(Message{Kind: FoundingAccepted, From: "b1", Sender: Member{Name: "b", Address: "b", Disk: "b1"}, Ballot: ballot})
		a.tick()
	}
	g.Expect(a.proposed.isZero()).To(BeTrue())
	g.Expect(a.chosen.isZero()).To(BeTrue())
}

// TestFoundingIsDecodedOrRefused guards against a state or message that is taken for another one.
func TestFoundingIsDecodedOrRefused(t *testing.T) {
	g := NewWithT(t)
	d := newDecree(Ballot{2, "a1"}, Configuration{Voters: []Member{{Name: "a", Address: "a", Disk: "a1"}}})
	for _, s := range []foundingState{
		{}, {promised: Ballot{3, "b1"}}, {promised: Ballot{3, "b1"}, accepted: Ballot{2, "a1"}, decree: d}, {decree: d},
	} {
		data, err := EncodeMessage(Message{Kind: FoundingPromise, From: "a1", Ballot: Ballot{3, "b1"}, Founding: s})
		g.Expect(err).NotTo(HaveOccurred())
		m, err := DecodeMessage(data)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(m.Founding).To(Equal(s))
		g.Expect(m.Ballot).To(Equal(Ballot{3, "b1"}))
	}
	for _, s := range []foundingState{
		{promised: Ballot{3, "b1"}, accepted: Ballot{2, "a1"}},
		{promised: Ballot{1, "a1"}, accepted: Ballot{2, "a1"}, decree: d},
		{decree: decree{quorum: "x"}},
	} {
		data, err := EncodeMessage(Message{Kind: FoundingPromise, From: "a1", Founding: s})
		g.Expect(err).NotTo(HaveOccurred())
		_, err = DecodeMessage(data)
		g.Expect(err).To(HaveOccurred())
	}
}
