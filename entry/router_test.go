package entry_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/directory"
	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/entry"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/submit"
)

// fakeEndpoint is an endpoint whose answers come from a script.
type fakeEndpoint struct {
	submit.Reserver
	submits int
	script  func(r submit.Request) ([]submit.Frame, error)
}

func (e *fakeEndpoint) Submit(_ context.Context, r submit.Request) (submit.Answer, error) {
	e.submits++
	frames, err := e.script(r)
	if frames == nil {
		return nil, err
	}
	return &frameAnswer{frames: frames, err: err}, nil
}

// frameAnswer returns its frames and then err; without err it blocks until ctx ends.
type frameAnswer struct {
	frames []submit.Frame
	err    error
}

func (a *frameAnswer) Next(ctx context.Context) (submit.Frame, error) {
	if len(a.frames) > 0 {
		f := a.frames[0]
		a.frames = a.frames[1:]
		return f, nil
	}
	if a.err != nil {
		return submit.Frame{}, a.err
	}
	<-ctx.Done()
	return submit.Frame{}, outcome.Fail(outcome.CodeTransport, outcome.Unknown, "test", ctx.Err())
}

func (a *frameAnswer) Close() error { return nil }

// token returns a frame with one token of an attempt.
func token(r submit.Request, offset int, text string, finish engine.FinishReason) submit.Frame {
	return submit.Frame{Request: r.ID, Attempt: r.Attempt, Offset: offset, Tokens: 1, Text: text, Finish: finish}
}

// newTestRouter returns a router and endpoints with the given scripts, named a, b, ...
func newTestRouter(scripts ...func(r submit.Request) ([]submit.Frame, error)) (*entry.Router, []*fakeEndpoint) {
	d := directory.New(time.Hour)
	byName := map[string]*fakeEndpoint{}
	var endpoints []*fakeEndpoint
	for i, script := range scripts {
		name := string(rune('a' + i))
		e := &fakeEndpoint{script: script}
		byName[name] = e
		endpoints = append(endpoints, e)
		wait := time.Duration(i) * time.Second // a is preferred, then b, ...
		d.Announce(time.Now(), directory.Endpoint{
			Name: name, Models: []string{"m"}, Incarnation: 1, Sequence: 1, MaxPrompt: 50_000,
			Backlog: submit.Backlog{Wait: wait, LongWait: wait},
		})
	}
	return entry.NewRouter(entry.Options{
		Directory: d,
		Dial:      func(e directory.Endpoint) submit.Endpoint { return byName[e.Name] },
		Seed:      1,
	}), endpoints
}

func request() submit.Request {
	return submit.Request{ID: "r1", Account: "acme", Model: "m", Prompt: engine.Prompt{Tokens: 100}, MaxTokens: 3, Remaining: time.Minute}
}

func readAll(a submit.Answer) (text string, err error) {
	for {
		f, err := a.Next(context.Background())
		if err != nil {
			return text, err
		}
		text += f.Text
	}
}

func answerFully(r submit.Request) ([]submit.Frame, error) {
	words := []string{"one ", "two ", "three"}
	var frames []submit.Frame
	for i := r.Offset; i < len(words); i++ {
		frames = append(frames, token(r, i, words[i], engine.FinishNone))
	}
	frames[len(frames)-1].Finish = engine.FinishStop
	return frames, io.EOF
}

func refuseOverloaded(submit.Request) ([]submit.Frame, error) {
	return nil, outcome.Refuse(outcome.CodeOverloaded, "endpoint.admit", "full")
}

func TestRefusedRequestRetriesOnAnotherEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r, endpoints := newTestRouter(refuseOverloaded, answerFully)
		a, err := r.Submit(t.Context(), request())
		g.Expect(err).NotTo(HaveOccurred())
		text, err := readAll(a)
		g.Expect(err).To(Equal(io.EOF))
		g.Expect(text).To(Equal("one two three"))
		g.Expect(endpoints[0].submits).To(Equal(1))
	})
}

func TestBrokenAnswerContinuesOnAnotherEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		broken := func(r submit.Request) ([]submit.Frame, error) {
			otherAttempt := token(r, 1, "crossed ", engine.FinishNone)
			otherAttempt.Attempt = 7
			return []submit.Frame{token(r, 0, "one ", engine.FinishNone), otherAttempt, token(r, 0, "one ", engine.FinishNone)}, io.EOF
		}
		r, _ := newTestRouter(broken, answerFully)
		a, err := r.Submit(t.Context(), request())
		g.Expect(err).NotTo(HaveOccurred())
		text, err := readAll(a)
		g.Expect(err).To(Equal(io.EOF))
		g.Expect(text).To(Equal("one two three"))
	})
}

func TestUnrecoverableAnswerReportsTruncation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		broken := func(r submit.Request) ([]submit.Frame, error) {
			return []submit.Frame{token(r, 0, "one ", engine.FinishNone)}, io.EOF
		}
		r, _ := newTestRouter(broken, refuseOverloaded, refuseOverloaded)
		a, err := r.Submit(t.Context(), request())
		g.Expect(err).NotTo(HaveOccurred())
		text, err := readAll(a)
		g.Expect(text).To(Equal("one "))
		g.Expect(outcome.From(err).Code).To(Equal(outcome.CodeTruncated))
		g.Expect(outcome.StateOf(err)).To(Equal(outcome.Ran))
	})
}

func TestHungRequestFailsAtDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		hang := func(r submit.Request) ([]submit.Frame, error) { return []submit.Frame{}, nil }
		r, _ := newTestRouter(hang)
		start := time.Now()
		a, err := r.Submit(t.Context(), request())
		g.Expect(err).NotTo(HaveOccurred())
		_, err = readAll(a)
		g.Expect(outcome.From(err).Code).To(Equal(outcome.CodeDeadlinePassed))
		g.Expect(outcome.StateOf(err)).NotTo(Equal(outcome.NotRun))
		g.Expect(time.Since(start)).To(BeNumerically("<=", request().Remaining+100*time.Millisecond))
	})
}

func TestUnknownOutcomeIsNotReportedAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		lost := func(submit.Request) ([]submit.Frame, error) {
			return nil, outcome.Fail(outcome.CodeTransport, outcome.Unknown, "wire", errors.New("reset"))
		}
		r, _ := newTestRouter(lost, refuseOverloaded, refuseOverloaded, refuseOverloaded)
		_, err := r.Submit(t.Context(), request())
		g.Expect(outcome.StateOf(err)).To(Equal(outcome.Unknown))
	})
}
