package state

import (
	"sync"
	"time"
)

// clock gives the time that a proposer puts into its commands: the machine's
// time plus what has passed since on the monotonic clock of the instance.
//
// It starts anew from the machine at each command of another proposer, so that
// a leader that follows one whose clock lags keeps the lag: no lease expires
// earlier than the one who holds it was told.
type clock struct {
	mu      sync.Mutex
	elapsed func() time.Duration // monotonic, from any fixed point
	base    int64                // microseconds of the machine's clock
	start   time.Duration        // elapsed at base
}

// observe starts the clock anew from the machine's time.
func (c *clock) observe(machine int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.base = machine
	c.start = c.elapsed()
}

// now returns the time for the next command, never behind the machine.
func (c *clock) now(machine int64) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	passed := c.elapsed() - c.start
	now := c.base + passed.Microseconds()
	if now >= machine {
		return now
	}
	c.base = machine
	c.start += passed
	return machine
}
