package openaiengine_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"testing"

	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/engine/openaiengine"
	"github.com/jacinthplank/jacinthplank/engine/openaiengine/wireform"
	"github.com/jacinthplank/jacinthplank/outcome"
)

// fixedAnswer is a transport that answers every request with a status and a body.
type fixedAnswer struct {
	status      int
	contentType string
	body        []byte
	read        *int // bytes of the body that were read
}

func (a fixedAnswer) RoundTrip(r *http.Request) (*http.Response, error) {
	body := io.NopCloser(counted{bytes.NewReader(a.body), a.read})
	h := http.Header{"Content-Type": {a.contentType}}
	return &http.Response{StatusCode: a.status, Status: http.StatusText(a.status), Header: h, Body: body, ContentLength: -1, ProtoMajor: 1, ProtoMinor: 1, Request: r}, nil
}

type counted struct {
	r    io.Reader
	read *int
}

func (c counted) Read(p []byte) (int, error) {
	n, err := c.r.Read(p)
	*c.read += n
	return n, err
}

// FuzzStream guards against an event stream of an engine that ends the process, has no end of its own, or is
// taken for complete though it is not.
func FuzzStream(f *testing.F) {
	var whole []byte
	for i, c := range []engine.Chunk{{Text: "obra ", Tokens: 1}, {Text: "nueva", Tokens: 1}, {Finish: engine.FinishLength, Usage: engine.Usage{PromptTokens: 4}}} {
		event, err := json.Marshal(wireform.EventOf(c, i+1))
		if err != nil {
			f.Fatal(err)
		}
		whole = fmt.Appendf(whole, "data: %s\n\n", event)
	}
	f.Add(append(whole, "data: [DONE]\n\n"...), uint16(200))
	f.Add(whole[:len(whole)-60], uint16(200))
	f.Add([]byte("data: {\"choices\":[{\"text\":7,\"finish_reason\":[]}],\"usage\":{\"completion_tokens\":-9223372036854775808}}\n\n"), uint16(200))
	f.Add([]byte("data: {\"choices\":[]}\n\nevent: error\ndata: {\"error\":{}}\n\n"), uint16(200))
	f.Add([]byte(`{"error":{"code":"model_not_found","message":"x","not_run":true}}`), uint16(404))
	f.Fuzz(func(t *testing.T, body []byte, status uint16) {
		read := 0
		e := openaiengine.New("http://127.0.0.1:1", &http.Client{Transport: fixedAnswer{int(status), "text/event-stream", body, &read}})
		s, err := e.Generate(t.Context(), engine.Work{Key: engine.Key{Request: "r"}, Model: "m", Prompt: engine.Prompt{Text: "x"}, MaxTokens: 3})
		if err != nil {
			var failure *outcome.Error
			if !errors.As(err, &failure) || failure.Code == "" {
				t.Errorf("error without a code: %v", err)
			}
			return
		}
		defer s.Close()
		text, last := 0, engine.Chunk{}
		for {
			c, err := s.Next(t.Context())
			if err != nil {
				if errors.Is(err, io.EOF) && last.Finish == engine.FinishNone {
					t.Errorf("complete without an end: %q", body)
				}
				break
			}
			text, last = text+len(c.Text), c
		}
		// JSON needs more bytes than the text that it holds; an invalid byte becomes three.
		if text > 3*len(body) {
			t.Errorf("%d bytes of text of %d", text, len(body))
		}
	})
}

// FuzzResult guards against the results of an engine's other operations.
func FuzzResult(f *testing.F) {
	for _, result := range []any{
		engine.Description{Models: []string{"m"}}, engine.Load{}, []engine.CacheEvent{{}}, []engine.Holding{{}}, wireform.Transfer{Handle: "h"},
	} {
		data, err := json.Marshal(result)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data, uint16(200))
	}
	f.Add([]byte(`{"error":{"code":"conflict","not_run":true}}`), uint16(409))
	f.Add(bytes.Repeat([]byte("["), 3000), uint16(500))
	f.Fuzz(func(t *testing.T, body []byte, status uint16) {
		read := 0
		e := openaiengine.New("http://127.0.0.1:1", &http.Client{Transport: fixedAnswer{int(status), "application/json", body, &read}})
		ctx := t.Context()
		for name, call := range map[string]func() error{
			"describe": func() error { _, err := e.Describe(ctx); return err },
			"load":     func() error { _, err := e.Load(ctx); return err },
			"events":   func() error { _, err := e.CacheEvents(ctx, 3); return err },
			"holdings": func() error { _, err := e.Holdings(ctx); return err },
			"export":   func() error { _, err := e.Export(ctx, engine.Key{Request: "r"}); return err },
			"cancel":   func() error { return e.Cancel(ctx, engine.Key{Request: "r"}) },
		} {
			err := call()
			if status != http.StatusOK && err == nil {
				t.Errorf("%s: no error with status %d", name, status)
			}
			var failure *outcome.Error
			if err != nil && (!errors.As(err, &failure) || failure.Code == "") {
				t.Errorf("%s: error without a code: %v", name, err)
			}
		}
	})
}
