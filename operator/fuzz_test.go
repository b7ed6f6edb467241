package operator

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"

	pb "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
)

// FuzzStatus guards against the status of one daemon that costs an operator that of the others.
func FuzzStatus(f *testing.F) {
	quorum := &pb.QuorumStatus{Leader: "sound", Role: "leader", Voters: []string{"sound", "other", "c"}, Term: 3, HasQuorum: true, WantedVoters: 3}
	sound := &pb.StatusResponse{Ready: true, Version: &pb.Version{Epoch: 1, Revision: 2}, Quorum: quorum, Endpoints: []*pb.EndpointStatus{
		{Name: "e-sound", Models: []string{"m"}, AgeUs: 5, Backlog: &pb.Backlog{Endpoint: "e-sound", WaitUs: 1000}},
	}}
	for _, s := range []*pb.StatusResponse{
		sound,
		{},
		{Draining: true, Endpoints: []*pb.EndpointStatus{{Name: "e-other", AgeUs: -1 << 63, Backlog: &pb.Backlog{WaitUs: 1 << 62}}, {}}, Quorum: &pb.QuorumStatus{Term: 1<<64 - 1, Voters: []string{"", "a", "a"}, WantedVoters: 1<<32 - 1, Election: &pb.ElectionStatus{SilenceMs: -1 << 63}}},
	} {
		data, err := proto.Marshal(s)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var status pb.StatusResponse
		if proto.Unmarshal(data, &status) != nil {
			return
		}
		o := newOverview([]statusReport{
			{member: member{name: "other"}, status: &status},
			{member: member{name: "sound", failureDomain: "z"}, status: sound},
		})
		o.Models = modelRows(nil, o.Endpoints)
		text, err := json.Marshal(o)
		if err != nil {
			t.Fatalf("the overview can't be written: %v", err)
		}
		var out bytes.Buffer
		if err := o.write(&out); err != nil {
			t.Fatal(err)
		}
		for _, want := range []string{"sound", "e-sound", "other"} {
			if !strings.Contains(string(text), `"`+want+`"`) || !strings.Contains(out.String(), want) {
				t.Errorf("%s is missing in %s", want, out.String())
			}
		}
	})
}

// FuzzRecord guards against a record of an earlier run, or a configuration of the fleet, that ends the command.
func FuzzRecord(f *testing.F) {
	f.Add("1.4", []byte(`{"name":"harbour","models":[{"name":"m","endpoints":3}]}`))
	f.Add("18446744073709551616.1", []byte(`{"limits":{"max_body":-1}}`))
	f.Add("", []byte(nil))
	f.Fuzz(func(t *testing.T, text string, document []byte) {
		v, err := parseRevision(text)
		if err != nil && !strings.Contains(err.Error(), "revision") {
			t.Errorf("%v doesn't name what is wrong", err)
		}
		if err == nil && text != "" {
			if again, err := parseRevision(v.String()); err != nil || again != v {
				t.Errorf("%v became %v: %v", v, again, err)
			}
		}
		c, err := decodeConfiguration(document)
		if err != nil || c == nil {
			return
		}
		_ = c.Validate()
		modelRows(c, nil)
	})
}
