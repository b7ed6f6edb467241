package sessions_test

import (
	"errors"
	"testing"

	. "github.com/onsi/gomega"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
)

// newOpenAIClient returns the official OpenAI client, configured for the fleet's entry.
func newOpenAIClient(f *testFleet, key string) openai.Client {
	return openai.NewClient(option.WithBaseURL("http://"+f.entry+"/v1"), option.WithAPIKey(key))
}

func chatParams(maxTokens int64) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     "drafts",
		MaxTokens: openai.Int(maxTokens),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage("How many homes were finished in May?")},
	}
}

func TestOpenAIClientStreamedAndUnaryAnswersMatch(t *testing.T) {
	f := newTestFleet(t, baseSession(NewWithT(t)))
	client := newOpenAIClient(f, "key-council")
	unary, err := client.Chat.Completions.New(t.Context(), chatParams(12))
	f.g.Expect(err).NotTo(HaveOccurred())
	f.g.Expect(unary.Usage.CompletionTokens).To(BeEquivalentTo(12))
	f.g.Expect(unary.Choices[0].FinishReason).To(Equal("length"))

	stream := client.Chat.Completions.NewStreaming(t.Context(), chatParams(12))
	var streamed openai.ChatCompletionAccumulator
	for stream.Next() {
		streamed.AddChunk(stream.Current())
	}
	f.g.Expect(stream.Err()).NotTo(HaveOccurred())
	f.g.Expect(streamed.Choices[0].Message.Content).To(Equal(unary.Choices[0].Message.Content))

	models, err := client.Models.List(t.Context())
	f.g.Expect(err).NotTo(HaveOccurred())
	f.g.Expect(models.Data).To(HaveLen(1))
}

func TestOpenAIClientParsesErrors(t *testing.T) {
	f := newTestFleet(t, baseSession(NewWithT(t)))
	for _, c := range []struct {
		key    string
		params openai.ChatCompletionNewParams
		status int
		code   string
	}{
		{"wrong", chatParams(1), 401, "invalid_api_key"},
		{"key-council", chatParams(0), 400, "invalid_request"},
		{"key-council", openai.ChatCompletionNewParams{Model: "draft", Messages: chatParams(1).Messages}, 404, "model_not_found"},
	} {
		client := newOpenAIClient(f, c.key)
		_, err := client.Chat.Completions.New(t.Context(), c.params)
		var failure *openai.Error
		f.g.Expect(errors.As(err, &failure)).To(BeTrue(), "%v", err)
		f.g.Expect(failure.StatusCode).To(Equal(c.status))
		f.g.Expect(failure.Code).To(Equal(c.code))
	}
}
