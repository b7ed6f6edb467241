package daemon

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/engine/openaiengine"
	"github.com/jacinthplank/jacinthplank/internal/responsetest"
)

// maxUnusedEngineBytes is what may be read of an answer that can't be used.
const maxUnusedEngineBytes = 32 << 20

// generate reads a whole stream of an engine.
func generate(ctx context.Context, address string) error {
	stream, err := openaiengine.New("http://"+address, engineClient()).Generate(ctx, engine.Work{Prompt: engine.Prompt{Text: "x"}, MaxTokens: 1, Remaining: time.Minute})
	if err != nil {
		return err
	}
	defer func() { _ = stream.Close() }()
	for {
		if _, err := stream.Next(ctx); err != nil {
			return err
		}
	}
}

// Guards against bytes that are no response and are taken for an engine's.
func TestMalformedEngineResponseFails(t *testing.T) {
	for name, answer := range responsetest.Malformed("") {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			e := openaiengine.New("http://"+responsetest.Serve(t, answer), engineClient())
			g.Expect(e.Order(t.Context(), engine.Order{Kind: engine.OrderLoadAdapter, Target: "x"})).ToNot(Succeed())
		})
	}
}

// Guards against an engine that sends bytes without end, in an answer, an error or an event: they
// filled the memory of the process beside it.
func TestEngineResponseWithoutEndIsAbandoned(t *testing.T) {
	for name, answer := range responsetest.Endless("") {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			address, sent := responsetest.ServeEndless(t, answer[0], answer[1])
			ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
			defer cancel()
			g.Expect(generate(ctx, address)).ToNot(Succeed())
			g.Expect(ctx.Err()).ToNot(HaveOccurred(), "before the deadline")
			g.Expect(sent.Load()).To(BeNumerically("<", maxUnusedEngineBytes))
		})
	}
}
