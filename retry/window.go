package retry

import (
	"sync"
	"time"
)

// slots of a Window: its oldest tenth is forgotten at a time.
const windowSlots = 10

// Window bounds repeats against requests over a sliding span of time: in any
// span there are at most ratio times as many repeats as requests, plus an
// allowance. Several entries keep such a bound together when each has its share
// of the allowance. It is safe for concurrent use.
type Window struct {
	ratio float64
	span  time.Duration

	mu       sync.Mutex
	requests [windowSlots]float64
	repeats  [windowSlots]float64
	slot     int64
}

// NewWindow returns an empty window.
func NewWindow(ratio float64, span time.Duration) *Window {
	return &Window{ratio: ratio, span: span}
}

// Request counts a request.
func (w *Window) Request(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests[w.at(now)]++
}

// Repeat counts a repeat and reports whether it is within the bound.
func (w *Window) Repeat(now time.Time, allowance float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := w.at(now)
	requests, repeats := 0.0, 0.0
	for k := range windowSlots {
		requests += w.requests[k]
		repeats += w.repeats[k]
	}
	if repeats+1 > w.ratio*requests+allowance {
		return false
	}
	w.repeats[i]++
	return true
}

// at returns the slot of a time, and empties those that have come round.
func (w *Window) at(now time.Time) int {
	slot := now.UnixNano() / int64(w.span/windowSlots)
	for k := max(w.slot+1, slot-windowSlots+1); k <= slot; k++ {
		w.requests[k%windowSlots], w.repeats[k%windowSlots] = 0, 0
	}
	w.slot = max(w.slot, slot)
	return int(w.slot % windowSlots)
}
