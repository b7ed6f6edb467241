package recovery_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"
)

// sendTimeout is the time limit of a call that carries messages to a member.
const sendTimeout = time.Second

// smallMessage is the size up to which messages don't wait behind larger ones.
const smallMessage = 4 << 10

// useLink returns how long a message waits until it has left, and false if it takes longer than a
// call may.
func (e *entry) useLink(size int) (queued time.Duration, isSent bool) {
	bandwidth := e.model.bandwidth.Load()
	if bandwidth == 0 || (size <= smallMessage && e.model.overtakes) {
		return 0, true
	}
	now := time.Now()
	e.model.mu.Lock()
	defer e.model.mu.Unlock()
	if e.linkFree.Before(now) {
		e.linkFree = now
	}
	takes := time.Duration(size) * time.Second / time.Duration(bandwidth)
	if e.linkFree.Add(takes).Sub(now) > sendTimeout {
		return 0, false
	}
	e.linkFree = e.linkFree.Add(takes)
	return e.linkFree.Sub(now), true
}

// TestModelWithLargeState plays the faults of TestModel with changes and states of the size of a
// large configuration, over links of the speed that entries with a disk have, with
// and without a lane of their own for small messages. It guards against disks that are never caught up: the snapshot or the log that they are sent is given up
// before it has arrived, or is out of date when it has.
func TestModelWithLargeState(t *testing.T) {
	for _, large := range []struct {
		payload, megabits int
		overtakes         bool
	}{
		{100 << 10, 100, false},
		{400 << 10, 100, false},
		{1 << 20, 100, false},
		{100 << 10, 100, true},
		{400 << 10, 100, true},
		{1 << 20, 100, true},
	} {
		for seed := *modelFirstSeed; seed < *modelFirstSeed+(*modelSeeds+24)/25; seed++ {
			t.Run(fmt.Sprintf("%d KB, %d Mbit a second, overtaken %v, seed %d", large.payload>>10, large.megabits, large.overtakes, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					m := newModelWith(t, seed, 6, 2, large.payload, 8<<20, large.overtakes)
					m.callTimeout, m.confirmedWithin = acknowledgedWithin, acknowledgedWithin
					bandwidth := int64(large.megabits) * 1e6 / 8
					m.bandwidth.Store(bandwidth)
					// Changes take half of the leader's link: one that they fill can't carry a repair.
					m.pause = time.Duration(2*5*int64(large.payload)) * time.Second / time.Duration(bandwidth)
					m.play(func() {
						for range *modelFaults {
							m.awaitComplete(m.disturb())
						}
						time.Sleep(m.duration(completeAgain))
						m.loseWorst()
						m.awaitComplete(completeAgain)
					})
				})
			})
		}
	}
}

// play runs a test while changes are proposed, from the time at which the quorum is there.
func (m *model) play(test func()) {
	ctx, cancel := context.WithCancel(m.t.Context())
	go m.propose(ctx)
	defer func() {
		m.slow(slowness{})
		cancel()
		for _, e := range m.running() {
			e.kill(false)
		}
		time.Sleep(5 * time.Second) // for messages and changes on their way
	}()
	m.awaitComplete(formed)
	test()
}
