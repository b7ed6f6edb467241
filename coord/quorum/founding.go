package quorum

import (
	"cmp"
	"maps"
	"slices"
	"strings"
)

// founding decides which disks are the first voters of a quorum, by single-decree consensus among
// the acceptors' disks. It has no clock, disk or network. Members don't run it yet: they found by bootstrap.
//
// Acceptors are counted, not identified: only an acceptor replies, and each proposer counts at
// least as many acceptors as there are disks of acceptors. So any two majorities share a disk,
// also if proposers don't know all acceptors or know different numbers of them. This rests on
// acceptors that never forget: a disk that was emptied must not be an acceptor again.
type founding struct {
	self      Member
	timing    foundingTiming
	state     foundingState
	acceptors []Member // sorted by address; empty on a disk that takes no part

	now         int
	isDirty     bool // state has changed since the last call of take
	out         []outgoingMessage
	heard       map[string]heardDisk // disks that have announced themselves, by name
	highest     uint64               // highest number of a ballot seen
	other       otherProposer
	chosen      decree
	isProposer  bool // this disk's ballot made the choice
	nextMessage int  // tick at which messages are sent again

	// Of the own ballot, which is zero while there is none.
	ballot    Ballot
	begun     int // tick at which it was started
	majority  int // tick at which a majority had promised, 0 before
	overtaken int // own ballots that another one has overtaken
	promises  map[DiskIdentity]foundingPromise
	proposed  decree // zero before the promises of a majority
	accepts   map[DiskIdentity]bool
}

// foundingTiming holds durations in ticks.
type foundingTiming struct {
	delay  int // before a configuration is proposed
	step   int // between the proposals of one acceptor and the next
	repeat int // between two copies of a message
	wait   int // for the promises of all acceptors, before those of a majority suffice
}

// heardDisk is a disk and the tick at which it was last heard.
type heardDisk struct {
	member Member
	at     int
}

type foundingPromise struct {
	member Member
	state  foundingState
}

// otherProposer is the proposer of the highest ballot of another disk, to which this one leaves
// the decision for some time: ballots that overtake each other decide nothing.
type otherProposer struct {
	ballot Ballot
	since  int // tick at which the ballot was first heard of
	heard  int // tick at which it was last heard of
}

func newFounding(self Member, timing foundingTiming, saved foundingState) *founding {
	return &founding{
		self: self, timing: timing, state: saved, highest: saved.promised.Number, heard: map[string]heardDisk{},
		// A sync may have failed before this start, so what was read may not be on disk.
		isDirty: !saved.isZero(),
	}
}

// setAcceptors replaces the acceptors, of which some may have no name. A disk that is none of them
// gives up its ballot.
func (f *founding) setAcceptors(acceptors []Member) {
	f.acceptors = slices.SortedFunc(slices.Values(acceptors), func(a, b Member) int {
		return cmp.Or(strings.Compare(a.Address, b.Address), strings.Compare(a.Name, b.Name))
	})
	if f.rank() < 0 {
		f.ballot = Ballot{}
	}
}

// rank returns the position of this disk among the acceptors, or -1.
func (f *founding) rank() int {
	return slices.IndexFunc(f.acceptors, func(m Member) bool {
		return m.Address == f.self.Address && (m.Name == "" || m.Name == f.self.Name)
	})
}

func (f *founding) isMajority(count int) bool {
	return len(f.acceptors) > 0 && 2*count > len(f.acceptors)
}

// take returns the state if it has to be written, and the messages to send after all states that
// were taken so far are on disk.
func (f *founding) take() (state *foundingState, out []outgoingMessage) {
	if f.isDirty {
		saved := f.state
		state = &saved
	}
	out = f.out
	f.isDirty, f.out = false, nil
	return state, out
}

// maxHeardDisks limits the disks that may become voters without having promised.
const maxHeardDisks = 64

