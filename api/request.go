package api

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/jacinthplank/jacinthplank/fleet"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/prompt"
	"github.com/jacinthplank/jacinthplank/submit"
)

// maxDeadline is the longest deadline that a client may set.
const maxDeadline = 24 * time.Hour

// message is a single chat message.
type message struct {
	Role    string  `json:"role"`
	Content content `json:"content"`
}

// content is a string or a list of text parts.
type content string

type part struct {
	Type string `json:"type"`
	Text string `json:"text"`
}

// UnmarshalJSON implements json.Unmarshaler.
func (c *content) UnmarshalJSON(data []byte) error {
	var text string
	if json.Unmarshal(data, &text) == nil {
		*c = content(text)
		return nil
	}
	var parts []part
	if err := json.Unmarshal(data, &parts); err != nil {
		return errors.New("content must be a string or a list of text parts")
	}
	var b strings.Builder
	for _, p := range parts {
		if p.Type != "text" {
			return fmt.Errorf("content parts of type %q are not supported", p.Type)
		}
		b.WriteString(p.Text)
	}
	*c = content(b.String())
	return nil
}

// options are the fields shared by chat and text completion requests.
type options struct {
	Model               string        `json:"model"`
	MaxTokens           *int          `json:"max_tokens"`
	MaxCompletionTokens *int          `json:"max_completion_tokens"`
	Stream              bool          `json:"stream"`
	StreamOptions       streamOptions `json:"stream_options"`
	N                   *int          `json:"n"`
	Adapter             string        `json:"adapter"`
}

type streamOptions struct {
	IncludeUsage bool `json:"include_usage"`
}

type chatRequest struct {
	options
	Messages []message `json:"messages"`
}

type completionRequest struct {
	options
	Prompt textPrompt `json:"prompt"`
}

// textPrompt is a string or a list with exactly one string.
type textPrompt string

// UnmarshalJSON implements json.Unmarshaler.
func (p *textPrompt) UnmarshalJSON(data []byte) error {
	var text string
	if json.Unmarshal(data, &text) == nil {
		*p = textPrompt(text)
		return nil
	}
	var list []string
	if json.Unmarshal(data, &list) != nil || len(list) != 1 {
		return errors.New("prompt must be a string or a list of one string")
	}
	*p = textPrompt(list[0])
	return nil
}

// roles are the valid message roles.
var roles = []string{"assistant", "developer", "function", "system", "tool", "user"}

// validate rejects messages with an unknown role.
func (c chatRequest) validate() error {
	for i, m := range c.Messages {
		if !slices.Contains(roles, m.Role) {
			return badField(fmt.Sprintf("messages[%d].role", i), "role %q is not one of %s", m.Role, strings.Join(roles, ", "))
		}
	}
	return nil
}

// promptText joins the chat messages into the prompt sent to the engine.
func (c chatRequest) promptText() string {
	var b strings.Builder
	for _, m := range c.Messages {
		b.WriteString(m.Role)
		b.WriteString(": ")
		b.WriteString(string(m.Content))
		b.WriteByte('\n')
	}
	b.WriteString("assistant:")
	return b.String()
}

// limits returns the fleet's limits.
func (x *exchange) limits() fleet.Limits { return x.config.Limits.WithDefaults() }

// readBody reads the body, limited to the configured size.
func (x *exchange) readBody() ([]byte, error) {
	limit := x.limits().MaxBody
	data, err := io.ReadAll(http.MaxBytesReader(x.w, x.r.Body, int64(limit)))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, outcome.Refuse(outcome.CodeBodyTooLarge, "entry.read", "the request body exceeds the limit of %d bytes", limit)
	}
	if err != nil {
		return nil, outcome.Refuse(outcome.CodeInvalidRequest, "entry.read", "the request body could not be read")
	}
	return data, nil
}

// decodeBody decodes the JSON body into v.
func (x *exchange) decodeBody(v any) error {
	data, err := x.readBody()
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, v); err != nil {
		return outcome.Refuse(outcome.CodeInvalidRequest, "entry.read", "the body is not valid: %v", err)
	}
	return nil
}

