// Package once keeps the records of calls that must run at most once. A claim
// comes before the call and its outcome after it; a key is granted to one claim
// only, until its record is forgotten.
//
// All times are microseconds of the clock of the table's owner, which must never
// go back.
package once

import (
	"bytes"
	"slices"
	"time"
)

// Bounds of a Table.
const (
	MaxRecords       = 1_000_000
	MaxReplyBody     = 64 << 10 // bytes of a reply body that are kept
	DefaultRetention = 72 * time.Hour
	DefaultDeadline  = time.Minute
	// Grace is how long after its deadline a claim still counts as running.
	Grace = 10 * time.Second
	// MaxReleased bounds the claims given back that a record remembers.
	MaxReleased = 16
)

// Key names one call.
type Key struct {
	Account string `json:"account"`
	Service string `json:"service"`
	Key     string `json:"key"` // idempotency key given by the caller
}

// State is what became of a claim.
type State string

// States of a record.
const (
	Running  State = "running"  // claimed, no outcome yet
	Done     State = "done"     // it ran and the reply is recorded
	Unknown  State = "unknown"  // it may have run; it is never run again
	Released State = "released" // the claimer knows that it did not run
)

// Reply is the recorded answer of a call.
type Reply struct {
	Status    int               `json:"status"`
	Header    map[string]string `json:"header,omitempty"`
	Body      []byte            `json:"body,omitempty"`
	Digest    string            `json:"digest,omitempty"`    // SHA-256 of the whole body
	Truncated bool              `json:"truncated,omitempty"` // the body was too large to keep
	Failure   string            `json:"failure,omitempty"`   // why there is no answer, in the words of the claimer
}

// Claim asks for the right to make one call.
type Claim struct {
	Key       Key           `json:"key"`
	Request   string        `json:"request"` // identifier of this claim, the same on each resend
	Body      string        `json:"body"`    // digest of the request body
	Remaining time.Duration `json:"remaining"`
	Retention time.Duration `json:"retention"` // how long the record is kept after its end
}

// Verdict is the answer to a Claim in one word.
type Verdict string

// Verdicts.
const (
	Granted     Verdict = "granted"
	IsDone      Verdict = "done"
	IsRunning   Verdict = "still_running"
	IsUnknown   Verdict = "unknown"
	IsReleased  Verdict = "released"   // this very claim was given back before
	KeyReused   Verdict = "key_reused" // the key was used with another body
	TableFull   Verdict = "table_full"
	NotHolder   Verdict = "not_holder" // a Record by another than the claim's holder
	WasRecorded Verdict = "recorded"
)

// Answer is the outcome of a Claim or Outcome.
type Answer struct {
	Verdict Verdict `json:"verdict"`
	Fence   uint64  `json:"fence,omitempty"`
	Reply   *Reply  `json:"reply,omitempty"`
	Request string  `json:"request,omitempty"` // holder of the record
}

// Outcome records what became of a claimed call.
type Outcome struct {
	Key     Key    `json:"key"`
	Request string `json:"request"` // identifier of the claim
	Fence   uint64 `json:"fence"`
	State   State  `json:"state"` // Done, Unknown or Released
	Reply   *Reply `json:"reply,omitempty"`
}

// Record is one claim and what became of it.
type Record struct {
	Key       Key           `json:"key"`
	Request   string        `json:"request"`
	Body      string        `json:"body"`
	Fence     uint64        `json:"fence"`
	State     State         `json:"state"`
	Reply     *Reply        `json:"reply,omitempty"`
	Retention time.Duration `json:"retention"`
	// Released are the latest claims of this key that were given back, oldest
	// first: a copy of one that arrives late is not granted.
	Released []string `json:"released,omitempty"`
	// Due is when the state changes by itself: a running claim becomes unknown,
	// an ended record is forgotten.
	Due int64 `json:"due"`
}

// answer tells another claimer of the record.
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

// release gives the claim back.
func (r *Record) release() {
	r.State = Released
	r.Released = append(slices.Clone(r.Released), r.Request)
	if extra := len(r.Released) - MaxReleased; extra > 0 {
		r.Released = r.Released[extra:]
	}
}

// bounded drops a body that is too large to keep.
func (r *Reply) bounded() *Reply {
	if r == nil || len(r.Body) <= MaxReplyBody {
		return r
	}
	kept := *r
	kept.Body = nil
	kept.Truncated = true
	return &kept
}

func (r *Reply) equal(o *Reply) bool {
	if r == nil || o == nil {
		return r == o
	}
	return r.Status == o.Status && r.Failure == o.Failure && r.Digest == o.Digest && bytes.Equal(r.Body, o.Body)
}
