// Package document is a replicated register that holds one numbered document:
// the one with the highest number wins and never goes back. It implements
// quorum.Machine.
package document

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sync"
)

// Document is a body with its number.
type Document struct {
	Number uint64 `json:"number"`
	Body   []byte `json:"body"`
}

// Verdict tells what became of a document that was put.
type Verdict string

// Verdicts.
const (
	Accepted Verdict = "accepted" // it is in force
	Same     Verdict = "same"     // it was in force already
	Older    Verdict = "older"    // a higher number is in force; nothing changed
	Conflict Verdict = "conflict" // its number is in force with another body
)

// Answer is the result of a put.
type Answer struct {
	Verdict Verdict `json:"verdict"`
	Number  uint64  `json:"number"` // in force after the put
}

// Register is the machine. It is safe for concurrent use; Apply and Restore are
// called by one goroutine at a time.
type Register struct {
	mu      sync.RWMutex
	current Document
	changed chan struct{} // holds a value after the document changed
}

// New returns an empty register: number 0 and no body.
func New() *Register { return &Register{changed: make(chan struct{}, 1)} }

// Changed returns a channel that holds a value after the document changed.
func (r *Register) Changed() <-chan struct{} { return r.changed }

// Current returns the document in force. Its body must not be changed.
func (r *Register) Current() Document {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.current
}

// EncodePut returns the command that puts a document.
func EncodePut(d Document) ([]byte, error) { return json.Marshal(d) }

// DecodeAnswer reads the result of a put.
func DecodeAnswer(result []byte) (Answer, error) {
	var a Answer
	if err := json.Unmarshal(result, &a); err != nil {
		return a, fmt.Errorf("document: answer: %w", err)
	}
	return a, nil
}

// Apply implements quorum.Machine.
func (r *Register) Apply(_ uint64, cmd []byte) []byte {
	var d Document
	if err := json.Unmarshal(cmd, &d); err != nil {
		// Every member decodes the same bytes, so that all of them skip it.
		return r.answer(Conflict)
	}
	return r.answer(r.put(d))
}

func (r *Register) put(d Document) Verdict {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case d.Number < r.current.Number:
		return Older
	case d.Number == r.current.Number && bytes.Equal(d.Body, r.current.Body):
		return Same
	case d.Number == r.current.Number && r.current.Body != nil:
		return Conflict
	}
	r.current = d
	r.notify()
	return Accepted
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

// Snapshot implements quorum.Machine.
func (r *Register) Snapshot() ([]byte, error) { return json.Marshal(r.Current()) }

// Restore implements quorum.Machine.
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
