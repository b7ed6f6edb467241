package state

import (
	"encoding/json"
	"fmt"

	"github.com/jacinthplank/jacinthplank/coord/once"
	"github.com/jacinthplank/jacinthplank/coord/revision"
)

// Query is a read of the machine's state. Exactly one pointer is set.
type Query struct {
	Configuration *ConfigurationAfter `json:"configuration,omitempty"`
	Once          *once.Key           `json:"once,omitempty"`
	Fence         *NextFence          `json:"fence,omitempty"` // reads the highest token without issuing one
}

// ConfigurationAfter requests the configuration changes after a version.
type ConfigurationAfter struct {
	Have revision.Version `json:"have"`
}

// Answer is the result of a Query: the field that matches the query is set, or
// Error when the query is invalid.
type Answer struct {
	Error         string           `json:"error,omitempty"`
	Configuration *revision.Update `json:"configuration,omitempty"`
	Once          *once.Record     `json:"once,omitempty"`
	Fence         uint64           `json:"fence,omitempty"`
}

// Query evaluates an encoded Query on the local state and returns the encoded
// Answer.
func (m *Machine) Query(query []byte) []byte {
	var q Query
	if err := json.Unmarshal(query, &q); err != nil {
		return encodeAnswer(Answer{Error: fmt.Sprintf("state: query: %v", err)})
	}
	m.mu.RLock()
	defer m.mu.RUnlock()
	return encodeAnswer(m.answer(q))
}

func (m *Machine) answer(q Query) Answer {
	switch {
	case q.Configuration != nil:
		u := m.register.After(q.Configuration.Have)
		return Answer{Configuration: &u}
	case q.Once != nil:
		if r, known := m.once.Get(*q.Once); known {
			return Answer{Once: &r}
		}
		return Answer{}
	case q.Fence != nil:
		return Answer{Fence: m.fences.Highest(q.Fence.Target)}
	default:
		return Answer{Error: "state: empty query"}
	}
}

// Configuration returns the update for a reader that holds version have.
func (m *Machine) Configuration(have revision.Version) revision.Update {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.register.After(have)
}

func encodeAnswer(a Answer) []byte {
	text, err := json.Marshal(a)
	if err != nil {
		return []byte(`{"error":"state: answer cannot be encoded"}`)
	}
	return text
}

// Version returns the version of the accepted configuration.
func (m *Machine) Version() revision.Version {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.register.Version
}
