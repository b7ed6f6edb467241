package revision

import (
	"encoding/json"
	"slices"
)

// maxAnswers bounds the first answers kept for resends. A resend that comes
// later finds its base replaced and gets a conflict.
const maxAnswers = 4096

// Change asks to replace the document.
type Change struct {
	ID       string          `json:"id"`   // identifier, the same on each resend
	Base     Version         `json:"base"` // version that the author started from
	Epoch    uint64          `json:"epoch,omitempty"`
	Author   string          `json:"author,omitempty"`
	Document json.RawMessage `json:"document"`
}

// Verdict is the answer to a Change in one word.
type Verdict string

// Verdicts.
const (
	Accepted         Verdict = "accepted"
	Conflict         Verdict = "conflict"          // the document is no longer at Base
	IdentifierReused Verdict = "identifier_reused" // another change had this ID
	Invalid          Verdict = "invalid"           // no JSON object, or no ID
)

// Answer is the outcome of a Change. On a conflict Version, ID and Author are
// those of the document that stands, and Document is that document.
type Answer struct {
	Verdict  Verdict         `json:"verdict"`
	Version  Version         `json:"version"`
	Digest   string          `json:"digest,omitempty"`
	ID       string          `json:"id,omitempty"`
	Author   string          `json:"author,omitempty"`
	Document json.RawMessage `json:"document,omitempty"`
	Reason   string          `json:"reason,omitempty"`
}

// given is the first answer to a change.
type given struct {
	ID      string  `json:"id"`
	Content string  `json:"content"` // digest of what was asked
	Version Version `json:"version"`
	Digest  string  `json:"digest"`
	Author  string  `json:"author"`
}

// Register is the document with its history. The zero value holds an empty
// document at version 0.0. Its fields are exported for snapshots only.
type Register struct {
	Version  Version         `json:"version"`
	Document json.RawMessage `json:"document,omitempty"` // canonical
	Digest   string          `json:"digest,omitempty"`
	History  History         `json:"history"`
	Answers  []given         `json:"answers,omitempty"` // oldest first
}

// Accept decides on one change.
func (r *Register) Accept(c Change) Answer {
	if c.ID == "" {
		return Answer{Verdict: Invalid, Version: r.Version, Reason: "change without an identifier"}
	}
	document, err := Canonical(c.Document)
	if err != nil {
		return Answer{Verdict: Invalid, Version: r.Version, Reason: err.Error()}
	}
	digest := Digest(document)
	content := contentOf(c, digest)
	if first, known := r.answered(c.ID); known {
		return resent(first, content)
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
	first := given{ID: c.ID, Content: content, Version: r.Version, Digest: digest, Author: c.Author}
	r.Answers = append(r.Answers, first)
	if len(r.Answers) > maxAnswers {
		r.Answers = slices.Delete(r.Answers, 0, len(r.Answers)-maxAnswers)
	}
	return first.answer()
}

// conflict carries the document that stands and the change that made it.
func (r *Register) conflict() Answer {
	a := Answer{Verdict: Conflict, Version: r.Version, Digest: r.Digest, Document: r.Document}
	if n := len(r.Answers); n > 0 {
		a.ID = r.Answers[n-1].ID
		a.Author = r.Answers[n-1].Author
	}
	return a
}

func (r *Register) current() []byte {
	if len(r.Document) == 0 {
		return []byte("{}")
	}
	return r.Document
}

func (r *Register) answered(id string) (given, bool) {
	for i := len(r.Answers) - 1; i >= 0; i-- {
		if r.Answers[i].ID == id {
			return r.Answers[i], true
		}
	}
	return given{}, false
}

func resent(first given, content string) Answer {
	if first.Content == content {
		return first.answer()
	}
	a := first.answer()
	a.Verdict = IdentifierReused
	return a
}

func (g given) answer() Answer {
	return Answer{Verdict: Accepted, Version: g.Version, Digest: g.Digest, ID: g.ID, Author: g.Author}
}

// contentOf is the digest of everything that a resend must repeat.
func contentOf(c Change, digest string) string {
	c.Document = json.RawMessage(`"` + digest + `"`)
	text, err := json.Marshal(c)
	if err != nil {
		return ""
	}
	return Digest(text)
}

// Update is what a reader at some version lacks: deltas, or the whole document
// when that is smaller or the version is not in the history. It is empty but for
// Version when the reader lacks nothing.
type Update struct {
	Version  Version         `json:"version"`
	Digest   string          `json:"digest,omitempty"` // of the canonical document at Version
	Document json.RawMessage `json:"document,omitempty"`
	Deltas   []Delta         `json:"deltas,omitempty"`
	ID       string          `json:"id,omitempty"`     // of the change that made Version
	Author   string          `json:"author,omitempty"` // of the change that made Version
}

// After returns what a reader at version have lacks.
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
