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

// Machine is the replicated state machine. It is safe for concurrent use, except
// that Apply and Restore must be called from one goroutine at a time.
type Machine struct {
	mu                   sync.RWMutex
	now                  int64
	index                uint64 // of the last applied command
	register             revision.Register
	once                 *once.Table
	fences               fence.Table
	budgets              budget.Table
	configurationChanged chan struct{} // holds a value after the configuration changed

	name  string
	clock clock
}

// New returns an empty machine for the named member. elapsed returns the
// monotonic time since an arbitrary fixed point. It affects only Stamp, never the
// result of Apply.
func New(name string, elapsed func() time.Duration) *Machine {
	return &Machine{
		once:                 once.NewTable(0),
		configurationChanged: make(chan struct{}, 1),
		name:                 name,
		clock:                clock{elapsed: elapsed, baseElapsed: elapsed()},
	}
}

// Stamp sets the proposer of c to this member and its time to the current time.
func (m *Machine) Stamp(c Command) Command {
	c.Proposer = m.name
	c.Now = m.clock.now(m.Now())
	return c
}

// ConfigurationChanged returns a channel that receives a value after the
// configuration changed. Several changes may be merged into one value.
func (m *Machine) ConfigurationChanged() <-chan struct{} { return m.configurationChanged }

// Now returns the machine's time in microseconds.
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
	if c.Proposer != m.name {
		m.clock.reset(m.now)
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
	previous := m.register.Version
	a := m.register.Accept(c)
	if previous.Less(m.register.Version) {
		m.notifyChanged()
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

func (m *Machine) notifyChanged() {
	select {
	case m.configurationChanged <- struct{}{}:
	default:
	}
}

// machineSnapshot is the encoded form of a Machine.
type machineSnapshot struct {
	Now      int64             `json:"now"`
	Index    uint64            `json:"index"`
	Register revision.Register `json:"register"`
	Once     once.Snapshot     `json:"once"`
	Fences   fence.Table       `json:"fences"`
	Budgets  budget.Table      `json:"budgets"`
}

// Snapshot returns the encoded state. Equal states have equal snapshots.
func (m *Machine) Snapshot() ([]byte, error) {
	m.mu.RLock()
	defer m.mu.RUnlock()
	return json.Marshal(machineSnapshot{
		Now: m.now, Index: m.index, Register: m.register,
		Once: m.once.Save(), Fences: m.fences, Budgets: m.budgets,
	})
}

// Restore replaces the state with that of a snapshot.
func (m *Machine) Restore(snapshot []byte) error {
	var s machineSnapshot
	if err := json.Unmarshal(snapshot, &s); err != nil {
		return fmt.Errorf("state: snapshot: %w", err)
	}
	if err := s.Budgets.Validate(); err != nil {
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
	m.clock.reset(m.now)
	m.notifyChanged()
	return nil
}

// encode returns a result as JSON. Encoding a Result is not expected to fail; if
// it does, the caller gets a result with an error.
func encode(r Result) []byte {
	text, err := json.Marshal(r)
	if err != nil {
		return []byte(`{"error":"state: result cannot be encoded"}`)
	}
	return text
}