// newRequest validates the options and builds the request.
func (x *exchange) newRequest(o options, text string) (submit.Request, error) {
	model, err := x.model(o.Model)
	if err != nil {
		return submit.Request{}, err
	}
	if o.N != nil && *o.N != 1 {
		return submit.Request{}, badField("n", "n must be 1, not %d", *o.N)
	}
	maxTokens, err := x.maxTokens(o)
	if err != nil {
		return submit.Request{}, err
	}
	if !prompt.Valid(text) {
		return submit.Request{}, badField("prompt", "the prompt is not valid UTF-8")
	}
	if o.Adapter != "" && !slices.Contains(model.Adapters, o.Adapter) {
		return submit.Request{}, badField("adapter", "model %s has no adapter %q", model.Name, o.Adapter)
	}
	p := prompt.New(text)
	if limit := promptLimit(model); p.Tokens > limit {
		return submit.Request{}, outcome.Refuse(outcome.CodePromptTooLong, "entry.read",
			"the prompt has about %d tokens; model %s takes at most %d", p.Tokens, model.Name, limit)
	}
	remaining, err := x.requestTimeout(p.Tokens)
	if err != nil {
		return submit.Request{}, err
	}
	return submit.Request{
		ID:        x.id,
		Account:   x.account.Name,
		Model:     model.Name,
		Adapter:   o.Adapter,
		Prompt:    p,
		MaxTokens: maxTokens,
		Remaining: remaining,
	}, nil
}

// model returns the named model if the account may use it.
func (x *exchange) model(name string) (*fleet.Model, error) {
	if name == "" {
		return nil, badField("model", "model is missing")
	}
	allowed := x.account.Models
	for i := range x.config.Models {
		m := &x.config.Models[i]
		if m.Name == name && (len(allowed) == 0 || slices.Contains(allowed, name)) {
			return m, nil
		}
	}
	e := outcome.Refuse(outcome.CodeModelNotFound, "entry.read", "there is no model %q for this account", name)
	return nil, paramError{e, "model"}
}

func (x *exchange) maxTokens(o options) (int, error) {
	limit := x.limits().MaxAnswer
	requested, field := o.MaxCompletionTokens, "max_completion_tokens"
	if requested == nil {
		requested, field = o.MaxTokens, "max_tokens"
	}
	if requested == nil {
		return limit, nil
	}
	if *requested < 1 || *requested > limit {
		return 0, badField(field, "%s must be from 1 to %d, not %d", field, limit, *requested)
	}
	return *requested, nil
}

// requestTimeout returns the timeout of the request: the client's header, else
// the account's or fleet's deadline for prompts of that length.
func (x *exchange) requestTimeout(tokens int) (time.Duration, error) {
	if text := x.r.Header.Get(headerTimeout); text != "" {
		return parseTimeout(text)
	}
	if tokens <= submit.MediumTokens {
		return cmp.Or(x.account.ShortDeadline, x.limits().ShortDeadline).D(), nil
	}
	return cmp.Or(x.account.LongDeadline, x.limits().LongDeadline).D(), nil
}

func parseTimeout(text string) (time.Duration, error) {
	d, err := time.ParseDuration(text)
	if err != nil {
		seconds, numberErr := strconv.ParseFloat(text, 64)
		if numberErr != nil {
			return 0, badField(headerTimeout, "%s must be a duration such as 30s, not %q", headerTimeout, text)
		}
		d = time.Duration(seconds * float64(time.Second))
	}
	if d <= 0 || d > maxDeadline {
		return 0, badField(headerTimeout, "%s must be greater than 0 and at most %s", headerTimeout, maxDeadline)
	}
	return d, nil
}

func promptLimit(m *fleet.Model) int {
	if m.MaxPrompt > 0 {
		return m.MaxPrompt
	}
	return submit.HugeTokens
}
