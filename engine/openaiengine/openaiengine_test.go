package openaiengine_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/engine/emulator"
	"github.com/jacinthplank/jacinthplank/engine/openaiengine"
	"github.com/jacinthplank/jacinthplank/outcome"
)

func startEngine(t *testing.T) (*openaiengine.Engine, *emulator.Engine) {
	e := emulator.New(emulator.Config{Fabric: &emulator.Fabric{}, TimeScale: 100, IgnoreEOS: true, ChecksFencing: true, Adapters: []string{"letters"}})
	server := httptest.NewServer(emulator.Handler(e))
	t.Cleanup(e.Close)
	t.Cleanup(server.Close)
	return openaiengine.New(server.URL, server.Client()), e
}

func readAll(t *testing.T, s engine.Stream) (text string, tokens int, last engine.Chunk, err error) {
	for {
		c, err := s.Next(t.Context())
		if err != nil {
			return text, tokens, last, err
		}
		text += c.Text
		tokens += c.Tokens
		last = c
	}
}

func TestGenerateAndContinue(t *testing.T) {
	g := NewWithT(t)
	api, e := startEngine(t)
	w := engine.Work{
		Key:       engine.Key{Request: "r/1", Attempt: 3},
		Model:     "draft",
		Prompt:    engine.Prompt{Text: strings.Repeat("obra nueva ", 500)},
		MaxTokens: 30,
	}
	stream, err := api.Generate(t.Context(), w)
	g.Expect(err).NotTo(HaveOccurred())
	full, tokens, last, err := readAll(t, stream)
	g.Expect(err).To(Equal(io.EOF))
	g.Expect(tokens).To(Equal(30))
	g.Expect(last.Finish).To(Equal(engine.FinishLength))
	g.Expect(last.Usage.PromptTokens).To(Equal(1375))
	g.Expect(e.SubmitCount(w.Key)).To(Equal(1))

	w.Key.Attempt = 4
	w.Offset = 10
	w.Generated = strings.Join(strings.SplitAfter(full, " ")[:10], "")
	stream, err = api.Generate(t.Context(), w)
	g.Expect(err).NotTo(HaveOccurred())
	rest, _, _, err := readAll(t, stream)
	g.Expect(err).To(Equal(io.EOF))
	g.Expect(w.Generated + rest).To(Equal(full))

	w.Key.Attempt = 5
	w.MaxTokens, w.Offset, w.Generated = 0, 0, ""
	stream, err = api.Generate(t.Context(), w)
	g.Expect(err).NotTo(HaveOccurred())
	text, _, last, err := readAll(t, stream)
	g.Expect(err).To(Equal(io.EOF))
	g.Expect(text).To(BeEmpty())
	g.Expect(last.Usage.CachedTokens).To(Equal(1024))
}

func TestErrorsCarryCodeAndState(t *testing.T) {
	g := NewWithT(t)
	api, e := startEngine(t)
	_, err := api.Generate(t.Context(), engine.Work{Model: "other", MaxTokens: 1})
	g.Expect(outcome.From(err).Code).To(Equal(outcome.CodeModelNotFound))
	g.Expect(outcome.StateOf(err)).To(Equal(outcome.NotRun))

	g.Expect(api.Order(t.Context(), engine.Order{Kind: engine.OrderLoadAdapter, Target: "x", Fence: 9})).To(Succeed())
	err = api.Order(t.Context(), engine.Order{Kind: engine.OrderLoadModel, Target: "y", Fence: 8})
	g.Expect(outcome.From(err).Code).To(Equal(outcome.CodeStaleFence))

	stream, err := api.Generate(t.Context(), engine.Work{Model: "draft", Prompt: engine.Prompt{Text: "a"}, MaxTokens: 100_000})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = stream.Next(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	e.Kill()
	_, _, _, err = readAll(t, stream)
	g.Expect(errors.Is(err, io.EOF)).To(BeFalse())
	g.Expect(outcome.StateOf(err)).To(Equal(outcome.Unknown))

	unreachable := openaiengine.New("http://127.0.0.1:1", http.DefaultClient)
	_, err = unreachable.Generate(context.Background(), engine.Work{Model: "draft", MaxTokens: 1})
	g.Expect(outcome.StateOf(err)).To(Equal(outcome.NotRun))
}

func TestImportOfDroppedExportIsNotRun(t *testing.T) {
	g := NewWithT(t)
	api, e := startEngine(t)
	k := engine.Key{Request: "r", Attempt: 1}
	stream, err := api.Generate(t.Context(), engine.Work{Key: k, Model: "draft", Prompt: engine.Prompt{Text: "a"}, MaxTokens: 100_000})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = stream.Next(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	handle, err := api.Export(t.Context(), k)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(e.Exports().Held).To(Equal(1))
	g.Expect(api.Cancel(t.Context(), k)).To(Succeed())
	err = api.Import(t.Context(), engine.Key{Request: "s", Attempt: 1}, handle)
	g.Expect(err).To(HaveOccurred())
	g.Expect(outcome.From(err).Code).To(Equal(outcome.CodeNotFound))
	g.Expect(outcome.StateOf(err)).To(Equal(outcome.NotRun))
	g.Expect(e.HeldBlocks()).To(BeZero())
}

func TestCancelAndHoldings(t *testing.T) {
	g := NewWithT(t)
	api, e := startEngine(t)
	k := engine.Key{Request: "r", Attempt: 1}
	stream, err := api.Generate(t.Context(), engine.Work{Key: k, Model: "draft", Prompt: engine.Prompt{Text: "a"}, MaxTokens: 100_000})
	g.Expect(err).NotTo(HaveOccurred())
	_, err = stream.Next(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	holdings, err := api.Holdings(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(holdings).To(ConsistOf(engine.Holding{Key: k, Blocks: 782}))
	g.Expect(api.Cancel(t.Context(), k)).To(Succeed())
	g.Expect(e.HeldBlocks()).To(BeZero())
	description, err := api.Describe(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(description.MemoryBlocks).To(Equal(3200))
}
