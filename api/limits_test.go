package api

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/fleet"
	"github.com/jacinthplank/jacinthplank/submit"
)

const testKey = "key"

// recorder records what the API passes on.
type recorder struct {
	requests []submit.Request
	calls    []submit.Call
}

func (r *recorder) Submit(_ context.Context, request submit.Request) (submit.Answer, error) {
	r.requests = append(r.requests, request)
	return nil, errors.New("recorded")
}

func (r *recorder) Call(_ context.Context, c submit.Call) (submit.Reply, error) {
	r.calls = append(r.calls, c)
	return submit.Reply{Status: http.StatusNoContent}, nil
}

// post sends a request to an API with the given limits and returns the response.
func (r *recorder) post(limits fleet.Limits, path, body string) *httptest.ResponseRecorder {
	digest := sha256.Sum256([]byte(testKey))
	c := &fleet.Configuration{
		Models:   []fleet.Model{{Name: "m"}},
		Services: []fleet.Service{{Name: "s"}},
		Accounts: []fleet.Account{{Name: "a", KeyDigests: []string{hex.EncodeToString(digest[:])}}},
		Limits:   limits,
	}
	server := New(Options{Submitter: r, Caller: r, Configuration: func() *fleet.Configuration { return c }})
	request := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer "+testKey)
	response := httptest.NewRecorder()
	server.Handler().ServeHTTP(response, request)
	return response
}

func TestLimitsThatAreNotSetHaveTheDefaultsOfTheFleet(t *testing.T) {
	g := NewWithT(t)
	r := &recorder{}
	const completion = `{"model":"m","prompt":%q}`
	r.post(fleet.Limits{}, "/v1/completions", fmt.Sprintf(completion, "short"))
	r.post(fleet.Limits{}, "/v1/completions", fmt.Sprintf(completion, strings.Repeat("word ", 2*submit.MediumTokens)))
	g.Expect(r.requests).To(HaveLen(2))
	for i, deadline := range []time.Duration{fleet.DefaultShortDeadline.D(), fleet.DefaultLongDeadline.D()} {
		g.Expect(r.requests[i].MaxTokens).To(Equal(fleet.DefaultMaxAnswer))
		g.Expect(r.requests[i].Remaining).To(Equal(deadline))
	}
	g.Expect(r.post(fleet.Limits{}, "/v1/completions", strings.Repeat(" ", fleet.DefaultMaxBody+1)).Code).
		To(Equal(http.StatusRequestEntityTooLarge))
}

func TestServiceBodiesAreLimitedAsConfigured(t *testing.T) {
	const limit = 10
	const larger = fleet.DefaultMaxBody + limit
	tests := []struct {
		name   string
		limit  int
		body   int
		status int
	}{
		{"at the limit", limit, limit, http.StatusNoContent},
		{"over the limit", limit, limit + 1, http.StatusRequestEntityTooLarge},
		{"over the default, within a larger limit", larger, larger, http.StatusNoContent},
		{"over the default", 0, fleet.DefaultMaxBody + 1, http.StatusRequestEntityTooLarge},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewWithT(t)
			r := &recorder{}
			response := r.post(fleet.Limits{MaxBody: test.limit}, "/v1/services/s/path", strings.Repeat("x", test.body))
			g.Expect(response.Code).To(Equal(test.status), "%s", response.Body)
			if test.status != http.StatusNoContent {
				g.Expect(r.calls).To(BeEmpty())
				return
			}
			g.Expect(r.calls).To(HaveLen(1))
			g.Expect(r.calls[0].Body).To(HaveLen(test.body))
		})
	}
}
