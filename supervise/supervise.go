// Package supervise implements a supervisor tree. Duties start in order, each in
// its own goroutine that is restarted on failure, and stop in reverse start
// order.
package supervise

import (
	"context"
	"log/slog"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/thejerf/suture/v4"
)

// Limits on restarts and stops. After more than failureThreshold failures within
// about failureDecay, restarts are delayed by failureBackoff. A duty that does not
// stop within stopTimeout is abandoned.
const (
	failureThreshold = 5
	failureDecay     = 30 * time.Second
	failureBackoff   = time.Second
	stopTimeout      = 10 * time.Second
)

var restarts = metrics.NewCounter("jacinthplank_duty_restarts_total")

// ErrDone is returned by a duty that has finished and must not be restarted.
var ErrDone = suture.ErrDoNotRestart

// Duty is a long-running task that runs until its context ends.
type Duty interface {
	// Name returns the name used in logs.
	Name() string
	// Serve runs until ctx ends. An earlier return is a failure, unless it
	// returns ErrDone.
	Serve(ctx context.Context) error
}

// Tree is a supervisor and its duties.
type Tree struct {
	supervisor *suture.Supervisor
	log        *slog.Logger
}

// New returns an empty tree.
func New(name string, log *slog.Logger) *Tree {
	tree := &Tree{log: log}
	tree.supervisor = suture.New(name, suture.Spec{
		EventHook:        tree.handleEvent,
		FailureThreshold: failureThreshold,
		FailureDecay:     failureDecay.Seconds(),
		FailureBackoff:   failureBackoff,
		Timeout:          stopTimeout,
	})
	return tree
}

// Add adds a duty to the tree.
func (t *Tree) Add(d Duty) { t.supervisor.Add(service{d}) }

// AddTree adds child as a subtree.
func (t *Tree) AddTree(child *Tree) { t.supervisor.Add(child.supervisor) }

// Serve runs the duties until ctx ends.
func (t *Tree) Serve(ctx context.Context) error { return t.supervisor.Serve(ctx) }

func (t *Tree) handleEvent(e suture.Event) {
	switch e.Type() {
	case suture.EventTypeServicePanic, suture.EventTypeServiceTerminate:
		restarts.Inc()
		t.log.Warn("duty failed", "event", e.String())
	case suture.EventTypeStopTimeout:
		t.log.Warn("duty did not stop within the timeout", "event", e.String())
	}
}

// service adapts a Duty to suture, which takes a service's name from String.
type service struct{ Duty }

func (s service) String() string { return s.Name() }
