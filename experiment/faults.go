package experiment

import (
	"context"
	"time"
)

// Fault is a fault injected into one endpoint during a run. It ends after
// Duration, except for FaultLeave, which is permanent.
type Fault struct {
	At       time.Duration // since the start of the run
	Duration time.Duration
	Endpoint int
	Kind     FaultKind
}

// FaultKind is the kind of a fault.
type FaultKind string

// Kinds of faults.
const (
	FaultKill        FaultKind = "kill"         // the engine crashes and loses its memory
	FaultFreeze      FaultKind = "freeze"       // the engine hangs without an error
	FaultSlow        FaultKind = "slow"         // the engine is ten times slower
	FaultLeave       FaultKind = "leave"        // the endpoint drains
	FaultLoseCancels FaultKind = "lose_cancels" // cancel requests are lost
)

const slowdownFactor = 10 // slowdown of an engine under FaultSlow

// StandardFaults returns the fault plan of a run: every kind at least once, some
// at the same time, spread over the run.
func StandardFaults(length time.Duration) []Fault {
	tenth := length / 10
	return []Fault{
		{At: tenth, Duration: 2 * tenth, Endpoint: 0, Kind: FaultKill},
		{At: 2 * tenth, Duration: 2 * tenth, Endpoint: 1, Kind: FaultFreeze},
		{At: 3 * tenth, Duration: 3 * tenth, Endpoint: 2, Kind: FaultSlow},
		{At: 4 * tenth, Endpoint: 3, Kind: FaultLeave},
		{At: 5 * tenth, Duration: tenth, Endpoint: 4, Kind: FaultLoseCancels},
		{At: 6 * tenth, Duration: tenth, Endpoint: 5, Kind: FaultKill},
		{At: 6 * tenth, Duration: tenth, Endpoint: 6, Kind: FaultFreeze},
	}
}

// inject starts a fault at its time and ends it.
func (b *testBench) inject(ctx context.Context, f Fault) {
	n := b.nodes[f.Endpoint%len(b.nodes)]
	wait(ctx, f.At)
	switch f.Kind {
	case FaultKill:
		n.engine.Kill()
		wait(ctx, f.Duration)
		n.engine.Revive()
	case FaultFreeze:
		n.engine.Freeze()
		wait(ctx, f.Duration)
		n.engine.Thaw()
	case FaultSlow:
		n.engine.SetSlowdown(slowdownFactor)
		wait(ctx, f.Duration)
		n.engine.SetSlowdown(1)
	case FaultLeave:
		n.agent.Drain()
	case FaultLoseCancels:
		const lostCancels = 20
		n.engine.FailCancels(lostCancels)
		wait(ctx, f.Duration)
		n.engine.FailCancels(0)
	}
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
