package load

import (
	"context"
	"sync"
	"time"
)

// Run sends the arrivals at their times and waits until each has ended. When ctx
// ends, nothing more is sent and what runs is given up.
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
		calls.Go(func() { results[i] = call(ctx, a, due, caller) })
	}
	calls.Wait()
	return results[:sent]
}

// call measures from the time the request was due, so that a late sender does
// not hide a slow fleet.
func call(ctx context.Context, a Arrival, due time.Time, caller Caller) Result {
	first, code, state := caller.Call(ctx, a)
	r := Result{Tokens: a.Tokens, Total: time.Since(due), Code: code, State: state}
	if !first.IsZero() {
		r.First = first.Sub(due)
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
