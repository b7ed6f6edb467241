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

// endpoint is a fake endpoint that answers by a script.
type endpoint struct {
	submit.Reserver
	submits int
	script  func(r submit.Request) ([]submit.Frame, error)
}

func (e *endpoint) Submit(_ context.Context, r submit.Request) (submit.Answer, error) {
	e.submits++
	frames, err := e.script(r)
	if frames == nil {
		return nil, err
	}
	return &frameAnswer{frames: frames, err: err}, nil
}

// frameAnswer gives its frames and then err; without one it hangs.
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

// token returns the frame of one token of an attempt.
func token(r submit.Request, offset int, text string, finish engine.Finish) submit.Frame {
	return submit.Frame{Request: r.ID, Attempt: r.Attempt, Offset: offset, Tokens: 1, Text: text, Finish: finish}
}

// router returns a router before endpoints of the given scripts, named a, b, ...
func router(scripts ...func(r submit.Request) ([]submit.Frame, error)) (*entry.Router, []*endpoint) {
	d := directory.New(time.Hour)
	byName := map[string]*endpoint{}
	var list []*endpoint
	for i, script := range scripts {
		name := string(rune('a' + i))
		e := &endpoint{script: script}
		byName[name] = e
		list = append(list, e)
		wait := time.Duration(i) * time.Second // a first, then b, ...
		d.Announce(time.Now(), directory.Endpoint{
			Name: name, Models: []string{"m"}, Incarnation: 1, Sequence: 1, MaxPrompt: 50_000,
			Backlog: submit.Backlog{Wait: wait, LongWait: wait},
		})
	}
	return entry.NewRouter(entry.Options{
		Directory: d,
		Dial:      func(e directory.Endpoint) submit.Endpoint { return byName[e.Name] },
		Seed:      1,
	}), list
}

func request() submit.Request {
	return submit.Request{ID: "r1", Account: "acme", Model: "m", Prompt: engine.Prompt{Tokens: 100}, MaxTokens: 3, Remaining: time.Minute}
}

func read(a submit.Answer) (text string, err error) {
	for {
		f, err := a.Next(context.Background())
		if err != nil {
			return text, err
		}
		text += f.Text
	}
}

func whole(r submit.Request) ([]submit.Frame, error) {
	words := []string{"one ", "two ", "three"}
	var frames []submit.Frame
	for i := r.Offset; i < len(words); i++ {
		frames = append(frames, token(r, i, words[i], engine.FinishNone))
	}
	frames[len(frames)-1].Finish = engine.FinishStop
	return frames, io.EOF
}

func refuse(submit.Request) ([]submit.Frame, error) {
	return nil, outcome.Refuse(outcome.CodeOverloaded, "endpoint.admit", "full")
}

func TestARefusedRequestGoesToAnotherEndpoint(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r, endpoints := router(refuse, whole)
		a, err := r.Submit(t.Context(), request())
		g.Expect(err).NotTo(HaveOccurred())
		text, err := read(a)
		g.Expect(err).To(Equal(io.EOF))
		g.Expect(text).To(Equal("one two three"))
		g.Expect(endpoints[0].submits).To(Equal(1))
	})
}

func TestABrokenAnswerIsContinuedElsewhere(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		broken := func(r submit.Request) ([]submit.Frame, error) {
			stale := token(r, 1, "crossed ", engine.FinishNone)
			stale.Attempt = 7
			return []submit.Frame{token(r, 0, "one ", engine.FinishNone), stale, token(r, 0, "one ", engine.FinishNone)}, io.EOF
		}
		r, _ := router(broken, whole)
		a, err := r.Submit(t.Context(), request())
		g.Expect(err).NotTo(HaveOccurred())
		text, err := read(a)
		g.Expect(err).To(Equal(io.EOF))
		g.Expect(text).To(Equal("one two three"))
	})
}

func TestABrokenAnswerNeverEndsInSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		broken := func(r submit.Request) ([]submit.Frame, error) {
			return []submit.Frame{token(r, 0, "one ", engine.FinishNone)}, io.EOF
		}
		r, _ := router(broken, refuse, refuse)
		a, err := r.Submit(t.Context(), request())
		g.Expect(err).NotTo(HaveOccurred())
		text, err := read(a)
		g.Expect(text).To(Equal("one "))
		g.Expect(outcome.From(err).Code).To(Equal(outcome.CodeTruncated))
		g.Expect(outcome.StateOf(err)).To(Equal(outcome.Ran))
	})
}

func TestTheOutcomeComesByTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		hang := func(r submit.Request) ([]submit.Frame, error) { return []submit.Frame{}, nil }
		r, _ := router(hang)
		start := time.Now()
		a, err := r.Submit(t.Context(), request())
		g.Expect(err).NotTo(HaveOccurred())
		_, err = read(a)
		g.Expect(outcome.From(err).Code).To(Equal(outcome.CodeDeadlinePassed))
		g.Expect(outcome.StateOf(err)).NotTo(Equal(outcome.NotRun))
		g.Expect(time.Since(start)).To(BeNumerically("<=", request().Remaining+100*time.Millisecond))
	})
}

func TestAnUnknownAttemptIsNeverToldAsNotRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		lost := func(submit.Request) ([]submit.Frame, error) {
			return nil, outcome.Fail(outcome.CodeTransport, outcome.Unknown, "wire", errors.New("reset"))
		}
		r, _ := router(lost, refuse, refuse, refuse)
		_, err := r.Submit(t.Context(), request())
		g.Expect(outcome.StateOf(err)).To(Equal(outcome.Unknown))
	})
}
