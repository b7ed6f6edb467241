package openaiengine

import (
	"context"
	"io"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/packages/ssestream"

	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/outcome"
)

// streamBuffer is the number of chunks read ahead of the caller.
const streamBuffer = 64

// stream reads the events of one completion.
type stream struct {
	chunks      chan engine.Chunk
	done        chan struct{} // closed after err was set
	err         error
	cancel      context.CancelFunc
	prefillOnly bool
	generated   int
}

func (s *stream) read(ctx context.Context, events *ssestream.Stream[openai.Completion], e *Engine) {
	defer close(s.done)
	defer func() { _ = events.Close() }()
	var last *engine.Chunk // held back until its usage has come
	for events.Next() {
		event := events.Current()
		if last != nil {
			if event.Usage.TotalTokens > 0 {
				last.Usage = usageOf(event)
			}
			continue
		}
		chunk := s.chunk(event)
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
		s.err = e.failure(events.Err())
	default:
		s.err = outcome.Fail(outcome.CodeTruncated, outcome.Unknown, step, io.ErrUnexpectedEOF)
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

// chunk converts an event. An event without a count of tokens stands for one.
func (s *stream) chunk(event openai.Completion) engine.Chunk {
	if len(event.Choices) == 0 {
		return engine.Chunk{}
	}
	choice := event.Choices[0]
	c := engine.Chunk{Text: choice.Text, Finish: engine.Finish(choice.FinishReason), Usage: usageOf(event)}
	switch {
	case c.Usage.GeneratedTokens > 0:
		c.Tokens = c.Usage.GeneratedTokens - s.generated
	case c.Text != "":
		c.Tokens = 1
	}
	if s.prefillOnly {
		c.Text, c.Tokens = "", 0
	}
	s.generated += c.Tokens
	return c
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
