package timeline_test

import (
	"encoding/json"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	pb "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/timeline"
)

// FuzzMerge guards against events of one daemon that cost an operator those of the others.
func FuzzMerge(f *testing.F) {
	event := timeline.Event{
		WallMicros: 1_790_000_000_000_000, Logical: 2, Daemon: "a", Kind: timeline.KindFinished, Request: "r", Tokens: 3, Remaining: time.Second, State: outcome.Ran,
	}
	sound := timeline.Part{Daemon: "sound", Since: time.UnixMicro(1_790_000_000_000_000).UTC(), Events: []timeline.Event{event}}
	for _, p := range []*pb.EventsResponse{
		{Daemon: "a", SinceUs: 1_790_000_000_000_000, Events: []*pb.Event{timeline.ToProto(&event)}},
		{Daemon: "b", Lost: 1, Cut: 1, SinceUs: 1 << 62, Events: []*pb.Event{{WallUs: -1 << 62, RemainingUs: 1 << 62, State: 99}, {}}},
	} {
		data, err := proto.Marshal(p)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var response pb.EventsResponse
		if proto.Unmarshal(data, &response) != nil {
			return
		}
		part := timeline.PartFromProto(&response)
		line := timeline.Merge([]timeline.Part{part, sound, part})
		if _, err := json.Marshal(line); err != nil {
			t.Fatalf("the timeline can't be written: %v", err)
		}
		if len(line.Events) > len(part.Events)+1 {
			t.Errorf("%d events of %d", len(line.Events), len(part.Events)+1)
		}
		found := false
		for _, e := range line.Events {
			found = found || e == event
			_ = e.Stamp().Time().String()
		}
		if !found {
			t.Errorf("the sound event is missing: %+v", line.Events)
		}
	})
}
