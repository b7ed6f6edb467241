package mesh

import (
	"encoding/json"
	"fmt"
	"sync"

	"github.com/jacinthplank/jacinthplank/coord/document"
	"github.com/jacinthplank/jacinthplank/coord/evacuation"
)

// quorumState is the quorum's state machine: the configuration document and the set of
// evacuated failure domains. It is safe for concurrent use as document.Register is.
type quorumState struct {
	register *document.Register
	changed  chan struct{} // holds a value after the set changed

	mu  sync.RWMutex
	set evacuation.Set
}

func newQuorumState() *quorumState {
	return &quorumState{register: document.New(), changed: make(chan struct{}, 1)}
}

// evacuated returns the set of evacuated domains.
func (q *quorumState) evacuated() evacuation.Set {
	q.mu.RLock()
	defer q.mu.RUnlock()
	return q.set
}

// Apply implements quorum.StateMachine.
func (q *quorumState) Apply(index uint64, command []byte) []byte {
	if !evacuation.IsCommand(command) {
		return q.register.Apply(index, command)
	}
	set := q.evacuated()
	answer := evacuation.Answer{Verdict: evacuation.Invalid, Set: set}
	if c, err := evacuation.DecodeCommand(command); err == nil {
		// All members decode the same bytes, so all of them reject an invalid command.
		answer.Set, answer.Verdict = set.Apply(c)
	}
	if answer.Verdict == evacuation.Changed {
		q.setEvacuated(answer.Set)
	}
	out, err := json.Marshal(answer)
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return out
}

func (q *quorumState) setEvacuated(set evacuation.Set) {
	q.mu.Lock()
	q.set = set
	q.mu.Unlock()
	select {
	case q.changed <- struct{}{}:
	default:
	}
}

// snapshot is the encoding of the state. Without orders it is that of a document alone,
// which earlier versions wrote and read.
type snapshot struct {
	document.Document
	Evacuations evacuation.Set `json:"evacuations,omitzero"`
}

// Snapshot implements quorum.StateMachine.
func (q *quorumState) Snapshot() ([]byte, error) {
	return json.Marshal(snapshot{q.register.Current(), q.evacuated()})
}

// Restore implements quorum.StateMachine.
func (q *quorumState) Restore(data []byte) error {
	var s struct {
		Evacuations evacuation.Set `json:"evacuations"`
	}
	if err := json.Unmarshal(data, &s); err != nil {
		return fmt.Errorf("mesh: snapshot: %w", err)
	}
	q.setEvacuated(s.Evacuations) // before the document, with which the entry may become ready
	return q.register.Restore(data)
}
