package gossip_test

import (
	"context"
	"testing"

	"connectrpc.com/connect"
	"google.golang.org/protobuf/proto"

	"github.com/jacinthplank/jacinthplank/coord/membership"
	"github.com/jacinthplank/jacinthplank/fleet"
	pb "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
	"github.com/jacinthplank/jacinthplank/gossip"
	"github.com/jacinthplank/jacinthplank/submit"
)

// exchange sends a heartbeat to a service and returns its answer.
func exchange(s *gossip.Service, h *pb.Heartbeat) (*pb.Heartbeat, error) {
	r, err := s.Exchange(context.Background(), connect.NewRequest(&pb.ExchangeRequest{Heartbeat: h}))
	if err != nil {
		return nil, err
	}
	return r.Msg.GetHeartbeat(), nil
}

// FuzzExchange guards against a heartbeat of another writer that ends the entry that gets it, or keeps it
// from following the members beside.
func FuzzExchange(f *testing.F) {
	record := func(name string, state membership.State) *pb.MemberRecord {
		return gossip.RecordToProto(membership.Record{
			Name: name, Address: "127.0.0.1:9", Watcher: true, Incarnation: 3, State: state,
			Facts: gossip.EncodeFacts(&pb.MemberFacts{Duties: []string{"control"}}), Suspects: []string{"x"},
		})
	}
	odd := record("b", membership.Alive)
	odd.State, odd.Incarnation, odd.Suspects = 1<<31, 1<<64-1, []string{"z", "", "a", "z"}
	for _, h := range []*pb.Heartbeat{
		{
			From: record("b", membership.Alive), Table: 3, Head: 2, Version: &pb.Version{Epoch: 1, Revision: 2},
			Records: []*pb.MemberRecord{record("c", membership.Dead), record("instance-1", membership.Dead)}, Backlog: &pb.Backlog{Endpoint: "e", WaitUs: 5},
		},
		{From: odd, Records: []*pb.MemberRecord{odd, {}, nil, record("d", membership.Left)}},
		{From: record("instance-1", membership.Left)},
	} {
		data, err := proto.Marshal(h)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var h pb.Heartbeat
		if proto.Unmarshal(data, &h) != nil {
			return
		}
		s := gossip.New(gossip.Options{
			Self:      membership.Record{Name: "instance-1", Address: "127.0.0.1:1", Watcher: true, Incarnation: 1},
			Dial:      func(string) gossip.Peer { return nil },
			Version:   func() fleet.Version { return fleet.Version{} },
			OnVersion: func(string, fleet.Version) {},
			OnBacklog: func(submit.Backlog, uint64) {},
		})
		for range 2 {
			answer, err := exchange(s, &h)
			if err != nil {
				break
			}
			if _, err := proto.Marshal(answer); err != nil {
				t.Fatalf("the answer can't be sent: %v", err)
			}
		}
		if _, err := exchange(s, &pb.Heartbeat{From: record("sound", membership.Alive), Table: 3}); err != nil {
			t.Fatal(err)
		}
		members := map[string]membership.Record{}
		for _, r := range s.Members() {
			_ = r.State.String()
			gossip.Facts(r)
			gossip.DaemonToProto(r)
			members[r.Name] = r
		}
		_, known := members["sound"]
		if self := members["instance-1"]; !known || self.State != membership.Alive || members[""].Address != "" {
			t.Errorf("members %+v", members)
		}
	})
}
