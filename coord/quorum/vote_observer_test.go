package quorum

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestRefusedVoteTellsItsReason guards against an election that is not won while the log of no
// voter tells why it refused: the record of 2026-12-07 could not tell one cause from another.
func TestRefusedVoteTellsItsReason(t *testing.T) {
	g, s, leader := newSettledCluster(t)
	voter, candidate := (leader+1)%3, (leader+2)%3
	core := s.members[voter].core
	term := core.Term()
	refusal := func(m Message) voteRefusal {
		core.observer.refusals = nil
		core.Step(m)
		s.handleReady(voter)
		g.Expect(core.observer.refusals).To(HaveLen(1))
		return core.observer.refusals[0]
	}
	request := func(m Message) Message {
		m = s.newMessage(candidate, voter, m)
		m.Sender = s.members[candidate].core.self()
		return m
	}
	self := s.members[candidate].core.self()

	r := refusal(request(Message{Kind: PreVote, Term: term + 1, Index: 99, LogTerm: 99}))
	g.Expect(r).To(Equal(voteRefusal{candidate: self.Disk, name: self.Name, request: PreVote, reason: "hears a leader"}))
	r = refusal(request(Message{Kind: Vote, Term: term + 1, Index: 99, LogTerm: 99}))
	g.Expect(r).To(Equal(voteRefusal{candidate: self.Disk, name: self.Name, request: Vote, reason: "hears a leader", dropped: true}))

	own := s.newMessage(leader, voter, Message{Kind: PreVote, Term: term + 1, Index: 99, LogTerm: 99})
	core.observer.refusals = nil
	core.Step(own)
	g.Expect(core.observer.refusals).To(BeEmpty(), "a leader that asks has stepped down")
	s.handleReady(voter)

	s.isolate(voter)
	for range core.config.ElectionTicks {
		s.tick(voter)
	}
	g.Expect(core.HasQuorum()).To(BeFalse())
	term = core.Term()
	g.Expect(refusal(request(Message{Kind: PreVote, Term: term + 1, Index: 1, LogTerm: 1})).reason).To(Equal("log is behind"))
	g.Expect(refusal(request(Message{Kind: PreVote, Term: term - 1, Index: 99, LogTerm: 99})).reason).To(Equal("older term"))
	g.Expect(refusal(request(Message{Kind: Vote, Term: term + 1, Index: 1, LogTerm: 1})).reason).To(Equal("log is behind"))
	first := request(Message{Kind: Vote, Term: term + 2, Index: 99, LogTerm: 99})
	first.From = s.members[leader].core.config.Self
	core.Step(first)
	g.Expect(refusal(request(Message{Kind: Vote, Term: term + 2, Index: 99, LogTerm: 99})).reason).To(Equal("voted for another candidate"))

	unknown := request(Message{Kind: Vote, Force: true, Term: term + 3, Index: 99, LogTerm: 99})
	unknown.From = "unknown"
	r = refusal(unknown)
	g.Expect(r.reason).To(Equal("not a member here"))
	g.Expect(r.dropped).To(BeTrue())
	other := request(Message{Kind: Vote, Term: term + 3, Index: 99, LogTerm: 99})
	other.Cluster = "other"
	g.Expect(refusal(other).reason).To(Equal("of another quorum"))
}

// TestVoteRefusalsAreReportedAtBoundedRate guards against a log that fills up while candidates
// ask several times a second.
func TestVoteRefusalsAreReportedAtBoundedRate(t *testing.T) {
	g, s, _ := newSettledCluster(t)
	var lines bytes.Buffer
	n := &Node{core: s.members[0].core, options: Options{Tick: DefaultTick, Logger: slog.New(slog.NewTextHandler(&lines, nil))}}
	const seconds = 10
	for i := range int(seconds * time.Second / DefaultTick) {
		m := s.newMessage(1, 0, Message{Kind: Vote, Force: true, Term: 99})
		m.From = DiskIdentity(fmt.Sprintf("unknown-%d", i%7))
		m.Sender = Member{Name: "m1", Disk: m.From}
		n.core.Step(m)
		n.core.Step(m)
		n.reportVotes()
	}
	text := lines.String()
	g.Expect(strings.Count(text, "\n")).To(Equal(seconds / 2 * 7))
	g.Expect(text).To(ContainSubstring(`msg="vote refused" candidate=m1 reason="not a member here" dropped=true request=vote disk=unknown-0`))
	g.Expect(text).To(ContainSubstring("unlisted=153")) // of 160

	lines.Reset()
	for i := range int(seconds * time.Second / DefaultTick) {
		for request := range 100 {
			m := s.newMessage(1, 0, Message{Kind: Vote, Force: true, Term: 99})
			m.From = DiskIdentity(fmt.Sprintf("unknown-%d", 100*i+request))
			n.core.Step(m)
		}
		n.reportVotes()
	}
	g.Expect(strings.Count(lines.String(), "\n")).To(Equal(seconds / 2 * maxVoteRefusals))
}

