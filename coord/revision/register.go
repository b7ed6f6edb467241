package revision

import (
	"encoding/json"
	"slices"
)

// maxStoredAnswers limits the answers kept for resends. A resend that arrives after
// its answer was evicted gets a conflict, as its base has been replaced.
const maxStoredAnswers = 4096

// Change is a request to replace the document.
type Change struct {
	ID       string          `json:"id"`   // idempotency key, the same on each resend
	Base     Version         `json:"base"` // version that the change is based on
	Epoch    uint64          `json:"epoch,omitempty"`
	Author   string          `json:"author,omitempty"`
	Document json.RawMessage `json:"document"`
}

// Verdict is the outcome of a Change.
type Verdict string

// Verdicts.
const (
	Accepted         Verdict = "accepted"
	Conflict         Verdict = "conflict"          // the document is not at version Base
	IdentifierReused Verdict = "identifier_reused" // a different change was accepted under this ID
	Invalid          Verdict = "invalid"           // not a valid document, or no ID
)

// Answer is the response to a Change. On a conflict it describes the current
// document: its version and content, and the ID and author of the change that
// produced it.
type Answer struct {
	Verdict  Verdict         `json:"verdict"`
	Version  Version         `json:"version"`
	Digest   string          `json:"digest,omitempty"`
	ID       string          `json:"id,omitempty"`
	Author   string          `json:"author,omitempty"`
	Document json.RawMessage `json:"document,omitempty"`
	Reason   string          `json:"reason,omitempty"`
}

// storedAnswer is the answer to an accepted change, kept for resends.
type storedAnswer struct {
	ID      string  `json:"id"`
	Content string  `json:"content"` // digest of the request
	Version Version `json:"version"`
	Digest  string  `json:"digest"`
	Author  string  `json:"author"`
}

// Register holds the document and its history. The zero value is an empty document
// at version 0.0. The fields are exported for snapshots only.
type Register struct {
	Version  Version         `json:"version"`
	Document json.RawMessage `json:"document,omitempty"` // canonical
	Digest   string          `json:"digest,omitempty"`
	History  History         `json:"history"`
	Answers  []storedAnswer  `json:"answers,omitempty"` // oldest first
}

// Accept applies a change if its base is the current version. A resend of an
// accepted change gets the original answer.
func (r *Register) Accept(c Change) Answer {
	if c.ID == "" {
		return Answer{Verdict: Invalid, Version: r.Version, Reason: "change has no id"}
	}
	document, err := Canonical(c.Document)
	if err != nil {
		return Answer{Verdict: Invalid, Version: r.Version, Reason: err.Error()}
	}
	digest := Digest(document)
	content := contentDigest(c, digest)
	if first, known := r.findAnswer(c.ID); known {
		return answerResend(first, content)
	}
	if c.Base != r.Version {
		return r.conflict()
	}
	return r.replace(c, document, digest, content)
}

func (r *Register) replace(c Change, document []byte, digest, content string) Answer {
	patch, err := Diff(r.current(), document)
	if err != nil {
		return Answer{Verdict: Invalid, Version: r.Version, Reason: err.Error()}
	}
	r.Version = Version{Epoch: max(r.Version.Epoch, c.Epoch, 1), Revision: r.Version.Revision + 1}
	r.Document = document
	r.Digest = digest
	r.History.Append(Delta{Version: r.Version, Patch: patch})
	first := storedAnswer{ID: c.ID, Content: content, Version: r.Version, Digest: digest, Author: c.Author}
	r.Answers = append(r.Answers, first)
	if len(r.Answers) > maxStoredAnswers {
		r.Answers = slices.Delete(r.Answers, 0, len(r.Answers)-maxStoredAnswers)
	}
	return first.answer()
}

// conflict returns the answer to a change with an outdated base.
func (r *Register) conflict() Answer {
	answer := Answer{Verdict: Conflict, Version: r.Version, Digest: r.Digest, Document: r.Document}
	if n := len(r.Answers); n > 0 {
		answer.ID = r.Answers[n-1].ID
		answer.Author = r.Answers[n-1].Author
	}
	return answer
}

func (r *Register) current() []byte {
	if len(r.Document) == 0 {
		return []byte("{}")
	}
	return r.Document
}

func (r *Register) findAnswer(id string) (storedAnswer, bool) {
	for i := len(r.Answers) - 1; i >= 0; i-- {
		if r.Answers[i].ID == id {
			return r.Answers[i], true
		}
	}
	return storedAnswer{}, false
}

func answerResend(first storedAnswer, content string) Answer {
	if first.Content == content {
		return first.answer()
	}
	answer := first.answer()
	answer.Verdict = IdentifierReused
	return answer
}

func (s storedAnswer) answer() Answer {
	return Answer{Verdict: Accepted, Version: s.Version, Digest: s.Digest, ID: s.ID, Author: s.Author}
}

// contentDigest returns the digest of all fields that must be the same in a resend.
func contentDigest(c Change, documentDigest string) string {
	c.Document = json.RawMessage(`"` + documentDigest + `"`)
	text, err := json.Marshal(c)
	if err != nil {
		return ""
	}
	return Digest(text)
}

// Update brings a reader to the current version by deltas, or by the full document
// if that is not larger or the reader's version is not in the history. For a reader
// that is up to date it has neither.
type Update struct {
	Version  Version         `json:"version"`
	Digest   string          `json:"digest,omitempty"` // of the canonical document at Version
	Document json.RawMessage `json:"document,omitempty"`
	Deltas   []Delta         `json:"deltas,omitempty"`
	ID       string          `json:"id,omitempty"`     // of the change that produced Version
	Author   string          `json:"author,omitempty"` // of the change that produced Version
}

// After returns the update for a reader at version have.
func (r *Register) After(have Version) Update {
	u := Update{Version: r.Version, Digest: r.Digest}
	if n := len(r.Answers); n > 0 {
		u.ID = r.Answers[n-1].ID
		u.Author = r.Answers[n-1].Author
	}
	if !have.Less(r.Version) {
		return u
	}
	deltas, bytes, known := r.History.After(have)
	if known && bytes < len(r.Document) {
		u.Deltas = deltas
		return u
	}
	u.Document = r.Document
	return u
}
