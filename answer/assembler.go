// Package answer assembles the frames of one answer. Frames may arrive late, be
// duplicated, or belong to an abandoned attempt. The caller receives each token once and
// in order, and an end only if the engine reported one.
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
	otherAttemptFrames = metrics.NewCounter(`jacinthplank_answer_dropped_frames_total{reason="other_attempt"}`)
	repeatedFrames     = metrics.NewCounter(`jacinthplank_answer_dropped_frames_total{reason="repeated"}`)
	gapsTotal          = metrics.NewCounter("jacinthplank_answer_gaps_total")
)

// Assembler validates the frames of one request. It is not safe for concurrent use.
type Assembler struct {
	request string
	attempt uint32
	offset  int
	text    strings.Builder
	finish  engine.FinishReason
	dropped int
}

// New returns an assembler for a request whose answer already has offset tokens with
// the given text.
func New(request, generated string, offset int) *Assembler {
	a := &Assembler{request: request, offset: offset}
	a.text.WriteString(generated)
	return a
}

// BeginAttempt starts an attempt. Frames of other attempts are dropped from then on.
func (a *Assembler) BeginAttempt(attempt uint32) { a.attempt = attempt }

// Offset returns the number of tokens accepted so far.
func (a *Assembler) Offset() int { return a.offset }

// Text returns the text accepted so far.
func (a *Assembler) Text() string { return a.text.String() }

// Complete reports whether the final frame, which carries a Finish, was accepted.
func (a *Assembler) Complete() bool { return a.finish != engine.FinishNone }

// Dropped returns the number of dropped frames.
func (a *Assembler) Dropped() int { return a.dropped }

// Accept adds one frame to the answer. It returns true if the frame continues the
// answer and false if it is dropped. It returns an error if earlier frames are missing;
// the attempt cannot continue then.
func (a *Assembler) Accept(f submit.Frame) (bool, error) {
	switch {
	case f.Request != a.request || f.Attempt != a.attempt || a.Complete():
		return a.drop(otherAttemptFrames), nil
	case f.Offset < a.offset:
		return a.drop(repeatedFrames), nil
	case f.Offset > a.offset:
		gapsTotal.Inc()
		return false, a.gapError(f)
	}
	a.offset += f.Tokens
	a.text.WriteString(f.Text)
	a.finish = f.Finish
	return true, nil
}

func (a *Assembler) drop(counter *metrics.Counter) bool {
	counter.Inc()
	a.dropped++
	return false
}

func (a *Assembler) gapError(f submit.Frame) error {
	return &outcome.Error{
		Code:    outcome.CodeTruncated,
		State:   outcome.Ran,
		Step:    step,
		Message: "frames of the answer are missing",
	}
}