// hear notes a disk that has announced itself and becomes a voter if it is still heard when this
// disk proposes.
func (f *founding) hear(m Member) {
	if _, known := f.heard[m.Name]; m.Disk != "" && (known || len(f.heard) < maxHeardDisks) {
		f.heard[m.Name] = heardDisk{m, f.now}
	}
}

// tick advances the clock by one tick. It starts a ballot when it is this disk's turn.
func (f *founding) tick() {
	f.now++
	rank := f.rank()
	switch {
	case !f.chosen.isZero():
		if f.now >= f.nextMessage {
			f.announceChoice()
		}
	case rank < 0:
	case f.ballot.isZero():
		if f.now >= f.turn(rank) {
			f.startBallot()
		}
	default:
		f.propose()
		if f.now >= f.nextMessage {
			f.sendBallot()
		}
	}
}

// maxBackoffSteps limits by how much a disk whose ballots were overtaken waits longer for others. With
// links so slow that ballots overtake each other, one of them gets the time that it needs.
const maxBackoffSteps = 8

// leadSteps is by how many steps a ballot starts before the delay ends, so that the disks have
// written their promises by then.
const leadSteps = 2

// turn returns the tick at which this disk starts a ballot, after the acceptors before it. It
// comes sooner than the end of another disk's ballot if that disk is silent.
func (f *founding) turn(rank int) int {
	turn := max(0, f.timing.delay-leadSteps*f.timing.step) + rank*f.timing.step
	if f.other.ballot.isZero() {
		return turn
	}
	backoff := (max(rank, 1) + (rank+1)*min(max(f.overtaken-1, 0), maxBackoffSteps)) * f.timing.step
	return max(turn, min(f.other.heard+backoff, f.other.since+f.timing.wait+backoff))
}

func (f *founding) startBallot() {
	f.ballot = Ballot{Number: max(f.highest, f.state.promised.Number) + 1, Disk: f.self.Disk}
	f.highest = f.ballot.Number
	// The number is on disk before it is used, so that no later process uses it again.
	f.state.promised, f.isDirty = f.ballot, true
	f.begun, f.majority, f.proposed = f.now, 0, decree{}
	f.promises, f.accepts = map[DiskIdentity]foundingPromise{}, map[DiskIdentity]bool{}
	f.sendBallot()
}

// sendBallot sends the current request of the own ballot to all acceptors, this disk included.
func (f *founding) sendBallot() {
	f.nextMessage = f.now + f.timing.repeat
	m := Message{Kind: FoundingPrepare, Ballot: f.ballot}
	if !f.proposed.isZero() {
		m = Message{Kind: FoundingPropose, Ballot: f.ballot, Founding: foundingState{decree: f.proposed}}
	}
	for _, a := range f.acceptors {
		f.send(a, m)
	}
}

func (f *founding) send(to Member, m Message) {
	m.From, m.To, m.Sender = f.self.Disk, to.Disk, f.self
	f.out = append(f.out, outgoingMessage{to, m})
}

// step handles a message about the founding. Requests are for acceptors only.
func (f *founding) step(m Message) {
	if m.From == "" || m.Sender.Disk != m.From {
		return
	}
	f.highest = max(f.highest, m.Ballot.Number, m.Founding.promised.Number)
	switch m.Kind {
	case FoundingPrepare, FoundingPropose:
		if f.rank() >= 0 && m.Ballot.Disk == m.From {
			f.stepRequest(m)
		}
	case FoundingPromise:
		f.stepPromise(m)
	case FoundingAccepted:
		f.stepAccepted(m)
	case FoundingChosen:
		f.learn(m.Founding.decree)
	}
}

