package entry_test

import (
	"context"
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

// A frozen endpoint process sends no heartbeats and no frames. Its answer is
// continued at another endpoint once its lease has expired, long before the
// deadline.
func TestAnswerMovesWhenEndpointLeaseExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		frozen := &fakeEndpoint{script: func(r submit.Request) ([]submit.Frame, error) {
			return []submit.Frame{token(r, 0, "one ", engine.FinishNone)}, nil
		}}
		healthy := &fakeEndpoint{script: answerFully}
		d := directory.New(0)
		announce := func(name string, wait time.Duration, sequence uint64) {
			d.Announce(time.Now(), directory.Endpoint{
				Name: name, Models: []string{"m"}, Incarnation: 1, Sequence: sequence, Backlog: submit.Backlog{Wait: wait},
			})
		}
		announce("frozen", 0, 1)
		announce("healthy", time.Second, 1)
		r := entry.NewRouter(entry.Options{Directory: d, Seed: 1, Dial: func(e directory.Endpoint) submit.Endpoint {
			if e.Name == "frozen" {
				return frozen
			}
			return healthy
		}})
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = r.Serve(ctx) }()
		go func() {
			for sequence := uint64(2); ctx.Err() == nil; sequence++ {
				time.Sleep(directory.Heartbeat)
				announce("healthy", time.Second, sequence)
			}
		}()

		start := time.Now()
		a, err := r.Submit(ctx, request())
		g.Expect(err).NotTo(HaveOccurred())
		text, err := readAll(a)
		g.Expect(err).To(Equal(io.EOF))
		g.Expect(text).To(Equal("one two three"))
		g.Expect(time.Since(start)).To(BeNumerically("<", 2*directory.DefaultLease))
		cancel()
		time.Sleep(2 * directory.Heartbeat) // lets the announcing goroutine exit
	})
}

func TestInfeasibleDeadlineIsRefusedBeforeSubmit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r, endpoints := newTestRouter(answerFully)
		infeasible := request()
		infeasible.Prompt.Tokens = 40_000
		infeasible.Remaining = time.Second
		_, err := r.Submit(t.Context(), infeasible)
		g.Expect(outcome.From(err).Code).To(Equal(outcome.CodeDeadlineInfeasible))
		g.Expect(outcome.StateOf(err)).To(Equal(outcome.NotRun))
		g.Expect(endpoints[0].submits).To(BeZero())
	})
}

// The engine behind a healthy endpoint process is frozen: heartbeats continue, but
// the first token never arrives.
func TestShortRequestMovesOffStalledEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		hang := func(submit.Request) ([]submit.Frame, error) { return []submit.Frame{}, nil }
		r, _ := newTestRouter(hang, answerFully)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = r.Serve(ctx) }()
		start := time.Now()
		a, err := r.Submit(ctx, request())
		g.Expect(err).NotTo(HaveOccurred())
		text, err := readAll(a)
		g.Expect(err).To(Equal(io.EOF))
		g.Expect(text).To(Equal("one two three"))
		g.Expect(time.Since(start)).To(BeNumerically("<", 5*time.Second))
	})
}
