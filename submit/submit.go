// Package submit defines the interfaces and types through which a request passes
// from the HTTP API to the router, from the router to an endpoint process, and from
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

// String returns the name used in metrics and reports.
func (c Class) String() string {
	return [...]string{"tiny", "short", "medium", "long", "huge"}[c]
}

// Request is one attempt at a request.
type Request struct {
	ID        string // assigned by the entry, returned to the caller
	Attempt   uint32 // assigned by the router, starting from 1
	Account   string
	Model     string // name used by callers up to the router, name used by engines beyond it
	Adapter   string
	Prompt    engine.Prompt
	MaxTokens int
	Generated string        // answer so far, if the attempt continues an earlier one
	Offset    int           // tokens in Generated
	Remaining time.Duration // time left to the deadline; a duration, so that hops need no synchronized clocks
	Group     *Group        // set if the prompt is split over several endpoints
}

// Key returns the engine key of the attempt.
func (r Request) Key() engine.Key { return engine.Key{Request: r.ID, Attempt: r.Attempt} }

// Class returns the length class.
func (r Request) Class() Class { return ClassOf(r.Prompt.Tokens) }

// Group lists the endpoints that together hold one prompt, in the global order
// in which they are reserved.
type Group struct {
	Members []string // endpoint names
	Index   int      // index of the receiver in Members
	Handles []string // handles of the exported KV memory of the members before the receiver
}

// Backlog is the load that an endpoint reports with every answer.
type Backlog struct {
	Endpoint     string
	QueuedTokens int           // prefill tokens admitted and not yet done
	Running      int           // attempts running on the engine
	FreeBlocks   int           // memory blocks neither in use nor reserved
	Wait         time.Duration // expected wait of a short request that arrives now
	LongWait     time.Duration // expected wait of a long request that arrives now
	Leaving      bool          // the endpoint is draining and takes no new work
}

// Frame is one part of an answer. Attempt and Offset, the number of tokens before
// it, allow late and repeated frames and those of other attempts to be detected.
type Frame struct {
	Request string
	Attempt uint32
	Offset  int
	Tokens  int
	Text    string
	Finish  engine.FinishReason // set on the last frame only
	Usage   engine.Usage        // set with Finish
	Handle  string              // handle of the exported KV memory of a group's segment, set with Finish
	Backlog *Backlog            // set on the first and last frame
}

// Answer is an answer in progress.
type Answer interface {
	// Next returns the next frame, and io.EOF after the frame with Finish set. Any
	// other end of the answer is an *outcome.Error.
	Next(ctx context.Context) (Frame, error)
	// Close cancels the request if it is unfinished and releases its resources. It
	// may be called at any time and more than once.
	Close() error
}

// Submitter accepts requests. An error in state NotRun guarantees that nothing was
// passed to an engine.
type Submitter interface {
	Submit(ctx context.Context, r Request) (Answer, error)
}

// Reserver reserves engine memory for the members of a group before any of them
// starts.
type Reserver interface {
	// Reserve reserves memory for the given number of tokens for k until remaining
	// has passed. It is idempotent by k.
	Reserve(ctx context.Context, k engine.Key, tokens int, remaining time.Duration) error
	// Release frees the memory of k, whether reserved or in use. It is idempotent.
	Release(ctx context.Context, k engine.Key) error
}

// Endpoint is the interface of an endpoint process with an engine, as used by the
// router.
type Endpoint interface {
	Submitter
	Reserver
}

// Call is one call of a plain service, that is, one without an engine.
type Call struct {
	ID        string // request ID
	Key       string // idempotency key
	Account   string
	Service   string
	Method    string
	Path      string
	Header    map[string]string
	Body      []byte
	Remaining time.Duration
	Once      bool   // the call is not idempotent and is claimed in the quorum log before dispatch
	Fence     uint64 // fencing number of the claim, used as a fencing token
}

// Reply is a plain service's response to a call.
type Reply struct {
	Status int
	Header map[string]string
	Body   []byte
}

// Caller dispatches calls to plain services.
type Caller interface {
	Call(ctx context.Context, c Call) (Reply, error)
}
