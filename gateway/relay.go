package gateway

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/jacinthplank/jacinthplank/forward"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/route"
)

// relay brings an endpoint's answer to the caller.
func (f *flight) relay(reply *forward.Reply) *outcome.Error {
	if f.route.Kind == route.Stream && reply.Status == http.StatusOK && isEventStream(reply.Header) {
		return f.relayStream(reply)
	}
	if f.headSent {
		return f.broken(errors.New("the endpoint that was to go on answered " + strconv.Itoa(reply.Status)))
	}
	return f.relayWhole(reply)
}

func isEventStream(h http.Header) bool {
	return strings.HasPrefix(h.Get("Content-Type"), "text/event-stream")
}

// relayWhole keeps an answer until it is whole: one that breaks off never
// reaches the caller.
func (f *flight) relayWhole(reply *forward.Reply) *outcome.Error {
	body, err := reply.ReadAll()
	if err != nil {
		e := outcome.From(err)
		return f.typed(e)
	}
	f.markFirst()
	h := f.w.Header()
	for name, values := range f.g.dialect.ResponseHeaders(reply.Header) {
		h[name] = values
	}
	if f.r.Method != http.MethodHead {
		h.Set("Content-Length", strconv.Itoa(len(body)))
	}
	f.headSent = true
	f.w.WriteHeader(reply.Status)
	if _, err := f.w.Write(body); err != nil {
		f.g.log.Debug("caller left before its answer", "request", f.request.ID, "error", err.Error())
	}
	return nil
}

// relayStream brings whole events to the caller as they come. After a break the
// answer goes on, with the head that the caller has, from another endpoint.
func (f *flight) relayStream(reply *forward.Reply) *outcome.Error {
	events := forward.NewEventReader(reply)
	flush := http.NewResponseController(f.w)
	for {
		event, err := events.Next()
		if errors.Is(err, io.EOF) {
			return f.endStream(reply)
		}
		if err != nil {
			return f.broken(err)
		}
		if !follows(event.ID, f.lastID) {
			return f.broken(errors.New("event " + event.ID + " does not follow event " + f.lastID))
		}
		if !f.headSent {
			f.startStream(reply)
		}
		if _, err := f.w.Write(event.Data); err != nil {
			return f.broken(err)
		}
		if err := flush.Flush(); err != nil {
			return f.broken(err)
		}
		f.notePause()
		f.events++
		if event.ID != "" {
			f.lastID = event.ID
		}
	}
}

// notePause keeps the longest time between two events.
func (f *flight) notePause() {
	now := time.Now()
	if f.events > 0 {
		f.pause = max(f.pause, now.Sub(f.lastAt))
	}
	f.lastAt = now
}

func (f *flight) endStream(reply *forward.Reply) *outcome.Error {
	if !f.headSent {
		f.startStream(reply)
	}
	return nil
}

func (f *flight) startStream(reply *forward.Reply) {
	f.markFirst()
	h := f.w.Header()
	for name, values := range f.g.dialect.ResponseHeaders(reply.Header) {
		h[name] = values
	}
	f.headSent = true
	f.w.WriteHeader(reply.Status)
	if f.isEngine() {
		f.g.placer.started(f.jobID())
	}
}

// follows reports whether an event is the next one after the last that the
// caller has. Ids that are no numbers are not compared.
func follows(id, last string) bool {
	if id == "" || last == "" {
		return true
	}
	n, err := strconv.ParseInt(id, 10, 64)
	m, errLast := strconv.ParseInt(last, 10, 64)
	return err != nil || errLast != nil || n == m+1
}

func (f *flight) markFirst() {
	if f.first == 0 {
		f.first = time.Since(f.arrived)
		firstByteTimes.UpdateDuration(f.arrived)
	}
}

// broken types a stream that broke off.
func (f *flight) broken(cause error) *outcome.Error {
	e := outcome.Fail(outcome.CodeTruncated, outcome.Ran, "gateway.stream", cause)
	e.Peer = f.endpoint
	return f.typed(e)
}

// typed names the end of the request's time as the cause where it is.
func (f *flight) typed(e *outcome.Error) *outcome.Error {
	if f.ctx.Err() != nil && f.r.Context().Err() == nil {
		return outcome.Fail(outcome.CodeDeadlinePassed, outcome.Ran, e.Step, errDeadline)
	}
	e.State = outcome.Ran
	return e
}
