package wire_test

import (
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jacinthplank/jacinthplank/engine"
	pb "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/submit"
	"github.com/jacinthplank/jacinthplank/wire"
)

// checkSign checks that a time of another process that is not negative is none here.
func checkSign(t *testing.T, us int64, d time.Duration) {
	t.Helper()
	if (us < 0) != (d < 0) {
		t.Errorf("%d us became %v", us, d)
	}
}

// checkSame checks that a value is the same after it was passed on.
func checkSame[T any](t *testing.T, before, after T) {
	t.Helper()
	if !reflect.DeepEqual(before, after) {
		t.Errorf("%+v became %+v", before, after)
	}
}

// FuzzMessages guards against requests, frames, backlogs and failures of another process that end this one,
// change when they are passed on, or turn a long time into one that has passed.
func FuzzMessages(f *testing.F) {
	backlog := &submit.Backlog{Endpoint: "e", QueuedTokens: 5, Running: 2, FreeBlocks: 9, Wait: time.Second, LongWait: 2 * time.Second}
	for _, m := range []proto.Message{
		wire.RequestToProto(submit.Request{
			ID: "r", Attempt: 2, Account: "a", Model: "m", Prompt: engine.Prompt{Text: "obra", Tokens: 2, Blocks: []engine.Block{1, 2}},
			MaxTokens: 8, Generated: "nueva", Offset: 1, Remaining: time.Second, Group: &submit.Group{Members: []string{"a", "b"}, Index: 1},
		}),
		wire.FrameToProto(submit.Frame{Request: "r", Attempt: 1, Tokens: 3, Text: "x", Finish: engine.FinishLength, Usage: engine.Usage{PromptTokens: 4}, Backlog: backlog}),
		wire.BacklogToProto(backlog),
		wire.FailureToProto(outcome.Refuse(outcome.CodeOverloaded, "s", "m")),
		wire.CallToProto(submit.Call{ID: "c", Method: "GET", Path: "/", Header: map[string]string{"a": "b"}, Body: []byte("x"), Remaining: time.Second}),
		&pb.Backlog{WaitUs: 1 << 62, LongWaitUs: -1 << 62},
	} {
		data, err := proto.Marshal(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		var request pb.SubmitRequest
		if proto.Unmarshal(data, &request) == nil {
			r := wire.RequestFromProto(&request)
			checkSign(t, request.GetRemainingUs(), r.Remaining)
			checkSame(t, r, wire.RequestFromProto(wire.RequestToProto(r)))
		}
		var frame pb.Frame
		if proto.Unmarshal(data, &frame) == nil {
			fr := wire.FrameFromProto(&frame)
			if fr.Finish != engine.FinishNone { // only the last frame has a usage
				checkSame(t, fr, wire.FrameFromProto(wire.FrameToProto(fr)))
			}
		}
		var backlog pb.Backlog
		if proto.Unmarshal(data, &backlog) == nil {
			b := wire.BacklogFromProto(&backlog)
			checkSign(t, backlog.GetWaitUs(), b.Wait)
			checkSign(t, backlog.GetLongWaitUs(), b.LongWait)
			checkSame(t, b, wire.BacklogFromProto(wire.BacklogToProto(b)))
		}
		var failure pb.Failure
		if proto.Unmarshal(data, &failure) == nil {
			e := wire.FailureFromProto(&failure)
			checkSign(t, failure.GetRetryAfterUs(), e.RetryAfter)
			checkSame(t, e, wire.FailureFromProto(wire.FailureToProto(e)))
		}
		var call pb.CallRequest
		if proto.Unmarshal(data, &call) == nil {
			c := wire.CallFromProto(&call)
			checkSign(t, call.GetRemainingUs(), c.Remaining)
			checkSame(t, c, wire.CallFromProto(wire.CallToProto(c)))
		}
	})
}
