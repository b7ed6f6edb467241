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

// An endpoint process that froze sends no heartbeats and no frames. Its answer
// is continued elsewhere once its lease ran out, long before the deadline.
func TestASilentEndpointIsLeftWhenItsLeaseRunsOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		frozen := &endpoint{script: func(r submit.Request) ([]submit.Frame, error) {
			return []submit.Frame{token(r, 0, "one ", engine.FinishNone)}, nil
		}}
		healthy := &endpoint{script: whole}
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
		text, err := read(a)
		g.Expect(err).To(Equal(io.EOF))
		g.Expect(text).To(Equal("one two three"))
		g.Expect(time.Since(start)).To(BeNumerically("<", 2*directory.DefaultLease))
		cancel()
		time.Sleep(2 * directory.Heartbeat) // lets the announcer end
	})
}

func TestWorkThatCannotFinishInTimeIsNeverSent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r, endpoints := router(whole)
		late := request()
		late.Prompt.Tokens = 40_000
		late.Remaining = time.Second
		_, err := r.Submit(t.Context(), late)
		g.Expect(outcome.From(err).Code).To(Equal(outcome.CodeDeadline))
		g.Expect(outcome.StateOf(err)).To(Equal(outcome.NotRun))
		g.Expect(endpoints[0].submits).To(BeZero())
	})
}

// An engine that froze behind a healthy endpoint process: heartbeats go on, but
// the first token never comes.
func TestAShortRequestLeavesAnEngineThatGivesNoToken(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		hang := func(submit.Request) ([]submit.Frame, error) { return []submit.Frame{}, nil }
		r, _ := router(hang, whole)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = r.Serve(ctx) }()
		start := time.Now()
		a, err := r.Submit(ctx, request())
		g.Expect(err).NotTo(HaveOccurred())
		text, err := read(a)
		g.Expect(err).To(Equal(io.EOF))
		g.Expect(text).To(Equal("one two three"))
		g.Expect(time.Since(start)).To(BeNumerically("<", 5*time.Second))
	})
}
