package endpoint

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/submit"
)

// instant is an engine that answers at once with one token.
type instant struct{ engine.Engine }

func (instant) Describe(context.Context) (engine.Description, error) {
	return engine.Description{MemoryBlocks: 1 << 20, MemoryTokens: 128, PrefillPerSec: 1e9, DecodePerSec: 1e9}, nil
}
func (instant) Holdings(context.Context) ([]engine.Holding, error) { return nil, nil }
func (instant) CacheEvents(context.Context, uint64) ([]engine.CacheEvent, error) {
	return nil, nil
}

func (instant) Generate(context.Context, engine.Work) (engine.Stream, error) {
	return new(oneChunk), nil
}

type oneChunk struct{ read bool }

func (s *oneChunk) Next(context.Context) (engine.Chunk, error) {
	if s.read {
		return engine.Chunk{}, io.EOF
	}
	s.read = true
	return engine.Chunk{Text: "a", Tokens: 1, Finish: engine.FinishStop}, nil
}
func (s *oneChunk) Close() error { return nil }

// BenchmarkSubmit measures what the agent adds to a request: admission, ledger,
// turn, goroutine, frames and timers.
func BenchmarkSubmit(b *testing.B) {
	a := New(Config{Name: "e", Engine: instant{}, Log: slog.New(slog.DiscardHandler)})
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	go func() { _ = a.Serve(ctx) }()
	for ready := false; !ready; _, ready = a.Description() {
		time.Sleep(time.Millisecond)
	}
	ids := make([]byte, 8)
	b.ReportAllocs()
	for b.Loop() {
		for i := range ids {
			ids[i]++
			if ids[i] != 0 {
				break
			}
		}
		answer, err := a.Submit(ctx, submit.Request{ID: string(ids), Attempt: 1, Prompt: engine.Prompt{Tokens: 1000}, MaxTokens: 1, Remaining: time.Minute})
		if err != nil {
			b.Fatal(err)
		}
		for err == nil {
			_, err = answer.Next(ctx)
		}
	}
}
