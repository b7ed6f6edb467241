package quorum

import (
	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	quorumv1 "github.com/jacinthplank/jacinthplank/coord/gen/jacinthplank/quorum/v1"
)

// EncodeMessage returns the protobuf encoding of m.
func EncodeMessage(m Message) ([]byte, error) {
	out := &quorumv1.Message{
		Kind: uint32(m.Kind), Cluster: m.Cluster, From: string(m.From), To: string(m.To),
		Term: m.Term, Index: m.Index, LogTerm: m.LogTerm, Commit: m.Commit,
		Round: m.Round, Match: m.Match, Reject: m.Reject, Force: m.Force,
		Entries: entriesToProto(m.Entries), Promise: string(m.Promise),
		Offset: m.Offset, Total: m.Total, Ballot: ballotToProto(m.Ballot), Founding: foundingToProto(m.Founding),
		Silences: silencesToProto(m.Silences),
	}
	if m.Snapshot != nil {
		out.Snapshot = snapshotToProto(m.Snapshot)
	}
	if m.Sender != (Member{}) {
		out.Sender = memberToProto(m.Sender)
	}
	data, err := proto.Marshal(out)
	return data, trace.Wrap(err)
}

// DecodeMessage decodes a message and checks that its entries are consecutive and
// its configurations are valid.
func DecodeMessage(data []byte) (Message, error) {
	var in quorumv1.Message
	if err := proto.Unmarshal(data, &in); err != nil {
		return Message{}, trace.Wrap(err)
	}
	entries := entriesFromProto(in.GetEntries())
	for i, e := range entries {
		if e.Index != in.GetIndex()+uint64(i)+1 {
			return Message{}, trace.BadParameter("quorum: entry %d of a message has index %d after %d", i, e.Index, in.GetIndex())
		}
		if err := checkEntry(e); err != nil {
			return Message{}, err
		}
	}
	founding, err := foundingFromProto(in.GetFounding())
	if err != nil {
		return Message{}, err
	}
	m := Message{
		Kind: MessageKind(in.GetKind()), Cluster: in.GetCluster(),
		From: DiskIdentity(in.GetFrom()), To: DiskIdentity(in.GetTo()),
		Term: in.GetTerm(), Index: in.GetIndex(), LogTerm: in.GetLogTerm(), Commit: in.GetCommit(),
		Round: in.GetRound(), Match: in.GetMatch(), Reject: in.GetReject(), Force: in.GetForce(),
		Entries: entries, Sender: memberFromProto(in.GetSender()), Promise: DiskIdentity(in.GetPromise()),
		Offset: in.GetOffset(), Total: in.GetTotal(), Ballot: ballotFromProto(in.GetBallot()), Founding: founding,
		Silences: silencesFromProto(in.GetSilences()),
	}
	if in.GetSnapshot() != nil {
		m.Snapshot = snapshotFromProto(in.GetSnapshot())
		if len(m.Snapshot.Configuration.Voters) == 0 {
			return Message{}, trace.BadParameter("quorum: snapshot without voters")
		}
	}
	return m, nil
}

func encodeConfiguration(c Configuration) []byte {
	data, err := proto.Marshal(configurationToProto(c))
	if err != nil {
		// Encoding fails only on text that is not valid UTF-8, which is rejected in
		// Options and membership changes.
		panic(err)
	}
	return data
}

func decodeConfiguration(data []byte) (Configuration, error) {
	var in quorumv1.Configuration
	if err := proto.Unmarshal(data, &in); err != nil {
		return Configuration{}, trace.Wrap(err)
	}
	return configurationFromProto(&in), nil
}

// checkEntry checks that a configuration entry can be decoded and has voters.
func checkEntry(e Entry) error {
	if e.Kind != EntryConfiguration {
		return nil
	}
	configuration, err := decodeConfiguration(e.Data)
	if err == nil && len(configuration.Voters) == 0 {
		err = trace.BadParameter("quorum: configuration without voters at index %d", e.Index)
	}
	return err
}

func encodeSnapshot(s *Snapshot) ([]byte, error) {
	data, err := proto.Marshal(snapshotToProto(s))
	return data, trace.Wrap(err)
}

func decodeSnapshot(data []byte) (*Snapshot, error) {
	var in quorumv1.Snapshot
	if err := proto.Unmarshal(data, &in); err != nil {
		return nil, trace.Wrap(err)
	}
	return snapshotFromProto(&in), nil
}

func entriesToProto(entries []Entry) []*quorumv1.Entry {
	var out []*quorumv1.Entry
	for _, e := range entries {
		out = append(out, &quorumv1.Entry{Index: e.Index, Term: e.Term, Kind: uint32(e.Kind), Data: e.Data})
	}
	return out
}

func entriesFromProto(in []*quorumv1.Entry) []Entry {
	var out []Entry
	for _, e := range in {
		out = append(out, Entry{Index: e.GetIndex(), Term: e.GetTerm(), Kind: EntryKind(e.GetKind()), Data: e.GetData()})
	}
	return out
}

func snapshotToProto(s *Snapshot) *quorumv1.Snapshot {
	return &quorumv1.Snapshot{
		Index: s.Index, Term: s.Term, Data: s.Data,
		Configuration: configurationToProto(s.Configuration),
	}
}

func snapshotFromProto(in *quorumv1.Snapshot) *Snapshot {
	return &Snapshot{
		Index: in.GetIndex(), Term: in.GetTerm(), Data: in.GetData(),
		Configuration: configurationFromProto(in.GetConfiguration()),
	}
}

func configurationToProto(c Configuration) *quorumv1.Configuration {
	return &quorumv1.Configuration{Voters: membersToProto(c.Voters), Learners: membersToProto(c.Learners)}
}

func configurationFromProto(in *quorumv1.Configuration) Configuration {
	return Configuration{Voters: membersFromProto(in.GetVoters()), Learners: membersFromProto(in.GetLearners())}
}

func membersToProto(members []Member) []*quorumv1.Member {
	var out []*quorumv1.Member
	for _, m := range members {
		out = append(out, memberToProto(m))
	}
	return out
}

func membersFromProto(in []*quorumv1.Member) []Member {
	var out []Member
	for _, m := range in {
		out = append(out, memberFromProto(m))
	}
	return out
}

func memberToProto(m Member) *quorumv1.Member {
	return &quorumv1.Member{Name: m.Name, Address: m.Address, Disk: string(m.Disk), Replaces: string(m.Replaces)}
}

func memberFromProto(in *quorumv1.Member) Member {
	return Member{
		Name: in.GetName(), Address: in.GetAddress(),
		Disk: DiskIdentity(in.GetDisk()), Replaces: DiskIdentity(in.GetReplaces()),
	}
}
