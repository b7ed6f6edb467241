package openaiengine

import (
	"context"
	"io"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/packages/ssestream"

	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/outcome"
)

// streamBuffer is the maximum number of chunks read ahead of the caller.
const streamBuffer = 64

// stream implements engine.Stream on the events of one completion.
type stream struct {
	chunks      chan engine.Chunk
	done        chan struct{} // closed once err is set
	err         error
	cancel      context.CancelFunc
	prefillOnly bool
	generated   int
}

func (s *stream) readEvents(ctx context.Context, events *ssestream.Stream[openai.Completion], e *Engine) {
	defer close(s.done)
	defer func() { _ = events.Close() }()
	var last *engine.Chunk // held back so that a later event can set its usage
	for events.Next() {
		event := events.Current()
		if last != nil {
			if event.Usage.TotalTokens > 0 {
				last.Usage = usageOf(event)
			}
			continue
		}
		chunk := s.toChunk(event)
		if chunk.Finish != engine.FinishNone {
			last = &chunk
			continue
		}
		if !s.send(ctx, chunk) {
			break
		}
	}
	switch {
	case last != nil:
		s.send(ctx, *last)
		s.err = io.EOF
	case events.Err() != nil:
		s.err = e.transportError(events.Err())
	default:
		s.err = outcome.Fail(outcome.CodeTruncated, outcome.Unknown, stepHTTP, io.ErrUnexpectedEOF)
	}
}

func (s *stream) send(ctx context.Context, c engine.Chunk) bool {
	select {
	case s.chunks <- c:
		return true
	case <-ctx.Done():
		return false
	}
}

// toChunk converts an event. An event with text but without usage counts as one
// token.
func (s *stream) toChunk(event openai.Completion) engine.Chunk {
	if len(event.Choices) == 0 {
		return engine.Chunk{}
	}
	choice := event.Choices[0]
	chunk := engine.Chunk{Text: choice.Text, Finish: engine.FinishReason(choice.FinishReason), Usage: usageOf(event)}
	switch {
	case chunk.Usage.GeneratedTokens > 0:
		chunk.Tokens = chunk.Usage.GeneratedTokens - s.generated
	case chunk.Text != "":
		chunk.Tokens = 1
	}
	if s.prefillOnly {
		chunk.Text, chunk.Tokens = "", 0
	}
	s.generated += chunk.Tokens
	return chunk
}

func usageOf(event openai.Completion) engine.Usage {
	return engine.Usage{
		PromptTokens:    int(event.Usage.PromptTokens),
		CachedTokens:    int(event.Usage.PromptTokensDetails.CachedTokens),
		GeneratedTokens: int(event.Usage.CompletionTokens),
	}
}

// Next implements engine.Stream.
func (s *stream) Next(ctx context.Context) (engine.Chunk, error) {
	select {
	case c := <-s.chunks:
		return c, nil
	default:
	}
	select {
	case c := <-s.chunks:
		return c, nil
	case <-s.done:
	case <-ctx.Done():
		return engine.Chunk{}, context.Cause(ctx)
	}
	select {
	case c := <-s.chunks:
		return c, nil
	default:
		return engine.Chunk{}, s.err
	}
}

// Close implements engine.Stream.
func (s *stream) Close() error {
	s.cancel()
	return nil
}
