// Package wire carries the interfaces of package submit between processes over
// connect-go. It holds the protobuf conversions, the client that an entry uses for
// each endpoint process, and the handler on the endpoint side.
package wire

import (
	"math"
	"time"

	"github.com/jacinthplank/jacinthplank/engine"
	pb "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/submit"
)

// RequestToProto converts a request to its protobuf form.
func RequestToProto(r submit.Request) *pb.SubmitRequest {
	return &pb.SubmitRequest{
		Id:           r.ID,
		Attempt:      r.Attempt,
		Account:      r.Account,
		Model:        r.Model,
		Adapter:      r.Adapter,
		Prompt:       r.Prompt.Text,
		PromptTokens: int64(r.Prompt.Tokens),
		PromptBlocks: blocksToProto(r.Prompt.Blocks),
		MaxTokens:    int64(r.MaxTokens),
		Generated:    r.Generated,
		Offset:       int64(r.Offset),
		RemainingUs:  r.Remaining.Microseconds(),
		Group:        groupToProto(r.Group),
	}
}

// RequestFromProto converts a request from its protobuf form.
func RequestFromProto(p *pb.SubmitRequest) submit.Request {
	return submit.Request{
		ID:      p.GetId(),
		Attempt: p.GetAttempt(),
		Account: p.GetAccount(),
		Model:   p.GetModel(),
		Adapter: p.GetAdapter(),
		Prompt: engine.Prompt{
			Text:   p.GetPrompt(),
			Tokens: int(p.GetPromptTokens()),
			Blocks: blocksFromProto(p.GetPromptBlocks()),
		},
		MaxTokens: int(p.GetMaxTokens()),
		Generated: p.GetGenerated(),
		Offset:    int(p.GetOffset()),
		Remaining: microseconds(p.GetRemainingUs()),
		Group:     groupFromProto(p.GetGroup()),
	}
}

// FrameToProto converts a frame to its protobuf form.
func FrameToProto(f submit.Frame) *pb.Frame {
	return &pb.Frame{
		Request: f.Request,
		Attempt: f.Attempt,
		Offset:  int64(f.Offset),
		Tokens:  int64(f.Tokens),
		Text:    f.Text,
		Finish:  string(f.Finish),
		Usage:   usageToProto(f),
		Handle:  f.Handle,
		Backlog: BacklogToProto(f.Backlog),
	}
}

// FrameFromProto converts a frame from its protobuf form.
func FrameFromProto(p *pb.Frame) submit.Frame {
	return submit.Frame{
		Request: p.GetRequest(),
		Attempt: p.GetAttempt(),
		Offset:  int(p.GetOffset()),
		Tokens:  int(p.GetTokens()),
		Text:    p.GetText(),
		Finish:  engine.FinishReason(p.GetFinish()),
		Usage: engine.Usage{
			PromptTokens:    int(p.GetUsage().GetPromptTokens()),
			CachedTokens:    int(p.GetUsage().GetCachedTokens()),
			GeneratedTokens: int(p.GetUsage().GetGeneratedTokens()),
		},
		Handle:  p.GetHandle(),
		Backlog: BacklogFromProto(p.GetBacklog()),
	}
}

// BacklogToProto converts a backlog to its protobuf form; nil stays nil.
func BacklogToProto(b *submit.Backlog) *pb.Backlog {
	if b == nil {
		return nil
	}
	return &pb.Backlog{
		Endpoint:     b.Endpoint,
		QueuedTokens: int64(b.QueuedTokens),
		Running:      int64(b.Running),
		FreeBlocks:   int64(b.FreeBlocks),
		WaitUs:       b.Wait.Microseconds(),
		LongWaitUs:   b.LongWait.Microseconds(),
		Leaving:      b.Leaving,
	}
}

// BacklogFromProto converts a backlog from its protobuf form; nil stays nil.
func BacklogFromProto(p *pb.Backlog) *submit.Backlog {
	if p == nil {
		return nil
	}
	return &submit.Backlog{
		Endpoint:     p.GetEndpoint(),
		QueuedTokens: int(p.GetQueuedTokens()),
		Running:      int(p.GetRunning()),
		FreeBlocks:   int(p.GetFreeBlocks()),
		Wait:         microseconds(p.GetWaitUs()),
		LongWait:     microseconds(p.GetLongWaitUs()),
		Leaving:      p.GetLeaving(),
	}
}

