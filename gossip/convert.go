package gossip

import (
	"google.golang.org/protobuf/proto"

	"github.com/jacinthplank/jacinthplank/coord/membership"
	"github.com/jacinthplank/jacinthplank/fleet"
	pb "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
	"github.com/jacinthplank/jacinthplank/submit"
	"github.com/jacinthplank/jacinthplank/wire"
)

// RecordToProto converts a record. Facts that can't be decoded are left out.
func RecordToProto(r membership.Record) *pb.MemberRecord {
	return &pb.MemberRecord{
		Name:          r.Name,
		Address:       r.Address,
		FailureDomain: r.FailureDomain,
		Watcher:       r.Watcher,
		Incarnation:   r.Incarnation,
		State:         uint32(r.State),
		Sequence:      r.Sequence,
		Suspects:      r.Suspects,
		Facts:         Facts(r),
	}
}

// RecordFromProto converts a record. A state unknown to this process is converted
// to membership.Left.
func RecordFromProto(p *pb.MemberRecord) membership.Record {
	return membership.Record{
		Name:          p.GetName(),
		Address:       p.GetAddress(),
		FailureDomain: p.GetFailureDomain(),
		Watcher:       p.GetWatcher(),
		Facts:         EncodeFacts(p.GetFacts()),
		Incarnation:   p.GetIncarnation(),
		State:         membership.State(min(p.GetState(), uint32(membership.Left))),
		Sequence:      p.GetSequence(),
		Suspects:      p.GetSuspects(),
	}
}

// Facts returns the facts of a member, empty if they can't be decoded.
func Facts(r membership.Record) *pb.MemberFacts {
	facts := &pb.MemberFacts{}
	if err := proto.Unmarshal(r.Facts, facts); err != nil {
		return &pb.MemberFacts{}
	}
	return facts
}

// EncodeFacts encodes facts for a record. The encoding is deterministic: equal facts
// give equal bytes.
func EncodeFacts(f *pb.MemberFacts) []byte {
	data, err := proto.MarshalOptions{Deterministic: true}.Marshal(f)
	if err != nil {
		return nil
	}
	return data
}

func recordsToProto(records []membership.Record) []*pb.MemberRecord {
	out := make([]*pb.MemberRecord, len(records))
	for i, r := range records {
		out[i] = RecordToProto(r)
	}
	return out
}

func recordsFromProto(records []*pb.MemberRecord) []membership.Record {
	out := make([]membership.Record, 0, len(records))
	for _, p := range records {
		if p.GetName() != "" {
			out = append(out, RecordFromProto(p))
		}
	}
	return out
}

func messageToProto(m membership.Message) *pb.Heartbeat {
	return &pb.Heartbeat{
		From:     RecordToProto(m.From),
		Table:    m.Table,
		Head:     m.Head,
		Records:  recordsToProto(m.Records),
		Ack:      m.Ack,
		AckTable: m.AckTable,
	}
}

func messageFromProto(p *pb.Heartbeat) membership.Message {
	return membership.Message{
		From:     RecordFromProto(p.GetFrom()),
		Table:    p.GetTable(),
		Head:     p.GetHead(),
		Records:  recordsFromProto(p.GetRecords()),
		Ack:      p.GetAck(),
		AckTable: p.GetAckTable(),
	}
}

func versionToProto(v fleet.Version) *pb.Version {
	return &pb.Version{Epoch: v.Epoch, Revision: v.Revision}
}

func (s *Service) backlog() *pb.Backlog {
	if s.options.Backlog == nil {
		return nil
	}
	return wire.BacklogToProto(s.options.Backlog())
}

func backlogFromProto(b *pb.Backlog) submit.Backlog {
	return *wire.BacklogFromProto(b)
}

// DaemonToProto converts a record for operators.
func DaemonToProto(r membership.Record) *pb.Daemon {
	return &pb.Daemon{
		Name:          r.Name,
		Address:       r.Address,
		FailureDomain: r.FailureDomain,
		Duties:        Facts(r).GetDuties(),
		Incarnation:   r.Incarnation,
	}
}
