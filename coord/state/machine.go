package state

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/jacinthplank/jacinthplank/coord/budget"
	"github.com/jacinthplank/jacinthplank/coord/fence"
	"github.com/jacinthplank/jacinthplank/coord/once"
	"github.com/jacinthplank/jacinthplank/coord/revision"
)

// Machine is the replicated state. Its methods may be called from any
// goroutine; Apply and Restore only from one at a time.
type Machine struct {
	mu       sync.RWMutex
	now      int64
	index    uint64 // of the last applied command
	register revision.Register
	once     *once.Table
	fences   fence.Table
	budgets  budget.Table
	accepted chan struct{} // holds a value after the document changed

	name  string
	clock clock
}

// New returns an empty machine of the named member. elapsed is monotonic time
// from any fixed point; it has part in Stamp only, never in Apply.
func New(name string, elapsed func() time.Duration) *Machine {
	return &Machine{
		once:     once.NewTable(0),
		accepted: make(chan struct{}, 1),
		name:     name,
		clock:    clock{elapsed: elapsed, start: elapsed()},
	}
}

// Stamp makes c a command of this member, with the time at which it is proposed.
func (m *Machine) Stamp(c Command) Command {
	c.By = m.name
	c.Now = m.clock.now(m.Now())
	return c
}

// Accepted returns a channel that holds a value after the configuration changed.
func (m *Machine) Accepted() <-chan struct{} { return m.accepted }

// Now returns the machine's clock.
func (m *Machine) Now() int64 {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return m.now
}

// Apply applies one command of the log and returns its encoded Result.
func (m *Machine) Apply(index uint64, cmd []byte) []byte {
	c, err := DecodeCommand(cmd)
	if err != nil {
		return encode(Result{Error: err.Error()})
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.index = index
	m.now = max(m.now, c.Now)
	m.once.Advance(m.now)
	if c.By != m.name {
		m.clock.observe(m.now)
	}
	return encode(m.apply(c))
}

func (m *Machine) apply(c Command) Result {
	switch {
	case c.Accept != nil:
		return Result{Accept: m.accept(*c.Accept)}
	case c.Claim != nil:
		a := m.once.Claim(m.now, *c.Claim)
		return Result{Claim: &a}
	case c.Record != nil:
		a := m.once.Record(m.now, *c.Record)
		return Result{Record: &a}
	case c.Fence != nil:
		return Result{Fence: m.fences.Next(c.Fence.Target)}
	case c.Draw != nil:
		return Result{Draw: m.draw(c.Draw.Draws)}
	default:
		return Result{Lease: m.lease(c.Lease.Requests)}
	}
}

func (m *Machine) accept(c revision.Change) *revision.Answer {
	before := m.register.Version
	a := m.register.Accept(c)
	if before.Less(m.register.Version) {
		m.wake()
	}
	return &a
}

func (m *Machine) lease(requests []budget.Request) []budget.Grant {
	grants := make([]budget.Grant, 0, len(requests))
	for _, r := range requests {
		grants = append(grants, m.budgets.Lease(m.now, r))
	}
	return grants
}

func (m *Machine) draw(draws []budget.Draw) []budget.Grant {
	grants := make([]budget.Grant, 0, len(draws))
	for _, d := range draws {
		grants = append(grants, m.budgets.Draw(m.now, d))
	}
	return grants
}

func (m *Machine) wake() {
	select {
	case m.accepted <- struct{}{}:
	default:
	}
}

// saved is a Machine in a snapshot.
type saved struct {
	Now      int64             `json:"now"`
	Index    uint64            `json:"index"`
	Register revision.Register `json:"register"`
	Once     once.Saved        `json:"once"`
	Fences   fence.Table       `json:"fences"`
	Budgets  budget.Table      `json:"budgets"`
}

// Snapshot returns the whole state. Equal states have equal snapshots.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return json.Marshal(saved{
		Now: m.now, Index: m.index, Register: m.register,
		Once: m.once.Save(), Fences: m.fences, Budgets: m.budgets,
	})
}

// Restore replaces the whole state by that of a snapshot.
func (m *Machine) Restore(snapshot []byte) error {
	var s saved
	if err := json.Unmarshal(snapshot, &s); err != nil {
		return fmt.Errorf("state: snapshot: %w", err)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.now = s.Now
	m.index = s.Index
	m.register = s.Register
	m.fences = s.Fences
	m.budgets = s.Budgets
	m.once.Load(s.Once)
	m.clock.observe(m.now)
	m.wake()
	return nil
}

// encode returns a result as JSON. A Result always has an encoding; should one
// ever fail, the caller gets a result with an error.
func encode(r Result) []byte {
	text, err := json.Marshal(r)
	if err != nil {
		return []byte(`{"error":"state: result without an encoding"}`)
	}
	return text
}
