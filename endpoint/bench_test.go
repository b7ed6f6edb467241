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

// instantEngine is an engine that immediately answers with one token.
type instantEngine struct{ engine.Engine }

func (instantEngine) Describe(context.Context) (engine.Description, error) {
	return engine.Description{MemoryBlocks: 1 << 20, MemoryTokens: 128, PrefillPerSec: 1e9, DecodePerSec: 1e9}, nil
}
func (instantEngine) Holdings(context.Context) ([]engine.Holding, error) { return nil, nil }
func (instantEngine) CacheEvents(context.Context, uint64) ([]engine.CacheEvent, error) {
	return nil, nil
}

func (instantEngine) Generate(context.Context, engine.Work) (engine.Stream, error) {
	return new(singleChunkStream), nil
}

type singleChunkStream struct{ done bool }

func (s *singleChunkStream) Next(context.Context) (engine.Chunk, error) {
	if s.done {
		return engine.Chunk{}, io.EOF
	}
	s.done = true
	return engine.Chunk{Text: "a", Tokens: 1, Finish: engine.FinishStop}, nil
}
func (s *singleChunkStream) Close() error { return nil }

// BenchmarkSubmit measures the agent's overhead per request: admission, ledger,
// prefill slot, goroutine, frames and timers.
func BenchmarkSubmit(b *testing.B) {
	a := New(Config{Name: "e", Engine: instantEngine{}, Log: slog.New(slog.DiscardHandler)})
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
