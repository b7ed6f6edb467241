package operator

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	pb "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
)

type quorumRow struct {
	Known       bool          `json:"known"` // at least one member answered
	Healthy     bool          `json:"healthy"`
	Leader      string        `json:"leader"`
	Term        uint64        `json:"term"`
	Commit      uint64        `json:"commit"`
	Voters      []string      `json:"voters"`
	Wanted      int           `json:"wanted_voters,omitempty"` // 0 if unknown
	Learner     []string      `json:"learners,omitempty"`
	Missing     []string      `json:"missing,omitempty"`        // voters that did not answer
	Emptied     []string      `json:"emptied,omitempty"`        // voters whose entry runs on an empty disk, which does not vote
	NoMember    []string      `json:"no_member,omitempty"`      // voters that answered and run no member
	Silent      []string      `json:"silent,omitempty"`         // members that don't reply to the leader
	Spare       int           `json:"spare"`                    // voters that may be lost without the loss of the majority; negative if it is lost
	WithoutLead []electionRow `json:"without_leader,omitempty"` // members that hear no leader
}

// electionRow is a member that hears no leader.
type electionRow struct {
	Daemon       string   `json:"daemon"`
	Role         string   `json:"role"`
	Term         uint64   `json:"term"`
	Votes        bool     `json:"votes"` // by its own configuration
	Voters       int      `json:"voters"`
	SilenceMs    int64    `json:"silence_ms"`
	Elections    uint32   `json:"elections"`
	Granted      uint32   `json:"granted"`
	RefusedBy    []string `json:"refused_by,omitempty"`
	SilentVoters []string `json:"silent_voters,omitempty"`
	LateVotes    uint32   `json:"late_votes"`
	ReplyMs      int64    `json:"reply_ms"`
	SyncMs       int64    `json:"sync_ms"`
	Uncommitted  uint64   `json:"uncommitted"`
}

// newQuorumRow uses the report of the leader, or of the member that knows most.
func newQuorumRow(reports []statusReport) quorumRow {
	answering := map[string]bool{}
	members := map[string]*pb.QuorumStatus{}
	for _, r := range reports {
		if r.err != nil {
			continue
		}
		answering[r.name] = true
		if q := r.status.GetQuorum(); q != nil {
			members[r.name] = q
		}
	}
	var best *pb.QuorumStatus
	var without []electionRow
	healthy := false
	for _, r := range reports {
		q := members[r.name]
		if q == nil {
			continue
		}
		if hears := hearsLeader(q, members); best == nil || compareQuorums(q, best, hears, healthy) > 0 {
			best, healthy = q, hears
		}
		if !q.GetHasQuorum() {
			without = append(without, newElectionRow(r.name, q))
		}
	}
	if best == nil {
		return quorumRow{}
	}
	row := quorumRow{
		Known: true, Healthy: healthy, Leader: best.GetLeader(), Term: best.GetTerm(), Commit: best.GetCommit(),
		Voters: best.GetVoters(), Wanted: int(best.GetWantedVoters()), Learner: best.GetLearners(), Silent: best.GetSilent(),
		WithoutLead: without,
	}
	there := 0
	for _, name := range row.Voters {
		switch {
		case !answering[name]:
			row.Missing = append(row.Missing, name)
		case members[name] == nil && !row.Healthy:
			row.NoMember = append(row.NoMember, name)
		case members[name] != nil && len(members[name].GetVoters()) == 0:
			row.Emptied = append(row.Emptied, name)
		case !slices.Contains(row.Silent, name):
			there++
		}
	}
	row.Spare = there - row.majority()
	return row
}

// hearsLeader reports whether a member leads or hears a leader. What a follower says doesn't count
// if the leader that it names answered and hears none: the follower's process may have stood still,
// and its clock with it.
func hearsLeader(q *pb.QuorumStatus, members map[string]*pb.QuorumStatus) bool {
	if !q.GetHasQuorum() || q.GetRole() == roleLeader {
		return q.GetHasQuorum()
	}
	leader := members[q.GetLeader()]
	return leader == nil || leader.GetHasQuorum() || leader.GetTerm() < q.GetTerm()
}

