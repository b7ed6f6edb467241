// Package answer puts the frames of one answer in order. Frames may come late,
// twice, or from an attempt that was given up; what the caller gets is every
// token once, in order, and an end only when the engine said so.
package answer

import (
	"strings"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/submit"
)

const step = "entry.answer"

var (
	crossed  = metrics.NewCounter(`jacinthplank_answer_dropped_frames_total{reason="other_attempt"}`)
	repeated = metrics.NewCounter(`jacinthplank_answer_dropped_frames_total{reason="repeated"}`)
	gaps     = metrics.NewCounter("jacinthplank_answer_gaps_total")
)

// Assembler checks the frames of one request. It is not safe for concurrent use.
type Assembler struct {
	request string
	attempt uint32
	offset  int
	text    strings.Builder
	finish  engine.Finish
	dropped int
}

// New returns an assembler for a request, of which an answer up to offset
// tokens with the given text is known already.
func New(request, generated string, offset int) *Assembler {
	a := &Assembler{request: request, offset: offset}
	a.text.WriteString(generated)
	return a
}

// BeginAttempt starts an attempt: from now on, only its frames count.
func (a *Assembler) BeginAttempt(attempt uint32) { a.attempt = attempt }

// Offset returns the number of tokens so far.
func (a *Assembler) Offset() int { return a.offset }

// Text returns the answer so far.
func (a *Assembler) Text() string { return a.text.String() }

// Complete reports whether the frame with a Finish was taken.
func (a *Assembler) Complete() bool { return a.finish != engine.FinishNone }

// Dropped returns how many frames did not count.
func (a *Assembler) Dropped() int { return a.dropped }

// Accept checks one frame. It returns true when the frame continues the answer,
// false when it is to be dropped, and an error when frames before it are
// missing: the attempt can't be used any further then.
func (a *Assembler) Accept(f submit.Frame) (bool, error) {
	switch {
	case f.Request != a.request || f.Attempt != a.attempt || a.Complete():
		return a.drop(crossed), nil
	case f.Offset < a.offset:
		return a.drop(repeated), nil
	case f.Offset > a.offset:
		gaps.Inc()
		return false, a.gap(f)
	}
	a.offset += f.Tokens
	a.text.WriteString(f.Text)
	a.finish = f.Finish
	return true, nil
}

func (a *Assembler) drop(reason *metrics.Counter) bool {
	reason.Inc()
	a.dropped++
	return false
}

func (a *Assembler) gap(f submit.Frame) error {
	return &outcome.Error{
		Code:    outcome.CodeTruncated,
		State:   outcome.Ran,
		Step:    step,
		Message: "frames of the answer are missing",
	}
}
