package gateway

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/jacinthplank/jacinthplank/forward"
)

// errCallerStalled ends an answer whose caller doesn't read while memory is needed for others.
var errCallerStalled = errors.New("the caller read nothing while the entry's memory was used up")

// answer passes the parts of a response on to a caller. While the caller reads promptly, each
// part is read, written and forgotten by one goroutine. Once a write takes long, another one
// reads the endpoint ahead.
type answer struct {
	f       *inflightRequest
	slow    *slowCallers
	control *http.ResponseController
	flush   func() error
	source  source // set by read; its next is nil for a response that is held completely

	ctx context.Context // of whoever reads the source; used by hold
	// writing is the tick at which the current write to the caller began, 0 between writes.
	// It is negated by whoever takes over the source during that write.
	writing atomic.Int64
	held    atomic.Int64 // bytes reserved
	isEnded atomic.Bool  // ended because the caller reads nothing

	buffer     *readAhead // nil while the caller is prompt; set before writing is negated
	isBuffered bool       // source belongs to buffer
}

// source is where the parts of a response come from.
type source struct {
	next   func() (forward.Event, error) // returns the next part, valid until the next call; io.EOF at the end
	detach func()                        // leaves the part that next returned last to whoever has it
	abort  func()                        // makes next return
	onRead func()                        // called when next has returned io.EOF ahead of the caller; may be nil
}

// newAnswer returns an answer that is watched until close.
func (f *inflightRequest) newAnswer() *answer {
	a := &answer{f: f, slow: f.g.slow, control: http.NewResponseController(f.w), ctx: f.ctx}
	a.flush = a.control.Flush
	if w, ok := f.w.(interface{ FlushError() error }); ok {
		a.flush = w.FlushError // spares the controller's search for it at each event
	}
	a.slow.add(a)
	return a
}

// read sets where the parts come from, before the first call of next.
func (a *answer) read(s source) {
	a.slow.mu.Lock()
	defer a.slow.mu.Unlock()
	a.source = s
}

// close stops reading ahead and gives back all memory.
func (a *answer) close() {
	a.slow.remove(a)
	if a.buffer != nil {
		a.source.abort()
		a.buffer.stop()
	}
	a.slow.budget.Release(a.held.Swap(0))
	a.slow.released(a)
}

// hold reserves memory until close.
func (a *answer) hold(n int64) error {
	if err := a.slow.hold(a.ctx, n); err != nil {
		return err
	}
	a.held.Add(n)
	return nil
}

// next returns the next part to write.
func (a *answer) next() (forward.Event, error) {
	if a.isBuffered {
		return a.buffer.next()
	}
	return a.source.next()
}

// maxWriteBytes bounds a write to a slow caller, so that each one shows that it reads.
const maxWriteBytes = 16 << 10

// write writes a part to the caller and flushes it, if flush is set.
func (a *answer) write(data []byte, flush bool) error {
	for a.isBuffered && len(data) > maxWriteBytes {
		if err := a.writeOnce(data[:maxWriteBytes], false); err != nil {
			return err
		}
		data = data[maxWriteBytes:]
	}
	return a.writeOnce(data, flush)
}

func (a *answer) writeOnce(data []byte, flush bool) error {
	started := a.slow.tick.Load()
	a.writing.Store(started)
	_, err := a.f.w.Write(data)
	if err == nil && flush {
		err = a.flush()
	}
	if !a.writing.CompareAndSwap(started, 0) {
		a.isBuffered = true
		a.writing.Store(0)
	}
	if err != nil && a.isEnded.Load() {
		return errCallerStalled
	}
	return err
}

// readAhead takes over the source, if the write that began at a tick is still in progress.
// It is called by one goroutine only.
func (a *answer) readAhead(started int64) {
	a.buffer = newReadAhead(a)
	if !a.writing.CompareAndSwap(started, -started) {
		a.buffer.cancel()
		a.buffer = nil // the write is done
		return
	}
	a.source.detach()
	memoryAnswersAheadTotal.Inc()
	go a.buffer.run()
}

// stalledSince returns the tick at which the current write began; 0 if there is none.
func (a *answer) stalledSince() int64 {
	started := a.writing.Load()
	return max(started, -started)
}

// end makes the current write fail. The answer must be watched still.
func (a *answer) end(stalled time.Duration) {
	a.isEnded.Store(true)
	err := a.control.SetWriteDeadline(time.Now())
	if a.f.g.logs.AllowRequestLine(time.Now()) {
		a.slow.log.Warn("answer ended whose caller does not read", "step", "gateway.memory", "request", a.f.request.ID, "endpoint", a.f.lastEndpoint,
			"stalled_ms", stalled.Milliseconds(), "held_bytes", a.held.Load(), "used_bytes", a.slow.budget.Used(), "error", errorText(err))
	}
}
