package gateway

import (
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/jacinthplank/jacinthplank/memory"
	"github.com/jacinthplank/jacinthplank/outcome"
)

// errMemory is returned while too much memory is held for other requests.
var errMemory = errors.New("too much memory is held for other requests")

// Growth of the buffer of a body.
const (
	minBodyBuffer = 4 << 10
	// bodyGrowth is the factor by which a buffer grows: a body of unknown length wastes at
	// most a third of it.
	bodyGrowth = 1.5
)

// readHeld reads all of r. The buffer is reserved in a budget before it grows, so that a
// caller that only declares a long body takes nothing from others. length is the expected
// number of bytes; negative if unknown. held is what remains reserved, 0 after an error.
func readHeld(r io.Reader, length int64, budget *memory.Budget) (body []byte, held int64, err error) {
	for {
		if len(body) == cap(body) {
			size := max(int64(bodyGrowth*float64(cap(body))), minBodyBuffer)
			if length >= int64(cap(body)) {
				size = min(size, length+1) // one byte is left to read the end
			}
			if !budget.Reserve(size) {
				budget.Release(held)
				return nil, 0, errMemory
			}
			grown := make([]byte, len(body), size)
			copy(grown, body)
			budget.Release(held)
			body, held = grown, size
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case errors.Is(err, io.EOF):
			return body, held, nil
		case err != nil:
			budget.Release(held)
			return nil, 0, err
		}
	}
}

// discardBody reads the rest of a body without holding it, within the time that any body has
// to arrive. A caller that is still sending would see a reset connection rather than the refusal.
func (f *inflightRequest) discardBody(control *http.ResponseController, rest io.Reader) {
	_, err := io.Copy(io.Discard, rest)
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
	reader := http.MaxBytesReader(f.w, f.r.Body, limit)
	body, held, err := readHeld(reader, f.r.ContentLength, f.g.bodyMemory)
	f.heldBytes += held
	var tooLarge *http.MaxBytesError
	switch {
	case errors.Is(err, errMemory):
		memoryBodiesRefusedTotal.Inc()
		f.discardBody(control, reader)
		e := outcome.Refuse(outcome.CodeOverloaded, step, "%s", errMemory.Error())
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
