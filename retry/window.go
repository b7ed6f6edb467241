package retry

import (
	"sync"
	"time"
)

// windowSlots is the number of slots of a Window. The oldest slot, a tenth of the
// span, expires at a time.
const windowSlots = 10

// Window limits repeated attempts over a sliding time span to ratio times the
// number of requests, plus an allowance. Several entries enforce a common limit
// when each of them has a share of the allowance. It is safe for concurrent use.
type Window struct {
	ratio float64
	span  time.Duration

	mu       sync.Mutex
	requests [windowSlots]float64
	repeats  [windowSlots]float64
	slot     int64
}

// NewWindow returns an empty Window over span.
func NewWindow(ratio float64, span time.Duration) *Window {
	return &Window{ratio: ratio, span: span}
}

// RecordRequest counts a request.
func (w *Window) RecordRequest(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.requests[w.advance(now)]++
}

// AllowRepeat reports whether a repeat is within the limit, and counts it if so.
func (w *Window) AllowRepeat(now time.Time, allowance float64) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := w.advance(now)
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

// advance moves the window to now, clears the slots that expired, and returns the
// index of the current slot.
func (w *Window) advance(now time.Time) int {
	slot := now.UnixNano() / int64(w.span/windowSlots)
	for k := max(w.slot+1, slot-windowSlots+1); k <= slot; k++ {
		w.requests[k%windowSlots], w.repeats[k%windowSlots] = 0, 0
	}
	w.slot = max(w.slot, slot)
	return int(w.slot % windowSlots)
}