// compareQuorums orders reports by what their members know: one that hears a leader, in the
// highest term, and of these the leader, which hears the others.
func compareQuorums(a, b *pb.QuorumStatus, aHears, bHears bool) int {
	toInt := func(is bool) int {
		if is {
			return 1
		}
		return 0
	}
	leads := func(q *pb.QuorumStatus) int { return toInt(q.GetRole() == roleLeader) }
	return cmp.Or(cmp.Compare(toInt(aHears), toInt(bHears)), cmp.Compare(a.GetTerm(), b.GetTerm()), cmp.Compare(leads(a), leads(b)))
}

const roleLeader = "leader"

func newElectionRow(daemon string, q *pb.QuorumStatus) electionRow {
	e := q.GetElection()
	return electionRow{
		Daemon: daemon, Role: q.GetRole(), Term: q.GetTerm(), Votes: slices.Contains(q.GetVoters(), daemon), Voters: len(q.GetVoters()),
		SilenceMs: e.GetSilenceMs(), Elections: e.GetAttempts(), Granted: e.GetGranted(),
		RefusedBy: e.GetRefusedBy(), SilentVoters: e.GetSilentVoters(), LateVotes: e.GetLateVotes(),
		ReplyMs: e.GetSlowestReplyMs(), SyncMs: e.GetSlowestSyncMs(), Uncommitted: e.GetUncommitted(),
	}
}

func (q quorumRow) majority() int { return len(q.Voters)/2 + 1 }

// leaderless returns for how long the member has been without a leader that heard one last.
func (q quorumRow) leaderless() time.Duration {
	var shortest int64
	for i, e := range q.WithoutLead {
		if i == 0 || e.SilenceMs < shortest {
			shortest = e.SilenceMs
		}
	}
	return time.Duration(shortest) * time.Millisecond
}

// summary tells the state of the quorum and what to do about it, a sentence or two a line.
func (q quorumRow) summary() []string {
	if !q.Known {
		return []string{"Control quorum: no member answered. Changes and calls that run at most once are refused until one does."}
	}
	var lines []string
	if q.Healthy {
		lines = append(q.healthy(), q.strength()...)
	} else {
		lines = q.withoutLeader()
	}
	for _, e := range q.WithoutLead {
		lines = append(lines, "  "+e.summary())
	}
	return lines
}

func (q quorumRow) healthy() []string {
	state := "good"
	if len(q.Missing)+len(q.Silent)+len(q.Emptied) > 0 || q.Wanted > len(q.Voters) {
		state = "works"
	}
	lines := []string{fmt.Sprintf("Control quorum: %s, led by %s; voters %s.", state, q.Leader, strings.Join(q.Voters, ", "))}
	if len(q.Missing) > 0 {
		lines = append(lines, fmt.Sprintf("  Did not answer: %s. Start them, or see docs/operators/replace-a-member.md.", strings.Join(q.Missing, ", ")))
	}
	if silent := without(q.Silent, q.Missing); len(silent) > 0 {
		lines = append(lines, fmt.Sprintf("  Answered here, but not to the leader for seconds: %s. Look at their disks and at the network between them and %s.",
			strings.Join(silent, ", "), q.Leader))
	}
	if len(q.Emptied) > 0 {
		lines = append(lines, fmt.Sprintf("  On an empty disk that the leader is taking in: %s.", strings.Join(q.Emptied, ", ")))
	}
	if len(q.Learner) > 0 {
		lines = append(lines, fmt.Sprintf("  Learners, which receive the log and don't vote yet: %s.", strings.Join(q.Learner, ", ")))
	}
	if q.Wanted > len(q.Voters) {
		lines = append(lines, fmt.Sprintf("  %d voters are wanted, there are %d. Start entries with a disk; they join by themselves within seconds.", q.Wanted, len(q.Voters)))
	}
	return lines
}

// strength tells how many more losses the quorum outlasts.
func (q quorumRow) strength() []string {
	switch {
	case q.Spare > 0 && len(q.Missing)+len(q.Silent)+len(q.Emptied) == 0:
		return []string{fmt.Sprintf("  Of these %d, %d may be lost at once.", len(q.Voters), q.Spare)}
	case q.Spare > 0:
		return []string{fmt.Sprintf("  %d more may be lost at once.", q.Spare)}
	default:
		return []string{"  THE NEXT LOSS OF A VOTER TAKES THE MAJORITY: then no change is accepted. Restart no voter until others are back."}
	}
}