// stepRequest promises or accepts, unless another ballot was promised that is higher.
func (f *founding) stepRequest(m Message) {
	order := m.Ballot.compare(f.state.promised)
	if order < 0 {
		f.send(m.Sender, Message{Kind: FoundingPromise, Ballot: m.Ballot, Reject: true, Founding: f.state})
		return
	}
	if order > 0 {
		f.state.promised, f.isDirty = m.Ballot, true
	}
	f.yield(m.Ballot)
	if m.Kind == FoundingPrepare {
		f.send(m.Sender, Message{Kind: FoundingPromise, Ballot: m.Ballot, Founding: f.state})
		return
	}
	if m.Founding.decree.isZero() {
		return
	}
	if f.state.accepted != m.Ballot {
		f.state.accepted, f.state.decree, f.isDirty = m.Ballot, m.Founding.decree, true
	}
	f.send(m.Sender, Message{Kind: FoundingAccepted, Ballot: m.Ballot})
}

// yield leaves the decision to the ballot of another disk for some time.
func (f *founding) yield(b Ballot) {
	if b.Disk == f.self.Disk {
		return
	}
	f.note(b, f.now)
}

// note notes the ballot of another disk, which was heard at a tick.
func (f *founding) note(b Ballot, heard int) {
	if b.compare(f.other.ballot) > 0 {
		f.other.ballot, f.other.since = b, f.now
	}
	f.other.heard = max(f.other.heard, heard)
	if !f.ballot.isZero() && b.compare(f.ballot) > 0 {
		f.ballot = Ballot{}
		f.overtaken++
	}
}

func (f *founding) stepPromise(m Message) {
	switch {
	case f.ballot.isZero() || m.Ballot != f.ballot:
	case m.Reject:
		// Its proposer may be lost: one that isn't is heard of.
		f.note(m.Founding.promised, f.now-max(f.rank(), 1)*f.timing.step)
	case f.proposed.isZero():
		f.promises[m.From] = foundingPromise{m.Sender, m.Founding}
		f.propose()
	}
}

// propose proposes a configuration once a majority has promised: the one that the highest ballot
// among them has, as it may be chosen. Without one it is the own choice, for which this disk waits
// until all acceptors have promised, or for a time, and until the delay has ended.
func (f *founding) propose() {
	if !f.proposed.isZero() || !f.isMajority(len(f.promises)) {
		return
	}
	var accepted foundingState
	for _, p := range f.promises {
		if p.state.accepted.compare(accepted.accepted) > 0 {
			accepted = p.state
		}
	}
	f.proposed = accepted.decree
	if accepted.accepted.isZero() {
		if f.majority == 0 {
			f.majority = f.now
		}
		hasWaited := len(f.promises) >= len(f.acceptors) || f.now-f.majority >= f.timing.wait
		if f.now < f.timing.delay || !hasWaited {
			return
		}
		f.proposed = newDecree(f.ballot, f.voters())
	}
	f.sendBallot()
}

// voters returns the disks that have promised and those that were heard lately, one for each name.
func (f *founding) voters() Configuration {
	byName := map[string]Member{}
	for name, h := range f.heard {
		if f.now-h.at <= 2*f.timing.step {
			byName[name] = h.member
		}
	}
	for _, p := range f.promises {
		byName[p.member.Name] = p.member
	}
	var c Configuration
	for _, name := range slices.Sorted(maps.Keys(byName)) {
		c.Voters = append(c.Voters, byName[name])
	}
	return c
}

func (f *founding) stepAccepted(m Message) {
	if f.ballot.isZero() || m.Ballot != f.ballot || f.proposed.isZero() {
		return
	}
	f.accepts[m.From] = true
	if f.isMajority(len(f.accepts)) {
		f.isProposer = true
		f.learn(f.proposed)
		f.announceChoice()
	}
}

// learn notes the choice.
func (f *founding) learn(d decree) {
	if !d.isZero() {
		f.chosen, f.ballot = d, Ballot{}
	}
}

// announceChoice tells the choice to its voters.
func (f *founding) announceChoice() {
	f.nextMessage = f.now + f.timing.step
	for _, v := range f.chosen.configuration.Voters {
		if v.Disk != f.self.Disk {
			f.send(v, Message{Kind: FoundingChosen, Founding: foundingState{decree: f.chosen}})
		}
	}
}
