package control

import (
	"github.com/jacinthplank/jacinthplank/coord/quorum"
	"github.com/jacinthplank/jacinthplank/coord/recovery"
	pb "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
)

// QuorumToProto converts the quorum status of a member to its protobuf message.
func QuorumToProto(s quorum.Status) *pb.QuorumStatus {
	out := &pb.QuorumStatus{
		Leader: s.Leader, Term: s.Term, Commit: s.Commit, HasQuorum: s.HasQuorum,
		Voters: memberNames(s.Voters), Learners: memberNames(s.Learners), Role: s.Role.String(),
	}
	if !s.HasQuorum {
		out.Election = electionToProto(s)
	}
	for _, m := range (quorum.Configuration{Voters: s.Voters, Learners: s.Learners}).Members() {
		if s.Progress[m.Disk].Silence > recovery.GoneTimeout {
			out.Silent = append(out.Silent, m.Name)
		}
	}
	return out
}

func electionToProto(s quorum.Status) *pb.ElectionStatus {
	e := s.Election
	return &pb.ElectionStatus{
		SilenceMs: e.Silence.Milliseconds(), Attempts: uint32(e.Attempts), Granted: uint32(e.Granted),
		RefusedBy: e.RefusedBy, SilentVoters: e.SilentVoters, LateVotes: uint32(e.LateVotes),
		SlowestReplyMs: e.SlowestReply.Milliseconds(), SlowestSyncMs: e.SlowestSync.Milliseconds(),
		Uncommitted: s.LastIndex - min(s.Commit, s.LastIndex),
	}
}

func memberNames(members []quorum.Member) []string {
	var out []string
	for _, m := range members {
		out = append(out, m.Name)
	}
	return out
}
