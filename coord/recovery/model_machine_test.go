package recovery_test

import (
	"encoding/binary"
	"sync"
)

// machine is a state machine that keeps the highest number.
type machine struct {
	payload int // bytes of a snapshot
	mu      sync.Mutex
	number  uint64
}

func (m *machine) value() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.number
}

// Apply implements quorum.StateMachine.
func (m *machine) Apply(_ uint64, command []byte) []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.number = max(m.number, binary.BigEndian.Uint64(command))
	return nil
}

// Snapshot implements quorum.StateMachine.
func (m *machine) Snapshot() ([]byte, error) {
	return encodeNumber(m.value(), m.payload), nil
}

func encodeNumber(number uint64, size int) []byte {
	return append(binary.BigEndian.AppendUint64(nil, number), make([]byte, size)...)
}

// Restore implements quorum.StateMachine.
func (m *machine) Restore(data []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.number = binary.BigEndian.Uint64(data)
	return nil
}
