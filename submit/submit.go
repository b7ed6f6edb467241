// Package submit is the port along which a request travels: from the HTTP
// interface to the router, from the router to an endpoint process, and from
// there to its engine. Each hop implements Submitter.
package submit

import (
	"context"
	"time"

	"github.com/jacinthplank/jacinthplank/engine"
)

// Class groups requests by the length of their prompt.
type Class uint8

// Classes, by prompt length in tokens.
const (
	ClassTiny   Class = iota // up to 2,000 tokens
	ClassShort               // up to 8,000 tokens
	ClassMedium              // up to 32,000 tokens
	ClassLong                // up to 128,000 tokens
	ClassHuge                // up to 1,000,000 tokens
)

// Upper bounds of the classes, in prompt tokens.
const (
	TinyTokens   = 2_000
	ShortTokens  = 8_000
	MediumTokens = 32_000
	LongTokens   = 128_000
	HugeTokens   = 1_000_000
)

// ClassOf returns the class of a prompt of the given length in tokens.
func ClassOf(tokens int) Class {
	switch {
	case tokens <= TinyTokens:
		return ClassTiny
	case tokens <= ShortTokens:
		return ClassShort
	case tokens <= MediumTokens:
		return ClassMedium
	case tokens <= LongTokens:
		return ClassLong
	default:
		return ClassHuge
	}
}

// String returns the name used in counters and reports.
func (c Class) String() string {
	return [...]string{"tiny", "short", "medium", "long", "huge"}[c]
}

// Request is one attempt at a request.
type Request struct {
	ID        string // made at entry, told to the caller
	Attempt   uint32 // from 1, made by the router
	Account   string
	Model     string // callers' name at the entry, the engines' own beyond the router
	Adapter   string
	Prompt    engine.Prompt
	MaxTokens int
	Generated string        // answer so far, when an attempt continues another
	Offset    int           // tokens in Generated
	Remaining time.Duration // time left to the deadline; no clock crosses a hop
	Group     *Group        // set when the prompt is spread over several endpoints
}

// Key returns the engine key of the attempt.
func (r Request) Key() engine.Key { return engine.Key{Request: r.ID, Attempt: r.Attempt} }

// Class returns the length class.
func (r Request) Class() Class { return ClassOf(r.Prompt.Tokens) }

// Group lists the endpoints that together hold one prompt, in the global order
// in which they are reserved.
type Group struct {
	Members []string // endpoint names
	Index   int      // place of the receiver
	Handles []string // exported KV memory of the members before the receiver
}

// Backlog is what an endpoint tells of itself on every answer.
type Backlog struct {
	Endpoint     string
	QueuedTokens int           // prefill tokens admitted and not yet done
	Running      int           // attempts on the engine
	FreeBlocks   int           // memory blocks neither held nor promised
	Wait         time.Duration // expected wait of a short request that came now
	LongWait     time.Duration // expected wait of a long request that came now
	Leaving      bool          // takes no new work
}

// Frame is one piece of an answer. Offset counts the tokens before it, so that
// late, repeated or crossed frames are found.
type Frame struct {
	Request string
	Attempt uint32
	Offset  int
	Tokens  int
	Text    string
	Finish  engine.Finish // set on the last frame only
	Usage   engine.Usage  // set with Finish
	Handle  string        // exported KV memory of a group's segment, set with Finish
	Backlog *Backlog      // set on the first and last frame
}

// Answer is an answer in progress.
type Answer interface {
	// Next returns the next frame, and io.EOF after the frame that carries a
	// Finish. Any other end is an *outcome.Error.
	Next(ctx context.Context) (Frame, error)
	// Close gives the request up and frees what it holds. It may be called at
	// any time and more than once.
	Close() error
}

// Submitter takes requests. An error in state NotRun promises that nothing was
// passed on.
type Submitter interface {
	Submit(ctx context.Context, r Request) (Answer, error)
}

// Reserver promises engine memory to the members of a group before any of them
// starts.
type Reserver interface {
	// Reserve promises memory for tokens to k until remaining has passed. It is
	// idempotent by k.
	Reserve(ctx context.Context, k engine.Key, tokens int, remaining time.Duration) error
	// Release frees what k holds, promised or used. It is idempotent.
	Release(ctx context.Context, k engine.Key) error
}

// Endpoint is all that the router asks of an endpoint process with an engine.
type Endpoint interface {
	Submitter
	Reserver
}

// Call is one call of a plain service.
type Call struct {
	ID        string // request id
	Key       string // idempotency key
	Account   string
	Service   string
	Method    string
	Path      string
	Header    map[string]string
	Body      []byte
	Remaining time.Duration
	Once      bool   // not idempotent: claimed in the quorum log before dispatch
	Fence     uint64 // fencing number of the claim
}

// Reply is a plain service's answer.
type Reply struct {
	Status int
	Header map[string]string
	Body   []byte
}

// Caller takes calls of plain services.
type Caller interface {
	Call(ctx context.Context, c Call) (Reply, error)
}
