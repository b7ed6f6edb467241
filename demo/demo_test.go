package demo_test

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net/http"
	"regexp"
	"sync"
	"testing"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/gomega"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"github.com/jacinthplank/jacinthplank/demo"
	pb "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
	"github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1/jacinthplankv1connect"
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

func startDemo(t *testing.T) openai.Client {
	client, _ := runDemo(t)
	return client
}

// runDemo runs a demo until the test ends and returns a client of it and the
// instructions, once they are printed.
func runDemo(t *testing.T) (client openai.Client, instructions string) {
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
	instructions = out.String()
	return openai.NewClient(option.WithBaseURL(printedURL.FindString(instructions)), option.WithAPIKey(demo.Key), option.WithMaxRetries(0)), instructions
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

// The printed address is one that the commands for operators can ask.
func TestInstructionsNameDaemon(t *testing.T) {
	g := NewWithT(t)
	_, text := runDemo(t)
	address := regexp.MustCompile(`jacinthplank status --daemons ([0-9.:]+)`).FindStringSubmatch(text)
	g.Expect(address).To(HaveLen(2), text)
	client := jacinthplankv1connect.NewPeerServiceClient(http.DefaultClient, "http://"+address[1])
	status, err := client.Status(t.Context(), connect.NewRequest(&pb.StatusRequest{}))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(status.Msg.GetDaemons()).To(HaveLen(2))
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
