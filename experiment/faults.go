package experiment

import (
	"context"
	"time"
)

// Fault is something that happens to one endpoint during a run. It ends after
// For, but for Leave, which lasts.
type Fault struct {
	At   time.Duration // since the start of the run
	For  time.Duration
	Node int
	Kind FaultKind
}

// FaultKind is what goes wrong.
type FaultKind string

// Faults.
const (
	FaultKill        FaultKind = "kill"         // the engine dies and loses its memory
	FaultFreeze      FaultKind = "freeze"       // the engine stops without an error
	FaultSlow        FaultKind = "slow"         // the engine is ten times slower
	FaultLeave       FaultKind = "leave"        // the endpoint drains
	FaultLoseCancels FaultKind = "lose_cancels" // cancels are lost
)

const slowTimes = 10 // how many times slower a slow engine is

// StandardFaults returns the plan of a run with faults: each kind once, some
// together, spread over the run.
func StandardFaults(length time.Duration) []Fault {
	part := length / 10
	return []Fault{
		{At: part, For: 2 * part, Node: 0, Kind: FaultKill},
		{At: 2 * part, For: 2 * part, Node: 1, Kind: FaultFreeze},
		{At: 3 * part, For: 3 * part, Node: 2, Kind: FaultSlow},
		{At: 4 * part, Node: 3, Kind: FaultLeave},
		{At: 5 * part, For: part, Node: 4, Kind: FaultLoseCancels},
		{At: 6 * part, For: part, Node: 5, Kind: FaultKill},
		{At: 6 * part, For: part, Node: 6, Kind: FaultFreeze},
	}
}

// inject carries a fault out and ends it.
func (b *bench) inject(ctx context.Context, f Fault) {
	n := b.nodes[f.Node%len(b.nodes)]
	wait(ctx, f.At)
	switch f.Kind {
	case FaultKill:
		n.engine.Kill()
		wait(ctx, f.For)
		n.engine.Revive()
	case FaultFreeze:
		n.engine.Freeze()
		wait(ctx, f.For)
		n.engine.Thaw()
	case FaultSlow:
		n.engine.SetSlowdown(slowTimes)
		wait(ctx, f.For)
		n.engine.SetSlowdown(1)
	case FaultLeave:
		n.agent.Drain()
	case FaultLoseCancels:
		const lost = 20
		n.engine.FailCancels(lost)
		wait(ctx, f.For)
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