// FailureToProto converts a failure to its protobuf form; nil stays nil.
func FailureToProto(e *outcome.Error) *pb.Failure {
	if e == nil {
		return nil
	}
	return &pb.Failure{
		Code:         string(e.Code),
		State:        pb.RunState(e.State),
		Message:      e.Message,
		Step:         e.Step,
		Peer:         e.Peer,
		RetryAfterUs: e.RetryAfter.Microseconds(),
	}
}

// FailureFromProto converts a failure from its protobuf form; nil stays nil. An
// unrecognized run state becomes outcome.Unknown.
func FailureFromProto(p *pb.Failure) *outcome.Error {
	if p == nil {
		return nil
	}
	return &outcome.Error{
		Code:       outcome.Code(p.GetCode()),
		State:      stateFromProto(p.GetState()),
		Message:    p.GetMessage(),
		Step:       p.GetStep(),
		Peer:       p.GetPeer(),
		RetryAfter: microseconds(p.GetRetryAfterUs()),
	}
}

// CallToProto converts a call to a plain service to its protobuf form.
func CallToProto(c submit.Call) *pb.CallRequest {
	return &pb.CallRequest{
		Id:          c.ID,
		Key:         c.Key,
		Account:     c.Account,
		Service:     c.Service,
		Method:      c.Method,
		Path:        c.Path,
		Header:      c.Header,
		Body:        c.Body,
		RemainingUs: c.Remaining.Microseconds(),
		Once:        c.Once,
		Fence:       c.Fence,
	}
}

// CallFromProto converts a call to a plain service from its protobuf form.
func CallFromProto(p *pb.CallRequest) submit.Call {
	return submit.Call{
		ID:        p.GetId(),
		Key:       p.GetKey(),
		Account:   p.GetAccount(),
		Service:   p.GetService(),
		Method:    p.GetMethod(),
		Path:      p.GetPath(),
		Header:    p.GetHeader(),
		Body:      p.GetBody(),
		Remaining: microseconds(p.GetRemainingUs()),
		Once:      p.GetOnce(),
		Fence:     p.GetFence(),
	}
}

func stateFromProto(s pb.RunState) outcome.State {
	switch s {
	case pb.RunState_RUN_STATE_NOT_RUN:
		return outcome.NotRun
	case pb.RunState_RUN_STATE_RAN:
		return outcome.Ran
	default:
		return outcome.Unknown
	}
}

func usageToProto(f submit.Frame) *pb.Usage {
	if f.Finish == engine.FinishNone {
		return nil
	}
	return &pb.Usage{
		PromptTokens:    int64(f.Usage.PromptTokens),
		CachedTokens:    int64(f.Usage.CachedTokens),
		GeneratedTokens: int64(f.Usage.GeneratedTokens),
	}
}

func groupToProto(g *submit.Group) *pb.Group {
	if g == nil {
		return nil
	}
	return &pb.Group{Members: g.Members, Index: int32(g.Index), Handles: g.Handles}
}

func groupFromProto(p *pb.Group) *submit.Group {
	if p == nil {
		return nil
	}
	return &submit.Group{Members: p.GetMembers(), Index: int(p.GetIndex()), Handles: p.GetHandles()}
}

func blocksToProto(blocks []engine.Block) []uint64 {
	out := make([]uint64, len(blocks))
	for i, b := range blocks {
		out[i] = uint64(b)
	}
	return out
}

func blocksFromProto(blocks []uint64) []engine.Block {
	out := make([]engine.Block, len(blocks))
	for i, b := range blocks {
		out[i] = engine.Block(b)
	}
	return out
}

// microseconds returns a number of microseconds, or the longest duration for one out of range.
func microseconds(us int64) time.Duration {
	const longest = math.MaxInt64 / int64(time.Microsecond)
	return time.Duration(min(max(us, -longest), longest)) * time.Microsecond
}
