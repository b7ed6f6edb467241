package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/jacinthplank/jacinthplank/forward"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/route"
	"github.com/jacinthplank/jacinthplank/schedule"
)

// relay forwards an endpoint's response to the caller.
func (f *inflightRequest) relay(reply *forward.Reply) *outcome.Error {
	if f.route.Kind == route.Stream && reply.Status == http.StatusOK && isEventStream(reply.Header) {
		return f.relayStream(reply)
	}
	if f.headSent {
		return f.streamError(errors.New("endpoint that was to resume the stream answered with status " + strconv.Itoa(reply.Status)))
	}
	return f.relayBuffered(reply)
}

func isEventStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// Limits on responses that are no streams, in bytes.
const (
	// maxBufferedBytes keeps the memory for some hundred responses at once far below
	// that of an entry.
	maxBufferedBytes = 64 << 10
	maxResponseBytes = 16 << 20
	copyBufferBytes  = 16 << 10
	maxControlBytes  = 64 << 10 // of rejections, load reports and reservations
)

// errResponseTooLong ends a response after maxResponseBytes.
var errResponseTooLong = errors.New("response body exceeds the maximum size")

// relayBuffered buffers the complete response before sending it, so that a truncated
// one never reaches the caller. The caller sees where a long one breaks off.
func (f *inflightRequest) relayBuffered(reply *forward.Reply) *outcome.Error {
	a := f.newAnswer()
	defer a.close()
	if err := a.hold(bufferedSize(reply.Header)); err != nil {
		return f.classifyRelayError(outcome.Fail(outcome.CodeOverloaded, outcome.Ran, "gateway.memory", err))
	}
	body, complete, err := reply.ReadUpTo(maxBufferedBytes)
	if err != nil {
		e := outcome.From(err)
		return f.classifyRelayError(e)
	}
	f.recordFirstByte()
	f.answerBytes = len(body)
	if !complete {
		return f.relayLong(a, reply, body)
	}
	h := f.responseHeaders(reply)
	if f.r.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	}
	f.headSent = true
	f.w.WriteHeader(reply.Status)
	err = a.write(body, false)
	if errors.Is(err, errCallerStalled) {
		return f.callerError(err)
	}
	if err != nil {
		f.g.log.Debug("caller disconnected before the response was written", "request", f.request.ID, "error", err.Error())
	}
	return nil
}

// bufferedSize returns the bytes to reserve for the start of a response: its length, or
// maxBufferedBytes if it has none or a longer one.
func bufferedSize(h http.Header) int64 {
	if n, err := strconv.ParseInt(h.Get("Content-Length"), 10, 64); err == nil && n >= 0 {
		return min(n, maxBufferedBytes)
	}
	return maxBufferedBytes
}

// relayLong relays a response whose start has been read as it arrives. Nothing but its
// whole body ends the response to the caller properly.
func (f *inflightRequest) relayLong(a *answer, reply *forward.Reply, start []byte) *outcome.Error {
	f.responseHeaders(reply)
	f.headSent = true
	f.w.WriteHeader(reply.Status)
	rest := &blockReader{reply: reply, buffer: make([]byte, copyBufferBytes), total: len(start)}
	a.read(source{next: rest.next, detach: rest.detach, abort: reply.Abort})
	for part := start; ; {
		if err := a.write(part, false); err != nil {
			return f.callerError(err)
		}
		next, err := a.next()
		switch {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return f.streamError(err)
		}
		part = next.Data
		f.answerBytes += len(part)
	}
}

// blockReader reads a long response in blocks.
type blockReader struct {
	reply  *forward.Reply
	buffer []byte
	total  int   // bytes read so far
	err    error // after the block that was returned last
}

// next returns the next block, valid until the next call.
func (b *blockReader) next() (forward.Event, error) {
	if b.err != nil {
		return forward.Event{}, b.err
	}
	if b.total > maxResponseBytes {
		return forward.Event{}, errResponseTooLong
	}
	n, err := b.reply.Read(b.buffer)
	b.total += n
	if n > 0 {
		b.err = err
		return forward.Event{Data: b.buffer[:n]}, nil
	}
	return forward.Event{}, err
}

// detach leaves the block that was returned last to whoever has it.
func (b *blockReader) detach() { b.buffer = make([]byte, copyBufferBytes) }

// errEmptyStream ends a stream without an event whose end is that of its connection: the
// endpoint may have ended before it wrote one.
var errEmptyStream = fmt.Errorf("the connection ended before the first event of a stream without a length: %w", io.ErrUnexpectedEOF)

