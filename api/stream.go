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

// events writes server-sent events.
type events struct {
	w       http.ResponseWriter
	flusher *http.ResponseController
	started bool
}

// send writes one event. The status line goes out with the first.
func (e *events) send(v any) error {
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

func (e *events) done() error { return e.write([]byte("[DONE]")) }

func (e *events) write(data []byte) error {
	line := make([]byte, 0, len(data)+8)
	line = append(line, "data: "...)
	line = append(line, data...)
	line = append(line, '\n', '\n')
	if _, err := e.w.Write(line); err != nil {
		return err
	}
	return e.flusher.Flush()
}

// stream writes the answer piece by piece. A failure after the first piece is
// told in an event of its own, and the stream then ends without "[DONE]".
func (x *exchange) stream(ctx context.Context, answer submit.Answer, request submit.Request, o options, f form) error {
	out := &events{w: x.w, flusher: http.NewResponseController(x.w)}
	for {
		frame, err := answer.Next(ctx)
		if err != nil {
			return x.breakOff(out, x.late(ctx, endless(err)))
		}
		if frame.Text == "" && frame.Finish == engine.FinishNone {
			continue
		}
		if err := x.sendFrame(out, frame, request, f); err != nil {
			x.record(timeline.KindCanceled, string(outcome.CodeCanceled), "the caller went away")
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

// sendFrame writes the text of a frame and, apart from it, the finish.
func (x *exchange) sendFrame(out *events, frame submit.Frame, request submit.Request, f form) error {
	if frame.Text != "" {
		first := !out.started
		if first {
			x.record(timeline.KindFirstToken, "", "after "+x.sinceStart().String())
		}
		if err := out.send(x.reply(f.chunkObject, request.Model, f.chunk(frame.Text, first, nil))); err != nil {
			return err
		}
	}
	if frame.Finish == engine.FinishNone {
		return nil
	}
	return out.send(x.reply(f.chunkObject, request.Model, f.chunk("", !out.started, finishReason(frame.Finish))))
}

// finishStream writes what follows the finish. The answer is whole by then, so
// a caller who left misses nothing.
func (x *exchange) finishStream(out *events, frame submit.Frame, request submit.Request, o options, f form) {
	if o.StreamOptions.IncludeUsage {
		last := x.reply(f.chunkObject, request.Model)
		last.Choices = []any{}
		last.Usage = usageOf(frame.Usage)
		_ = out.send(last)
	}
	_ = out.done()
}

// breakOff ends a stream with its failure.
func (x *exchange) breakOff(out *events, err error) error {
	if !out.started {
		return err
	}
	x.recordFailure(outcome.From(err))
	refused.Inc()
	_ = out.send(x.errorBody(err))
	return nil
}
