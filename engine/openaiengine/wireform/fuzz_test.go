package wireform_test

import (
	"encoding/json"
	"strconv"
	"testing"

	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/engine/openaiengine/wireform"
)

// FuzzCompletion guards against the body of a completion request that ends the engine that reads it, or
// that loses a part of the prompt.
func FuzzCompletion(f *testing.F) {
	for _, c := range []wireform.Completion{
		{Model: "m", Prompt: "obra nueva", MaxTokens: 30, Stream: true, StreamOptions: &wireform.StreamOptions{IncludeUsage: true}},
		{Model: "m", Prompt: "obra nueva", MaxTokens: 20, Extension: &wireform.Extension{Adapter: "a", Generated: 5, Offset: 10}, Context: []string{"h"}},
		{Model: "m", Prompt: "obra", MaxTokens: 1, Extension: &wireform.Extension{PrefillOnly: true}, Segment: &engine.Segment{}},
	} {
		data, err := json.Marshal(c)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data, wireform.FormatKey(engine.Key{Request: "r/1", Attempt: 3}))
	}
	f.Add([]byte(`{"prompt":"obra","max_tokens":9223372036854775807,"extension":{"generated":-1,"offset":9223372036854775807}}`), "r/4294967296")
	f.Fuzz(func(t *testing.T, body []byte, key string) {
		k := wireform.ParseKey(key)
		if again := wireform.ParseKey(wireform.FormatKey(k)); again != k {
			t.Errorf("key %+v became %+v", k, again)
		}
		var c wireform.Completion
		if json.Unmarshal(body, &c) != nil {
			return
		}
		w := c.Work(k)
		if w.Key != k || w.Model != c.Model || w.Prompt.Text+w.Generated != c.Prompt {
			t.Errorf("%+v became %+v", c, w)
		}
	})
}

// FuzzFailure guards against an error of an engine that can't be passed on.
func FuzzFailure(f *testing.F) {
	f.Add([]byte(`{"error":{"code":"model_not_found","message":"there is no model","type":"invalid_request_error","not_run":true}}`))
	f.Add([]byte(`{"error":{"code":7,"message":null}}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		var failure wireform.Failure
		if json.Unmarshal(body, &failure) != nil {
			return
		}
		data, err := json.Marshal(failure)
		if err != nil {
			t.Fatal(err)
		}
		var again wireform.Failure
		if err := json.Unmarshal(data, &again); err != nil || again != failure {
			t.Errorf("%s became %s: %v", strconv.Quote(failure.Error.Message), strconv.Quote(again.Error.Message), err)
		}
	})
}
