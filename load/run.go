package load

import (
	"context"
	"sync"
	"time"
)

// Run sends the arrivals at their scheduled times and waits until each has ended.
// When ctx ends, no more requests are sent and running ones are canceled.
func Run(ctx context.Context, arrivals []Arrival, caller Caller) []Result {
	start := time.Now()
	results := make([]Result, len(arrivals))
	sent := 0
	var calls sync.WaitGroup
	for i, a := range arrivals {
		due := start.Add(a.At)
		if !waitUntil(ctx, due) {
			break
		}
		sent++
		calls.Go(func() { results[i] = measureCall(ctx, a, due, caller) })
	}
	calls.Wait()
	return results[:sent]
}

// measureCall measures from the scheduled send time, so that delays in sending do
// not hide the latency of the fleet.
func measureCall(ctx context.Context, a Arrival, due time.Time, caller Caller) Result {
	first, code, state := caller.Call(ctx, a)
	r := Result{Tokens: a.Tokens, Total: time.Since(due), Code: code, State: state}
	if !first.IsZero() {
		r.FirstToken = first.Sub(due)
	}
	return r
}

func waitUntil(ctx context.Context, due time.Time) bool {
	timer := time.NewTimer(time.Until(due))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
