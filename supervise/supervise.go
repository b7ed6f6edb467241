// Package supervise is the supervisor tree: duties are started in order, each
// as one goroutine that is restarted when it fails, and stopped in reverse
// order of start.
package supervise

import (
	"context"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/thejerf/suture/v4"
)

// Limits on restarts: a duty that fails more often than failureThreshold times
// within failureDecay waits failureBackoff before its next start.
const (
	failureThreshold = 5
	failureDecay     = 30 * time.Second
	failureBackoff   = time.Second
	stopTimeout      = 10 * time.Second
)

var restarts = metrics.NewCounter("jacinthplank_duty_restarts_total")

// ErrDone is what a duty returns that has ended for good.
var ErrDone = suture.ErrDoNotRestart

// Duty is one duty: a loop that runs until its context ends.
type Duty interface {
	// Name is used in logs.
	Name() string
	// Serve runs until ctx ends. Any other return is a failure.
	Serve(ctx context.Context) error
}

// Tree is a supervisor with its duties.
type Tree struct {
	supervisor *suture.Supervisor
	log        *slog.Logger
}

// New returns an empty tree.
func New(name string, log *slog.Logger) *Tree {
	t := &Tree{log: log}
	t.supervisor = suture.New(name, suture.Spec{
		EventHook:        t.event,
		FailureThreshold: failureThreshold,
		FailureDecay:     failureDecay.Seconds(),
		FailureBackoff:   failureBackoff,
		Timeout:          stopTimeout,
	})
	return t
}

// Add puts a duty under the tree.
func (t *Tree) Add(d Duty) { t.supervisor.Add(service{d}) }

// AddTree puts another tree below this one.
func (t *Tree) AddTree(child *Tree) { t.supervisor.Add(child.supervisor) }

// Serve runs the duties until ctx ends.
func (t *Tree) Serve(ctx context.Context) error { return t.supervisor.Serve(ctx) }

func (t *Tree) event(e suture.Event) {
	switch e.Type() {
	case suture.EventTypeServicePanic, suture.EventTypeServiceTerminate:
		restarts.Inc()
		t.log.Warn("duty failed", "event", e.String())
	case suture.EventTypeStopTimeout:
		t.log.Warn("duty did not stop in time", "event", e.String())
	}
}

type service struct{ Duty }

func (s service) String() string { return s.Name() }