// TestCutLinesTellAllCandidates guards against the record of 2026-12-07, which couldn't tell
// whether a third voter asked for votes: lines were bounded to four refusals and cut after 200
// characters.
func TestCutLinesTellAllCandidates(t *testing.T) {
	g, s, _ := newSettledCluster(t)
	var lines bytes.Buffer
	n := &Node{core: s.members[0].core, options: Options{Tick: DefaultTick, Logger: collectedLogger(&lines)}}
	names := []string{"front-zone-one-1", "front-zone-one-2", "front-zone-two-1", "front-zone-two-2", "front-zone-three-1", "front-zone-three-2"}
	const seconds = 10
	for range int(seconds * time.Second / DefaultTick) {
		for i, name := range names {
			m := s.newMessage(1, 0, Message{Kind: PreVote, Term: 99})
			m.From, m.To = DiskIdentity(fmt.Sprint(i)), "before"
			m.Sender = Member{Name: name, Disk: m.From}
			n.core.Step(m)
			m.Kind = Vote
			n.core.Step(m)
			m.To, m.Cluster = n.core.config.Self, "other"
			n.core.Step(m)
			n.core.Step(m)
		}
		n.reportVotes()
	}
	text := cutLines(&lines)
	g.Expect(text).To(HaveLen(seconds / 2 * len(names) * 3))
	for _, name := range names {
		for _, reason := range []string{"addressed to another disk", "of another quorum"} {
			g.Expect(text).To(ContainElement(ContainSubstring(fmt.Sprintf(`"candidate":"%s","reason":"%s","dropped":true`, name, reason))))
		}
	}

	// Every reason leaves room for what follows it.
	lines.Reset()
	for _, reason := range []string{
		"addressed to another disk", "of another quorum", "not a member here", "voted for another candidate", "hears a leader",
		"waits for another election", "older term", "log is behind",
	} {
		n.core.observer.refusals = []voteRefusal{{candidate: "d", name: "front-zone-three-1", request: PreVote, reason: reason}}
		n.core.observer.lastTicks = n.options.ticks(voteReport)
		n.reportVotes()
	}
	g.Expect(cutLines(&lines)).To(And(HaveLen(8), HaveEach(ContainSubstring(`"dropped":false`))))
}

// collectedLogger returns a logger of an instance with a long name, as the daemon makes it, and
// times of full length.
func collectedLogger(out *bytes.Buffer) *slog.Logger {
	fullTime := func(_ []string, a slog.Attr) slog.Attr {
		if a.Key == slog.TimeKey {
			return slog.String(a.Key, "2026-12-07T07:07:32.123456789Z")
		}
		return a
	}
	return slog.New(slog.NewJSONHandler(out, &slog.HandlerOptions{ReplaceAttr: fullTime})).With("instance", "front-zone-three-1")
}

// cutLines returns the first 200 characters of each line, which is what collectors keep.
func cutLines(out *bytes.Buffer) []string {
	var lines []string
	for line := range strings.Lines(out.String()) {
		lines = append(lines, line[:min(len(line), 200)])
	}
	return lines
}

// TestElectionTellsSilentVotersAndWhatTakesLong guards against a candidate that gives up before
// its votes arrive, whose log looks like that of one that nobody answers.
func TestElectionTellsSilentVotersAndWhatTakesLong(t *testing.T) {
	g, s, leader := newSettledCluster(t)
	lost, i := (leader+1)%3, (leader+2)%3
	core := s.members[i].core
	s.propose(leader, "uncommitted")
	s.deliverAll(true)
	commit := core.Commit()
	core.append(Entry{Index: core.LastIndex() + 1, Term: core.Term(), Kind: EntryCommand, Data: []byte("last")})
	s.handleReady(i)
	s.syncAll()
	s.inFlight = nil
	s.isolate(lost)
	s.isolate(leader)
	for core.Role() != PreCandidate {
		s.tick(i)
	}
	e := core.Election()
	g.Expect(e.Attempts).To(Equal(1))
	g.Expect(e.Granted).To(Equal(1))
	g.Expect(e.SilentVoters).To(ConsistOf(s.members[lost].name, s.members[leader].name))
	g.Expect(e.Uncommitted).NotTo(BeEmpty())
	g.Expect(e.Uncommitted[len(e.Uncommitted)-1].Data).To(Equal([]byte("last")))
	g.Expect(e.Uncommitted[0].Index).To(Equal(commit + 1))

	// A refusal after two ticks.
	request := core.lastRequest
	s.tick(i)
	s.tick(i)
	core.Step(s.newMessage(lost, i, Message{Kind: PreVoteReply, Term: core.Term(), Reject: true, Round: request}))
	e = core.Election()
	g.Expect(e.RefusedBy).To(ConsistOf(s.members[lost].name))
	g.Expect(e.SilentVoters).To(ConsistOf(s.members[leader].name))
	g.Expect(e.replyTicks).To(Equal(2))

	// The term of the election is on disk only after three ticks, and the vote comes after the
	// member has given up.
	core.Step(s.newMessage(leader, i, Message{Kind: PreVoteReply, Term: core.Term() + 1}))
	s.handleReady(i)
	g.Expect(core.Role()).To(Equal(Candidate))
	term := core.Term()
	for range 3 {
		s.members[i].core.now++
	}
	g.Expect(core.Election().syncTicks).To(Equal(3))
	s.sync(i, 1)
	g.Expect(core.Election().syncTicks).To(Equal(3))
	for core.Role() != PreCandidate {
		s.tick(i)
	}
	core.Step(s.newMessage(leader, i, Message{Kind: VoteReply, Term: term - 1}))
	g.Expect(core.Election().LateVotes).To(Equal(1))

	core.becomeFollower(core.Term(), s.members[leader].core.config.Self)
	g.Expect(core.Election()).To(Equal(ElectionProgress{}))
	g.Expect(core.observer.late + core.observer.replies + core.observer.sync).To(BeZero())
}
