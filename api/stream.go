package api

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/submit"
	"github.com/jacinthplank/jacinthplank/timeline"
)

// eventWriter writes server-sent events.
type eventWriter struct {
	w       http.ResponseWriter
	flusher *http.ResponseController
	started bool
}

// send writes one event. The first event is preceded by the status and headers.
func (e *eventWriter) send(v any) error {
	if !e.started {
		e.started = true
		e.w.Header().Set("Content-Type", "text/event-stream")
		e.w.Header().Set("Cache-Control", "no-cache")
		e.w.WriteHeader(http.StatusOK)
	}
	data, err := json.Marshal(v)
	if err != nil {
		return err
	}
	return e.write(data)
}

func (e *eventWriter) sendDone() error { return e.write([]byte("[DONE]")) }

func (e *eventWriter) write(data []byte) error {
	line := make([]byte, 0, len(data)+8)
	line = append(line, "data: "...)
	line = append(line, data...)
	line = append(line, '\n', '\n')
	if _, err := e.w.Write(line); err != nil {
		return err
	}
	return e.flusher.Flush()
}

// stream writes the response as server-sent events. A failure after the first
// event is sent as an error event, and the stream ends without "[DONE]".
func (x *exchange) stream(ctx context.Context, answer submit.Answer, request submit.Request, o options, f responseFormat) error {
	out := &eventWriter{w: x.w, flusher: http.NewResponseController(x.w)}
	for {
		frame, err := answer.Next(ctx)
		if err != nil {
			return x.abortStream(out, x.deadlineError(ctx, truncationError(err)))
		}
		if frame.Text == "" && frame.Finish == engine.FinishNone {
			continue
		}
		if err := x.sendFrame(out, frame, request, f); err != nil {
			x.record(timeline.KindCanceled, string(outcome.CodeCanceled), "the client disconnected")
			return nil
		}
		if frame.Finish == engine.FinishNone {
			continue
		}
		x.record(timeline.KindFinished, string(frame.Finish), "")
		x.finishStream(out, frame, request, o, f)
		return nil
	}
}

// sendFrame writes the text of a frame and its finish reason as separate events.
func (x *exchange) sendFrame(out *eventWriter, frame submit.Frame, request submit.Request, f responseFormat) error {
	if frame.Text != "" {
		first := !out.started
		if first {
			x.record(timeline.KindFirstToken, "", "after "+x.elapsed().String())
		}
		if err := out.send(x.newReply(f.chunkObject, request.Model, f.chunk(frame.Text, first, nil))); err != nil {
			return err
		}
	}
	if frame.Finish == engine.FinishNone {
		return nil
	}
	return out.send(x.newReply(f.chunkObject, request.Model, f.chunk("", !out.started, finishReason(frame.Finish))))
}

// finishStream writes the usage, if requested, and the end marker. Write errors
// are ignored because the response is already complete.
func (x *exchange) finishStream(out *eventWriter, frame submit.Frame, request submit.Request, o options, f responseFormat) {
	if o.StreamOptions.IncludeUsage {
		last := x.newReply(f.chunkObject, request.Model)
		last.Choices = []any{}
		last.Usage = usageOf(frame.Usage)
		_ = out.send(last)
	}
	_ = out.sendDone()
}

// abortStream ends a started stream with an error event. If the stream has not
// started, it returns err.
func (x *exchange) abortStream(out *eventWriter, err error) error {
	if !out.started {
		return err
	}
	x.recordFailure(outcome.From(err))
	refused.Inc()
	_ = out.send(x.errorBody(err))
	return nil
}
