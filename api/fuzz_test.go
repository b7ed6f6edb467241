package api

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"unicode/utf8"

	"github.com/jacinthplank/jacinthplank/fleet"
)

// FuzzPost guards against a body or header of a caller that ends the entry, exceeds the limits of the fleet,
// or gets an answer that is no JSON.
func FuzzPost(f *testing.F) {
	paths := []string{"/v1/chat/completions", "/v1/completions", "/v1/services/s/x"}
	f.Add(uint8(0), []byte(`{"model":"m","max_tokens":5,"messages":[{"role":"user","content":[{"type":"text","text":"hello"}]}]}`), "30s")
	f.Add(uint8(0), []byte(`{"model":"m","messages":[{"role":"user","content":`+strings.Repeat("[", 500)+`}]}`), "1")
	f.Add(uint8(1), []byte(`{"model":"m","prompt":["hello"],"max_completion_tokens":9223372036854775807,"stream":true}`), "nan")
	f.Add(uint8(1), []byte(`{"model":"m","prompt":"hello","n":-1,"max_tokens":-1}`), "-inf")
	f.Add(uint8(2), []byte("body"), "9223372036854775807")
	digest := sha256.Sum256([]byte(testKey))
	c := &fleet.Configuration{
		Models:   []fleet.Model{{Name: "m", MaxPrompt: 50}},
		Services: []fleet.Service{{Name: "s"}},
		Accounts: []fleet.Account{{Name: "a", KeyDigests: []string{hex.EncodeToString(digest[:])}}},
		Limits:   fleet.Limits{MaxBody: 2000, MaxAnswer: 20},
	}
	f.Fuzz(func(t *testing.T, path uint8, body []byte, timeout string) {
		r := &recorder{}
		server := New(Options{Submitter: r, Caller: r, Configuration: func() *fleet.Configuration { return c }})
		request := httptest.NewRequest(http.MethodPost, paths[int(path)%len(paths)], strings.NewReader(string(body)))
		request.Header.Set("Authorization", "Bearer "+testKey)
		request.Header.Set(headerTimeout, timeout)
		response := httptest.NewRecorder()
		server.Handler().ServeHTTP(response, request)
		if len(body) > 2000 && len(r.requests)+len(r.calls) > 0 {
			t.Errorf("passed on a body of %d bytes", len(body))
		}
		for _, q := range r.requests {
			if q.Remaining <= 0 || q.Remaining > maxDeadline || q.MaxTokens < 1 || q.MaxTokens > 20 || q.Prompt.Tokens > 50 || !utf8.ValidString(q.Prompt.Text) {
				t.Errorf("passed on %+v", q)
			}
		}
		for _, call := range r.calls {
			if call.Remaining <= 0 || call.Remaining > maxDeadline || string(call.Body) != string(body) || call.Key == "" {
				t.Errorf("passed on %+v", call)
			}
		}
		if len(r.requests)+len(r.calls) == 0 && (response.Code < 400 || response.Code >= 500 || !json.Valid(response.Body.Bytes())) {
			t.Errorf("status %d: %s", response.Code, response.Body)
		}
	})
}
