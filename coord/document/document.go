// Package document implements a replicated register that holds one numbered
// document. The document with the highest number wins, and the number never
// decreases. Register implements quorum.StateMachine.
package document

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
)

// Document is a document body and its version number.
type Document struct {
	Number uint64 `json:"number"`
	Body   []byte `json:"body"`
}

// Verdict is the result of putting a document.
type Verdict string

// Verdicts.
const (
	Accepted Verdict = "accepted" // the document is now current
	Same     Verdict = "same"     // the document was already current
	Older    Verdict = "older"    // the current number is higher; nothing changed
	Conflict Verdict = "conflict" // the number is current with another body, or the command is invalid
)

// Answer is the result of a put command.
type Answer struct {
	Verdict Verdict `json:"verdict"`
	Number  uint64  `json:"number"` // current number after the put
}

// Register is the state machine. It is safe for concurrent use, except that Apply
// and Restore must be called from one goroutine at a time.
type Register struct {
	mu      sync.RWMutex
	current Document
	changed chan struct{} // holds a value after the document changed
}

// New returns an empty register: number 0 and no body.
func New() *Register { return &Register{changed: make(chan struct{}, 1)} }

// Changed returns a channel that receives a value after the document changed.
func (r *Register) Changed() <-chan struct{} { return r.changed }

// Current returns the current document. The caller must not modify its body.
func (r *Register) Current() Document {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.current
}

// MaxBodyBytes is the largest body of a document. A command carries it as base64 and
// has to stay below quorum.MaxCommandBytes.
const MaxBodyBytes = 6_000_000

// ErrTooLarge means that a document's body exceeds MaxBodyBytes.
var ErrTooLarge = errors.New("document too large")

// CheckSize returns an error that wraps ErrTooLarge for a body over MaxBodyBytes.
func CheckSize(d Document) error {
	if len(d.Body) > MaxBodyBytes {
		return fmt.Errorf("%w: %d bytes, the limit is %d bytes", ErrTooLarge, len(d.Body), MaxBodyBytes)
	}
	return nil
}

// EncodePut encodes the command that puts a document.
func EncodePut(d Document) ([]byte, error) {
	if err := CheckSize(d); err != nil {
		return nil, err
	}
	return json.Marshal(d)
}

// PutNumber returns the number of the document that a command puts, and false if the command
// is not a put. It does not decode the body.
func PutNumber(command []byte) (uint64, bool) {
	d := json.NewDecoder(bytes.NewReader(command))
	for _, want := range []json.Token{json.Delim('{'), "number"} {
		if token, err := d.Token(); err != nil || token != want {
			return 0, false
		}
	}
	var number uint64
	err := d.Decode(&number)
	return number, err == nil
}

// DecodeAnswer decodes the result of a put command.
func DecodeAnswer(result []byte) (Answer, error) {
	var a Answer
	if err := json.Unmarshal(result, &a); err != nil {
		return a, fmt.Errorf("document: answer: %w", err)
	}
	return a, nil
}

// Apply implements quorum.StateMachine.
func (r *Register) Apply(_ uint64, cmd []byte) []byte {
	var d Document
	if err := json.Unmarshal(cmd, &d); err != nil {
		// All members decode the same bytes, so all of them reject the command.
		return r.answer(Conflict)
	}
	return r.answer(r.put(d))
}

func (r *Register) put(d Document) Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	verdict := r.verdict(d)
	if verdict == Accepted {
		r.current = d
		r.notify()
	}
	return verdict
}

// verdict returns the result of putting d now. The caller holds the lock.
func (r *Register) verdict(d Document) Verdict {
	switch {
	case d.Number < r.current.Number:
		return Older
	case d.Number == r.current.Number && bytes.Equal(d.Body, r.current.Body):
		return Same
	case d.Number == r.current.Number && r.current.Body != nil:
		return Conflict
	default:
		return Accepted
	}
}

// Settled returns the answer to a put that changes nothing, and false if d would become
// current. Such a put needs no command, only a read that is as new as the put.
func (r *Register) Settled(d Document) (Answer, bool) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	verdict := r.verdict(d)
	return Answer{Verdict: verdict, Number: r.current.Number}, verdict != Accepted
}

func (r *Register) notify() {
	select {
	case r.changed <- struct{}{}:
	default:
	}
}

func (r *Register) answer(v Verdict) []byte {
	out, err := json.Marshal(Answer{Verdict: v, Number: r.Current().Number})
	if err != nil {
		panic(err) // a string and a number always encode
	}
	return out
}

// Snapshot implements quorum.StateMachine.
func (r *Register) Snapshot() ([]byte, error) { return json.Marshal(r.Current()) }

// Restore implements quorum.StateMachine.
func (r *Register) Restore(snapshot []byte) error {
	var d Document
	if err := json.Unmarshal(snapshot, &d); err != nil {
		return fmt.Errorf("document: snapshot: %w", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.current = d
	r.notify()
	return nil
}
