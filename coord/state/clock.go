package state

import (
	"sync"
	"time"
)

// clock provides the timestamps that a proposer puts into its commands: the time
// of the replicated state machine plus the time elapsed since then on the
// monotonic clock of the instance.
//
// It is reset to the machine's time on each command of another proposer. A leader
// that follows one with a lagging clock thus keeps the lag, so no lease expires
// earlier than its holder was told.
type clock struct {
	mu          sync.Mutex
	elapsed     func() time.Duration // monotonic, since an arbitrary fixed point
	baseTime    int64                // microseconds of the machine's clock
	baseElapsed time.Duration        // elapsed at baseTime
}

// reset restarts the clock from the machine's time.
func (c *clock) reset(machineTime int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.baseTime = machineTime
	c.baseElapsed = c.elapsed()
}

// now returns the timestamp for the next command, which is never earlier than
// machineTime.
func (c *clock) now(machineTime int64) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	elapsed := c.elapsed() - c.baseElapsed
	now := c.baseTime + elapsed.Microseconds()
	if now >= machineTime {
		return now
	}
	c.baseTime = machineTime
	c.baseElapsed += elapsed
	return machineTime
}