// relayStream forwards complete events as they arrive. A broken stream is resumed from
// another endpoint without sending the headers again.
func (f *inflightRequest) relayStream(reply *forward.Reply) *outcome.Error {
	events, meter := forward.NewEventReader(reply), f.newLinkMeter(reply)
	a := f.newAnswer()
	defer a.close()
	events.Hold = a.hold
	follows := isNextEvent
	if f.isStreaming {
		follows = continuesStream
	}
	a.read(source{next: events.Next, detach: events.Detach, abort: reply.Abort, onRead: f.endJobEarly})
	for {
		waitingSince := time.Now()
		event, err := a.next()
		if errors.Is(err, io.EOF) && f.writingSince.IsZero() && !reply.IsSelfDelimited() {
			return f.streamError(errEmptyStream)
		}
		if errors.Is(err, io.EOF) {
			return f.finishStream(reply)
		}
		if err != nil {
			return f.streamError(err)
		}
		meter.record(waitingSince, time.Now())
		if !follows(event.ID, f.lastEventID) {
			return f.streamError(fmt.Errorf("event %q does not follow event %q", event.ID, f.lastEventID))
		}
		if !f.headSent {
			f.startStream(reply)
		}
		if err := a.write(event.Data, true); err != nil {
			return f.callerError(err)
		}
		f.answerBytes += len(event.Data)
		f.recordEventGap()
		f.recordWriting()
		f.eventCount++
		if event.ID != "" {
			f.lastEventID = event.ID
		}
	}
}

// endJobEarly tells the coordinator that the endpoint has written its answer, though the
// caller has not read it. Memory that helpers hold is given back at the end of the attempt.
func (f *inflightRequest) endJobEarly() {
	if f.isEngineService() && len(f.decision.Helpers) == 0 {
		f.g.placer.jobEnded(f.jobID(), schedule.Done)
	}
}

// recordEventGap updates the maximum time between two events.
func (f *inflightRequest) recordEventGap() {
	now := time.Now()
	if f.eventCount > 0 {
		f.maxEventGap = max(f.maxEventGap, now.Sub(f.lastEventAt))
	}
	f.lastEventAt = now
}

func (f *inflightRequest) finishStream(reply *forward.Reply) *outcome.Error {
	if !f.headSent {
		f.startStream(reply)
	}
	return nil
}

func (f *inflightRequest) startStream(reply *forward.Reply) {
	f.recordFirstByte()
	f.responseHeaders(reply)
	f.headSent, f.isStreaming = true, true
	f.w.WriteHeader(reply.Status)
	if f.isEngineService() {
		f.g.placer.jobStarted(f.jobID())
	}
}

// responseHeaders sets the headers of the response to the caller.
func (f *inflightRequest) responseHeaders(reply *forward.Reply) http.Header {
	h := f.w.Header()
	for name, values := range f.g.dialect.ResponseHeaders(reply.Header) {
		h[name] = values
	}
	f.g.callerServer.connections.MarkResponse(h)
	return h
}

// isNextEvent reports whether an event id directly follows the last id sent to the
// caller. It reports true for empty and non-numeric ids.
func isNextEvent(id, last string) bool {
	return !isNumericID(id) || !isNumericID(last) || continuesStream(id, last)
}

// continuesStream reports whether an event of another endpoint is the one after the last
// that was sent to the caller. Only a numeric id tells it from an error that the endpoint
// writes as an event.
func continuesStream(id, last string) bool {
	n, err := strconv.ParseInt(id, 10, 64)
	m, errLast := strconv.ParseInt(last, 10, 64)
	return err == nil && errLast == nil && n == m+1
}

func isNumericID(id string) bool {
	_, err := strconv.ParseInt(id, 10, 64)
	return err == nil
}

func (f *inflightRequest) recordFirstByte() {
	if f.timeToFirstByte == 0 {
		f.timeToFirstByte = time.Since(f.arrived)
		firstByteTimes.UpdateDuration(f.arrived)
	}
}

// streamError returns the error of a stream that ended prematurely.
func (f *inflightRequest) streamError(cause error) *outcome.Error {
	e := outcome.Fail(outcome.CodeTruncated, outcome.Ran, "gateway.stream", cause)
	e.Peer = f.lastEndpoint
	return f.classifyRelayError(e)
}

// callerError returns the error of a stream whose caller can't be written to.
func (f *inflightRequest) callerError(cause error) *outcome.Error {
	f.callerLeft = true
	return outcome.Fail(outcome.CodeCanceled, outcome.Ran, "gateway.stream", cause)
}

// classifyRelayError marks the request as run and reports its deadline or the shutdown
// as the cause if they ended it.
func (f *inflightRequest) classifyRelayError(e *outcome.Error) *outcome.Error {
	e.State = outcome.Ran
	return f.withEndCause(e, outcome.Ran)
}

// withEndCause replaces an error by the cause for which the gateway itself ended the
// request, if there is one.
func (f *inflightRequest) withEndCause(e *outcome.Error, state outcome.State) *outcome.Error {
	switch cause := context.Cause(f.ctx); {
	case errors.Is(cause, errDeadline):
		return outcome.Fail(outcome.CodeDeadlinePassed, state, e.Step, cause)
	case errors.Is(cause, errShutdown):
		return outcome.Fail(outcome.CodeShuttingDown, state, e.Step, cause)
	}
	return e
}
