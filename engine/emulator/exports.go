package emulator

import (
	"container/list"
	"time"

	"github.com/VictoriaMetrics/metrics"
)

var (
	exportsExpired = metrics.NewCounter(`jacinthplank_emulator_exports_dropped_total{reason="age"}`)
	exportsEvicted = metrics.NewCounter(`jacinthplank_emulator_exports_dropped_total{reason="bytes"}`)
)

// ExportStats describes the KV exports of an engine.
type ExportStats struct {
	Held    int   // exports that peers can read
	Bytes   int64 // their size
	Expired int   // exports dropped because of their age
	Evicted int   // exports dropped to make room for newer ones
}

// exportTable holds the exports of an engine, within limits of age and bytes.
// Dropping an export makes it unreadable; its attempt keeps its memory.
type exportTable struct {
	maxAge   time.Duration
	maxBytes int64
	entries  map[string]*list.Element // by handle
	order    *list.List               // *export values, oldest first
	stats    ExportStats
}

type export struct {
	handle string
	bytes  int64
	at     time.Time
}

func newExportTable(maxAge time.Duration, maxBytes int64) *exportTable {
	return &exportTable{maxAge: maxAge, maxBytes: maxBytes, entries: make(map[string]*list.Element), order: list.New()}
}

// add inserts x as the newest export and drops the oldest ones over the limit. It
// reports false, and changes nothing, if x alone exceeds the limit.
func (t *exportTable) add(x export) bool {
	if x.bytes > t.maxBytes {
		return false
	}
	t.remove(x.handle)
	t.expire(x.at)
	for t.stats.Bytes+x.bytes > t.maxBytes {
		t.remove(t.order.Front().Value.(*export).handle)
		t.stats.Evicted++
		exportsEvicted.Inc()
	}
	t.entries[x.handle] = t.order.PushBack(&x)
	t.stats.Held++
	t.stats.Bytes += x.bytes
	return true
}

// expire drops the exports that have reached the maximum age.
func (t *exportTable) expire(now time.Time) {
	for front := t.order.Front(); front != nil; front = t.order.Front() {
		oldest := front.Value.(*export)
		if now.Sub(oldest.at) < t.maxAge {
			return
		}
		t.remove(oldest.handle)
		t.stats.Expired++
		exportsExpired.Inc()
	}
}

func (t *exportTable) remove(handle string) {
	element := t.entries[handle]
	if element == nil {
		return
	}
	delete(t.entries, handle)
	t.stats.Held--
	t.stats.Bytes -= t.order.Remove(element).(*export).bytes
}

func (t *exportTable) contains(handle string, now time.Time) bool {
	t.expire(now)
	return t.entries[handle] != nil
}

// Exports returns the state of the engine's KV exports.
func (e *Engine) Exports() ExportStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.exports.expire(time.Now())
	return e.exports.stats
}
