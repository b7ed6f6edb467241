// Package gateway serves callers on a platform that has a balancer in front and
// endpoints that announce themselves: it matches a request to its route, places
// it, forwards it, and answers for its end.
package gateway

import (
	"net/http"
	"time"

	"github.com/jacinthplank/jacinthplank/announce"
	"github.com/jacinthplank/jacinthplank/forward"
	"github.com/jacinthplank/jacinthplank/route"
	"github.com/jacinthplank/jacinthplank/schedule"
)

// Request is what the head of a caller's request tells.
type Request struct {
	ID                   string
	Key                  string
	Timeout              time.Duration // that the caller will wait; 0 when not told
	PromptTokens         int           // tokens; 0 for a request without a prompt
	MaxAnswerTokens      int           // tokens
	ExpectedAnswerTokens int           // the caller's guess of the answer's tokens; 0 for none
	LastEventID          string        // id of the last event that the caller has
}

// Outgoing is what the gateway itself says to an endpoint.
type Outgoing struct {
	Endpoint    string        // id that must answer
	Remaining   time.Duration // of the caller's time
	Account     string        // empty for none
	Urgency     int           // 0 to 9, 0 first; -1 for none
	LastEventID string        // id of the last event that the caller has
	Helpers     []schedule.Helper
}

// Dialect is how a platform speaks: the only part of the gateway that knows
// names on the wire. Decoding errors tell what is wrong with the input.
type Dialect interface {
	forward.Dialect
	// DecodeRequest reads the head of a caller's request.
	DecodeRequest(h http.Header) (Request, error)
	// RequestHeaders returns the headers for an endpoint.
	RequestHeaders(from http.Header, o Outgoing) http.Header
	// ResponseHeaders returns the headers of an endpoint's answer for the caller.
	ResponseHeaders(from http.Header) http.Header
	// SetErrorHeaders puts the id of a request and when to come back into the headers of
	// an answer of the gateway's own; comeBack is 0 for none.
	SetErrorHeaders(to http.Header, request string, comeBack time.Duration)
	// Reserve and Release return the calls that set memory aside at an endpoint
	// under a name, or set it aside for longer, and that free it.
	Reserve(endpoint, name string, tokens int, hold time.Duration) *forward.Call
	Release(endpoint, name string) *forward.Call
	// LoadCall returns the call that asks an endpoint for its load, and DecodeLoad
	// reads the answer.
	LoadCall(endpoint string) *forward.Call
	DecodeLoad(body []byte) (schedule.Load, error)
	// FaultyAddress returns the address of another endpoint that an answer names as
	// the cause of its failure; empty for none.
	FaultyAddress(h http.Header) string
	// DecodeConfiguration reads and checks a routing table.
	DecodeConfiguration(body []byte) (*route.Table, error)
	// DecodeAnnouncement reads what an endpoint says of itself.
	DecodeAnnouncement(id string, body []byte) (announce.Endpoint, error)
	// DecodeLeave reads an endpoint's good-bye.
	DecodeLeave(id string, body []byte) (announce.Endpoint, error)
	// ControlHandler and ReadyHandler serve the platform's calls.
	ControlHandler(c Control) http.Handler
	ReadyHandler(ready func() bool) http.Handler
}
