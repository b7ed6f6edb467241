package entry_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/breaker"
	"github.com/jacinthplank/jacinthplank/directory"
	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/entry"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/placement"
	"github.com/jacinthplank/jacinthplank/submit"
)

// A probe that ends without a result keeps its endpoint blocked for a pause, not
// for the probe's timeout of 30 s.
func TestProbeWithoutResultIsReleased(t *testing.T) {
	hang := func(submit.Request) ([]submit.Frame, error) { return []submit.Frame{}, nil }
	tests := []struct {
		name string
		end  func(g Gomega, r *entry.Router)
	}{
		{"caller closes the answer", func(g Gomega, r *entry.Router) {
			a, err := r.Submit(context.Background(), request())
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(a.Close()).To(Succeed())
		}},
		{"caller leaves", func(g Gomega, r *entry.Router) {
			ctx, cancel := context.WithCancel(context.Background())
			time.AfterFunc(time.Second, cancel)
			a, err := r.Submit(ctx, request())
			g.Expect(err).NotTo(HaveOccurred())
			_, err = readAll(a)
			g.Expect(outcome.From(err).Code).To(Equal(outcome.CodeCanceled))
		}},
		{"deadline passes", func(g Gomega, r *entry.Router) {
			expiring := request()
			expiring.Remaining = time.Second
			a, err := r.Submit(context.Background(), expiring)
			g.Expect(err).NotTo(HaveOccurred())
			_, err = readAll(a)
			g.Expect(outcome.From(err).Code).To(Equal(outcome.CodeDeadlinePassed))
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				failing, hanging := true, true
				r, endpoints := newTestRouter(func(q submit.Request) ([]submit.Frame, error) {
					switch {
					case failing:
						return nil, outcome.Fail(outcome.CodeEngineFailed, outcome.Unknown, "test", errors.New("down"))
					case hanging:
						return hang(q)
					}
					return answerFully(q)
				})
				for r.Breaker("a") == breaker.Closed {
					_, err := r.Submit(t.Context(), request())
					g.Expect(err).To(HaveOccurred())
				}
				failing = false
				time.Sleep(2 * time.Second)
				before := endpoints[0].submits
				test.end(g, r)
				g.Expect(endpoints[0].submits).To(Equal(before + 1))
				g.Expect(r.Breaker("a")).To(Equal(breaker.Open))

				hanging = false
				time.Sleep(2 * time.Second)
				a, err := r.Submit(t.Context(), request())
				g.Expect(err).NotTo(HaveOccurred())
				text, err := readAll(a)
				g.Expect(err).To(Equal(io.EOF))
				g.Expect(text).To(Equal("one two three"))
				g.Expect(r.Breaker("a")).To(Equal(breaker.Closed))
			})
		})
	}
}

// fixedPolicy chooses one endpoint while its breaker lets requests pass.
type fixedPolicy struct {
	placement.Policy
	name string
}

func (p *fixedPolicy) Choose(q *placement.Query, members []*directory.Member) (placement.Choice, bool) {
	for _, m := range members {
		if m.Name == p.name && !q.Blocked(m) {
			return placement.Choice{Member: m}, true
		}
	}
	return placement.Choice{}, false
}

// A probe of an endpoint that was ejected as slow may be refused or answered without
// a token, which says nothing of its latency. The next probe follows after a pause
// and closes the breaker.
func TestProbeOfSlowEndpointWithoutLatencyIsReleased(t *testing.T) {
	tests := []struct {
		name  string
		probe func(submit.Request) ([]submit.Frame, error)
	}{
		{"answer without a token", func(q submit.Request) ([]submit.Frame, error) {
			last := token(q, 0, "", engine.FinishStop)
			last.Tokens = 0
			return []submit.Frame{last}, io.EOF
		}},
		{"refusal", refuseOverloaded},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				script := func(q submit.Request) ([]submit.Frame, error) {
					time.Sleep(1500 * time.Millisecond)
					return answerFully(q)
				}
				d := directory.New(time.Hour)
				for _, name := range []string{"slow", "b", "c", "d", "e"} {
					d.Announce(time.Now(), directory.Endpoint{Name: name, Models: []string{"m"}, Incarnation: 1, Sequence: 1, MaxPrompt: 50_000})
				}
				policy := &fixedPolicy{Policy: placement.NewPlacer()}
				r := entry.NewRouter(entry.Options{Directory: d, Policy: policy, Seed: 1, Dial: func(e directory.Endpoint) submit.Endpoint {
					if e.Name != "slow" {
						return &fakeEndpoint{script: answerFully}
					}
					return &fakeEndpoint{script: func(q submit.Request) ([]submit.Frame, error) { return script(q) }}
				}})
				ask := func(name string) error {
					policy.name = name
					a, err := r.Submit(t.Context(), request())
					if err == nil {
						_, err = readAll(a)
					}
					return err
				}
				for _, name := range []string{"b", "c", "d", "e", "slow"} {
					for range 4 {
						g.Expect(ask(name)).To(Equal(io.EOF))
					}
				}
				ctx, cancel := context.WithCancel(t.Context())
				served := make(chan struct{})
				go func() { defer close(served); _ = r.Serve(ctx) }()
				defer func() { cancel(); <-served }()
				time.Sleep(500 * time.Millisecond)
				g.Expect(r.Breaker("slow")).To(Equal(breaker.Open))

				time.Sleep(2 * time.Second)
				script = test.probe
				g.Expect(ask("slow")).To(HaveOccurred())
				g.Expect(r.Breaker("slow")).To(Equal(breaker.Open))

				time.Sleep(2 * time.Second)
				script = answerFully
				g.Expect(ask("slow")).To(Equal(io.EOF))
				g.Expect(r.Breaker("slow")).To(Equal(breaker.Closed))
			})
		})
	}
}
