package endpoint_test

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/endpoint"
	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/engine/emulator"
	"github.com/jacinthplank/jacinthplank/engine/openaiengine"
	"github.com/jacinthplank/jacinthplank/submit"
	"github.com/jacinthplank/jacinthplank/work"
)

// TestLongTextIsPrefilledInChunksOverHTTP sends text of one, two and three bytes
// per character through the agent, the HTTP adapter and the emulator's HTTP API.
func TestLongTextIsPrefilledInChunksOverHTTP(t *testing.T) {
	g := NewWithT(t)
	emu := emulator.New(emulator.Config{TimeScale: 200, IgnoreEOS: true})
	server := httptest.NewServer(emulator.Handler(emu))
	agent := endpoint.New(endpoint.Config{
		Name:   "e",
		Engine: openaiengine.New(server.URL, server.Client()),
		Log:    slog.New(slog.DiscardHandler),
	})
	ctx, cancel := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() {
		_ = agent.Serve(ctx)
		close(served)
	}()
	defer func() {
		cancel()
		<-served
		server.Close()
		emu.Close()
	}()
	g.Eventually(func() bool { _, connected := agent.Description(); return connected }, time.Minute).Should(BeTrue())

	for name, letter := range map[string]string{"latin": "barua ", "cyrillic": "жалоба ", "wide": "信件 "} {
		text := strings.Repeat(letter, 200_000/len(letter))
		r := submit.Request{
			ID: name, Attempt: 1, Model: "draft", MaxTokens: 5, Remaining: time.Minute,
			Prompt: engine.Prompt{Text: text, Tokens: emulator.CountTokens(text), Blocks: work.PrefixBlocks(text)},
		}
		answer, err := agent.Submit(ctx, r)
		g.Expect(err).NotTo(HaveOccurred(), name)
		got, last, err := readAnswer(answer)
		g.Expect(err).NotTo(HaveOccurred(), name)
		g.Expect(got).To(Equal(expectedText(r.Prompt, 0, 5)), name)
		g.Expect(last.Usage.PromptTokens).To(Equal(r.Prompt.Tokens), name)
		g.Expect(last.Usage.CachedTokens).To(BeNumerically(">", 40_000), "%s: the chunks must extend the cached prefix", name)
		g.Expect(emu.SubmitCount(r.Key())).To(BeNumerically(">", 20), name)
	}
	g.Eventually(emu.HeldBlocks, time.Minute).Should(BeZero())
}
