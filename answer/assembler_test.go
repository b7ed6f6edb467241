package answer_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/jacinthplank/jacinthplank/answer"
	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/submit"
)

func frame(request string, attempt uint32, offset int) submit.Frame {
	return submit.Frame{Request: request, Attempt: attempt, Offset: offset, Tokens: 1, Text: fmt.Sprint(offset, " ")}
}

// Whatever comes crossed, late or twice among the frames of an attempt, the
// answer has every token once and in order, or there is an error.
func TestFramesInAnyMixtureGiveEachTokenOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		a := answer.New("r", "", 0)
		a.BeginAttempt(2)
		next := 0
		for range rapid.IntRange(1, 60).Draw(t, "frames") {
			f := frame(
				rapid.SampledFrom([]string{"r", "r", "r", "other"}).Draw(t, "request"),
				rapid.SampledFrom([]uint32{2, 2, 2, 1}).Draw(t, "attempt"),
				max(next+rapid.IntRange(-3, 1).Draw(t, "distance"), 0),
			)
			taken, err := a.Accept(f)
			own := f.Request == "r" && f.Attempt == 2
			g.Expect(taken).To(Equal(own && f.Offset == next))
			g.Expect(err != nil).To(Equal(own && f.Offset > next), "a gap")
			if taken {
				next++
			}
		}
		text := ""
		for i := range next {
			text += fmt.Sprint(i, " ")
		}
		g.Expect(a.Text()).To(Equal(text))
		g.Expect(a.Complete()).To(BeFalse(), "without a finish")
	})
}

func TestNothingCountsAfterTheFinish(t *testing.T) {
	g := NewWithT(t)
	a := answer.New("r", "so far ", 2)
	a.BeginAttempt(1)
	last := frame("r", 1, 2)
	last.Finish = engine.FinishStop
	g.Expect(a.Accept(last)).To(BeTrue())
	g.Expect(a.Complete()).To(BeTrue())
	g.Expect(a.Accept(frame("r", 1, 3))).To(BeFalse())
	g.Expect(a.Text()).To(Equal("so far 2 "))
}

func TestAGapIsNoEnd(t *testing.T) {
	g := NewWithT(t)
	a := answer.New("r", "", 0)
	a.BeginAttempt(1)
	_, err := a.Accept(frame("r", 1, 1))
	g.Expect(outcome.From(err).Code).To(Equal(outcome.CodeTruncated))
	g.Expect(outcome.StateOf(err)).To(Equal(outcome.Ran))
}
