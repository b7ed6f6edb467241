package gateway

import (
	"bytes"
	"cmp"
	"context"
	"errors"
	"io"
	"sync"

	"github.com/jacinthplank/jacinthplank/forward"
)

// bufferedBytes is what a buffered part takes besides its data.
const bufferedBytes = 64

// readAhead holds the parts of a response that have been read and not yet written. The last
// one may still be in the buffer of the source, if there was no memory for it: the endpoint
// is not read further until it is written or copied.
type readAhead struct {
	a      *answer
	ctx    context.Context // ends with stop
	cancel context.CancelFunc
	done   chan struct{} // closed when the source is no longer read

	mu        sync.Mutex
	parts     []forward.Event
	isLent    bool  // the last of parts, or the current one, is in the source's buffer
	current   int64 // bytes reserved for the part that is being written
	err       error // after the last part
	isStopped bool
	changed   *sync.Cond
}

func newReadAhead(a *answer) *readAhead {
	r := &readAhead{a: a, done: make(chan struct{})}
	r.changed = sync.NewCond(&r.mu)
	r.ctx, r.cancel = context.WithCancel(a.f.ctx)
	return r
}

// run reads the source until its end.
func (r *readAhead) run() {
	defer close(r.done)
	r.a.ctx = r.ctx
	for {
		part, err := r.a.source.next()
		if errors.Is(err, io.EOF) && r.a.source.onRead != nil {
			r.a.source.onRead()
		}
		r.mu.Lock()
		if err != nil || r.isStopped {
			r.err = cmp.Or(err, io.ErrUnexpectedEOF)
			r.changed.Broadcast()
			r.mu.Unlock()
			return
		}
		r.isLent = !r.reserve(part)
		if !r.isLent {
			part.Data = bytes.Clone(part.Data)
		}
		r.parts = append(r.parts, part)
		r.changed.Broadcast()
		r.awaitReturn()
		r.mu.Unlock()
	}
}

// awaitReturn waits until the part that is lent was written, or there is memory to copy it.
// The caller holds the lock.
func (r *readAhead) awaitReturn() {
	if !r.isLent {
		return
	}
	memoryAheadStoppedTotal.Inc()
	for r.isLent && !r.isStopped {
		r.changed.Wait()
		if last := len(r.parts) - 1; r.isLent && last >= 0 && r.reserve(r.parts[last]) {
			r.parts[last].Data = bytes.Clone(r.parts[last].Data)
			r.isLent = false
		}
	}
}

// retry makes the reader try again to get memory for the part that is lent.
func (r *readAhead) retry() { r.changed.Broadcast() }

// size returns the bytes that a part takes in the buffer.
func size(part forward.Event) int64 { return int64(len(part.Data)+len(part.ID)) + bufferedBytes }

// reserve reserves memory for a copy of a part. An answer holds at most as much as is left
// for all others, so that no answer takes everything.
func (r *readAhead) reserve(part forward.Event) bool {
	n, ahead := size(part), r.a.slow.ahead
	if r.a.held.Load()+n > ahead.Free() || !ahead.Reserve(n) {
		return false
	}
	r.a.held.Add(n)
	return true
}

// next returns the next part and gives back the memory of the previous one. It waits until
// there is one.
func (r *readAhead) next() (forward.Event, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.release(r.current)
	r.current = 0
	if len(r.parts) == 0 && r.isLent {
		r.isLent = false // the current part has been written
		r.changed.Broadcast()
	}
	for len(r.parts) == 0 && r.err == nil {
		r.changed.Wait()
	}
	if len(r.parts) == 0 {
		return forward.Event{}, r.err
	}
	part := r.parts[0]
	r.parts[0] = forward.Event{}
	r.parts = r.parts[1:]
	if len(r.parts) > 0 || !r.isLent {
		r.current = size(part)
	}
	return part, nil
}

func (r *readAhead) release(n int64) {
	r.a.slow.budget.Release(n)
	r.a.held.Add(-n)
}

// stop waits until the source is no longer read. It must have been aborted.
func (r *readAhead) stop() {
	r.cancel()
	r.mu.Lock()
	r.isStopped = true
	r.changed.Broadcast()
	r.mu.Unlock()
	<-r.done
}
