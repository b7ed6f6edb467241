package demo_test

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"regexp"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/jacinthplank/jacinthplank/demo"
)

// output is a buffer that is written to and read concurrently.
type output struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func (o *output) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.String()
}

var printedURL = regexp.MustCompile(`http://[0-9.:]+/v1`)

// startDemo runs a demo until the test ends and returns a client of it, once the
// instructions are printed.
func startDemo(t *testing.T) openai.Client {
	g := NewWithT(t)
	ctx, cancel := context.WithCancel(context.Background())
	var out output
	done := make(chan error, 1)
	go func() {
		done <- demo.Run(ctx, demo.Options{Listen: "127.0.0.1:0", Out: &out, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	}()
	t.Cleanup(func() {
		cancel()
		g.Expect(<-done).To(Succeed())
	})
	g.Eventually(out.String, 10*time.Second).Should(MatchRegexp(printedURL.String()))
	return openai.NewClient(option.WithBaseURL(printedURL.FindString(out.String())), option.WithAPIKey(demo.Key), option.WithMaxRetries(0))
}

func question() openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:    demo.Model,
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("How many homes were finished in May?")},
	}
}

// A request sent as soon as the instructions are printed is answered.
func TestFirstRequestIsAnswered(t *testing.T) {
	g := NewWithT(t)
	client := startDemo(t)
	params := question()
	params.MaxTokens = openai.Int(5)
	response, err := client.Chat.Completions.New(t.Context(), params)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.Choices[0].FinishReason).To(Equal("length"))
}

// A request without max_tokens is answered before the default deadline.
func TestPlainRequestIsAnswered(t *testing.T) {
	g := NewWithT(t)
	client := startDemo(t)
	response, err := client.Chat.Completions.New(t.Context(), question())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(response.Choices[0].FinishReason).To(Equal("stop"))
	g.Expect(response.Choices[0].Message.Content).NotTo(BeEmpty())
}