// withoutLeader tells why there is no leader, as far as the reports tell it.
func (q quorumRow) withoutLeader() []string {
	if len(q.Voters) == 0 {
		return []string{"Control quorum: NONE YET. The disks of all entries that answered are empty. At the first start of a fleet the quorum is founded within seconds; else see docs/operators/lost-quorum.md."}
	}
	lines := []string{fmt.Sprintf("Control quorum: LOST, NO LEADER for %v. Changes, and calls that run at most once, are refused; prompts are answered.",
		q.leaderless().Round(100*time.Millisecond))}
	if q.Spare < 0 {
		return append(lines, q.missingMajority()...)
	}
	lines = append(lines, fmt.Sprintf("  %d of the %d voters run, %d are a majority, and yet no election is won. See \"No change is accepted though all entries run\" in docs/OPERATIONS.md.",
		q.Spare+q.majority(), len(q.Voters), q.majority()))
	if absent := slices.Concat(q.Missing, q.Emptied, q.NoMember); len(absent) > 0 {
		lines = append(lines, fmt.Sprintf("  Not there: %s.", strings.Join(absent, ", ")))
	}
	return lines
}

// missingMajority tells which voters are not there, and why.
func (q quorumRow) missingMajority() []string {
	lines := []string{fmt.Sprintf("  Of the voters %s, not answering: %s.", strings.Join(q.Voters, ", "), orDash(strings.Join(q.Missing, ", ")))}
	if len(q.Emptied) > 0 {
		lines = append(lines, fmt.Sprintf("  Running on an empty disk, which has no vote: %s. Put their old disks back if you can; an empty one is taken in only by a leader.", strings.Join(q.Emptied, ", ")))
	}
	if len(q.NoMember) > 0 {
		lines = append(lines, fmt.Sprintf("  Answering, but their member does not run: %s. Look at their disks.", strings.Join(q.NoMember, ", ")))
	}
	return append(lines, fmt.Sprintf("  Voters still needed for a majority: %d. Start them where their disks are. See docs/operators/lost-quorum.md.", -q.Spare))
}

// summary tells how a member without a leader tries to elect one, and what that points to.
func (e electionRow) summary() string {
	silence := (time.Duration(e.SilenceMs) * time.Millisecond).Round(100 * time.Millisecond)
	text := fmt.Sprintf("%s hears no leader for %v (%s in term %d)", e.Daemon, silence, strings.ReplaceAll(e.Role, "_", "-"), e.Term)
	switch {
	case e.Voters == 0:
		text += "; its disk is empty and waits for a leader that takes it in."
	case !e.Votes:
		text += "; it doesn't vote by its own configuration and waits for a leader."
	case e.Elections == 0:
		text += "; it has started no election."
	default:
		text += fmt.Sprintf("; %d elections, the last one with %d of %d votes, refused by %s, no reply from %s.",
			e.Elections, e.Granted, e.Voters, orDash(strings.Join(e.RefusedBy, ", ")), orDash(strings.Join(e.SilentVoters, ", ")))
	}
	return text + e.advice()
}

// slowElection is the duration of a reply or a write from which a candidate may give up before
// it has its votes: the shortest time after which it starts the next election.
const slowElection = 125

func (e electionRow) advice() string {
	switch {
	case e.LateVotes > 0:
		return fmt.Sprintf(" %d votes came too late; the slowest reply took %d ms, the slowest write to its disk %d ms: look for slow disks and busy machines.", e.LateVotes, e.ReplyMs, e.SyncMs)
	case e.SyncMs >= slowElection:
		return fmt.Sprintf(" A write to its disk took %d ms: look at that disk.", e.SyncMs)
	case e.ReplyMs >= slowElection:
		return fmt.Sprintf(" A reply took %d ms: look at the machines and disks of the other voters.", e.ReplyMs)
	case len(e.RefusedBy) > 0:
		return " The `vote refused` lines of those that refused tell why."
	default:
		return ""
	}
}

// without returns the names that are not in others.
func without(names, others []string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(name string) bool { return slices.Contains(others, name) })
}
