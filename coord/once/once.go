// Package once keeps records of calls that must run at most once. A caller claims
// an idempotency key before the call and records the outcome after it. A key is
// granted to a single claim until its record expires or the claim is released.
//
// All times are in microseconds of the clock of the table's owner, which must be
// monotonic.
package once

import (
	"bytes"
	"slices"
	"time"
)

// Limits and defaults of a Table.
const (
	MaxRecords        = 1_000_000
	MaxReplyBodyBytes = 64 << 10 // bytes; larger reply bodies are not stored
	DefaultRetention  = 72 * time.Hour
	DefaultDeadline   = time.Minute
	// GracePeriod is the time after its deadline during which a claim still counts
	// as running.
	GracePeriod = 10 * time.Second
	// MaxReleased is the maximum number of released claims that a record remembers.
	MaxReleased = 16
)

// Key identifies a call.
type Key struct {
	Account string `json:"account"`
	Service string `json:"service"`
	Key     string `json:"key"` // idempotency key given by the caller
}

// State is the state of a claim.
type State string

// States of a record.
const (
	Running  State = "running"  // claimed, no outcome yet
	Done     State = "done"     // the call ran and its reply is recorded
	Unknown  State = "unknown"  // the call may have run and must not run again
	Released State = "released" // the claimer knows that the call did not run
)

// Reply is the recorded reply of a call.
type Reply struct {
	Status    int               `json:"status"`
	Header    map[string]string `json:"header,omitempty"`
	Body      []byte            `json:"body,omitempty"`
	Digest    string            `json:"digest,omitempty"`    // SHA-256 of the whole body
	Truncated bool              `json:"truncated,omitempty"` // the body was too large to keep
	Failure   string            `json:"failure,omitempty"`   // the claimer's reason why there is no reply
}

// Claim requests permission to make one call.
type Claim struct {
	Key       Key           `json:"key"`
	Request   string        `json:"request"`   // identifier of this claim, unchanged on resends
	Body      string        `json:"body"`      // digest of the request body
	Remaining time.Duration `json:"remaining"` // time until the deadline of the call
	Retention time.Duration `json:"retention"` // how long the record is kept after the call ended
}

// Verdict is the decision on a Claim or an Outcome.
type Verdict string

// Verdicts.
const (
	Granted     Verdict = "granted"
	IsDone      Verdict = "done"
	IsRunning   Verdict = "still_running"
	IsUnknown   Verdict = "unknown"
	IsReleased  Verdict = "released"   // this claim was already released
	KeyReused   Verdict = "key_reused" // the key was used with a different body
	TableFull   Verdict = "table_full"
	NotHolder   Verdict = "not_holder" // the outcome is not from the holder of the claim
	WasRecorded Verdict = "recorded"
)

// Answer is the response to a Claim or an Outcome.
type Answer struct {
	Verdict Verdict `json:"verdict"`
	Fence   uint64  `json:"fence,omitempty"`
	Reply   *Reply  `json:"reply,omitempty"`
	Request string  `json:"request,omitempty"` // claim that holds the record
}

// Outcome reports the outcome of a claimed call.
type Outcome struct {
	Key     Key    `json:"key"`
	Request string `json:"request"` // identifier of the claim
	Fence   uint64 `json:"fence"`
	State   State  `json:"state"` // Done, Unknown or Released
	Reply   *Reply `json:"reply,omitempty"`
}

// Record is a claim and its outcome.
type Record struct {
	Key       Key           `json:"key"`
	Request   string        `json:"request"`
	Body      string        `json:"body"`
	Fence     uint64        `json:"fence"`
	State     State         `json:"state"`
	Reply     *Reply        `json:"reply,omitempty"`
	Retention time.Duration `json:"retention"`
	// Released are the most recently released claims of this key, oldest first. A
	// delayed duplicate of one of them is not granted.
	Released []string `json:"released,omitempty"`
	// Due is when a running claim becomes unknown, or when the record of an ended
	// call is removed.
	Due int64 `json:"due"`
}

// answer returns the answer that another claimer of the key gets.
func (r *Record) answer() Answer {
	a := Answer{Request: r.Request, Fence: r.Fence}
	switch r.State {
	case Done:
		a.Verdict = IsDone
		a.Reply = r.Reply
	case Running:
		a.Verdict = IsRunning
	case Released:
		a.Verdict = IsReleased
	default:
		a.Verdict = IsUnknown
	}
	return a
}

// markReleased marks the claim as released and remembers its identifier.
func (r *Record) markReleased() {
	r.State = Released
	r.Released = append(slices.Clone(r.Released), r.Request)
	if extra := len(r.Released) - MaxReleased; extra > 0 {
		r.Released = r.Released[extra:]
	}
}

// withoutLargeBody returns the reply, without its body if that exceeds
// MaxReplyBodyBytes.
func (r *Reply) withoutLargeBody() *Reply {
	if r == nil || len(r.Body) <= MaxReplyBodyBytes {
		return r
	}
	truncated := *r
	truncated.Body = nil
	truncated.Truncated = true
	return &truncated
}

func (r *Reply) equal(o *Reply) bool {
	if r == nil || o == nil {
		return r == o
	}
	return r.Status == o.Status && r.Failure == o.Failure && r.Digest == o.Digest && bytes.Equal(r.Body, o.Body)
}
