package gateway

import (
	"errors"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/jacinthplank/jacinthplank/outcome"
)

// bodyMemoryDivisor is the part of the process's memory that request bodies may use.
// Bodies are held until their requests end, as they may have to be sent again.
const bodyMemoryDivisor = 3

// errBodyMemory is returned while too much memory is held for other bodies.
var errBodyMemory = errors.New("too many request bodies are held")

// byteBudget counts bytes against a limit; a limit of 0 is none.
type byteBudget struct {
	limit int64
	used  atomic.Int64
}

func (b *byteBudget) acquire(n int64) bool {
	if used := b.used.Add(n); b.limit > 0 && used > b.limit {
		b.used.Add(-n)
		return false
	}
	return true
}

func (b *byteBudget) release(n int64) { b.used.Add(-n) }

// budgetReader takes the bytes that it reads out of a budget. Bytes count as they arrive,
// so that a caller that only declares a long body takes nothing from others.
type budgetReader struct {
	io.Reader
	budget *byteBudget
	held   int64
}

// Read implements io.Reader.
func (r *budgetReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if !r.budget.acquire(int64(n)) {
		return 0, errBodyMemory
	}
	r.held += int64(n)
	return n, err
}

// discardTimeout is how long the rest of a refused body is read.
const discardTimeout = time.Second

// discardBody reads the rest of a body without holding it. A caller that is still sending
// would see a reset connection rather than the refusal.
func (f *inflightRequest) discardBody(control *http.ResponseController, rest io.Reader) {
	err := control.SetReadDeadline(earlier(time.Now().Add(discardTimeout), f.deadline))
	if err == nil {
		_, err = io.Copy(io.Discard, rest)
	}
	if err == nil {
		err = control.SetReadDeadline(time.Time{})
	}
	if err != nil {
		f.g.log.Debug("rest of a refused body was not read", "request", f.request.ID, "error", err.Error())
		return
	}
	f.bodyRead = true
}

func (f *inflightRequest) readBody() *outcome.Error {
	const step = "gateway.body"
	if f.r.ContentLength == 0 {
		return nil
	}
	limit := f.table.Limits.BodyBytes
	if f.r.ContentLength > limit {
		return outcome.Refuse(outcome.CodeBodyTooLarge, step, "request body has %d bytes, the limit is %d", f.r.ContentLength, limit)
	}
	control := http.NewResponseController(f.w)
	if err := control.SetReadDeadline(f.g.shutdown.limit(earlier(f.arrived.Add(bodyTimeout), f.deadline))); err != nil {
		return outcome.Fail(outcome.CodeInternal, outcome.NotRun, step, err)
	}
	reader := &budgetReader{Reader: http.MaxBytesReader(f.w, f.r.Body, limit), budget: &f.g.bodyMemory}
	body, err := io.ReadAll(reader)
	f.heldBytes = reader.held
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errBodyMemory):
		f.discardBody(control, reader.Reader)
		e := outcome.Refuse(outcome.CodeOverloaded, step, "%s", errBodyMemory.Error())
		e.RetryAfter = minRetryAfter
		return e
	case errors.As(err, &tooLarge):
		return outcome.Refuse(outcome.CodeBodyTooLarge, step, "request body exceeds the limit of %d bytes", limit)
	case err != nil && f.g.shutdown.isOver(time.Now()):
		return refuseForShutdown(step)
	case err != nil && !time.Now().Before(f.deadline):
		return outcome.Refuse(outcome.CodeDeadlinePassed, step, "the request's time is over before its body has arrived")
	case err != nil:
		e := outcome.Fail(outcome.CodeInvalidRequest, outcome.NotRun, step, err)
		e.Message = "request body could not be read completely"
		return e
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		return outcome.Fail(outcome.CodeInternal, outcome.NotRun, step, err)
	}
	f.body, f.bodyRead = body, true
	return nil
}
