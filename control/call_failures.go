package control

import (
	"log/slog"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
)

const (
	// failureReport is how often calls to a member that keep failing are logged. A failure of
	// less than failureGrace isn't: restarts and elections cause it.
	failureReport = 2 * time.Second
	failureGrace  = time.Second
	// maxFailureLines bounds the lines of all members within failureReport.
	maxFailureLines = 16
)

var callsFailing = metrics.NewGauge("jacinthplank_control_mesh_calls_failing_seconds", nil)

// callFailures reports the members to which calls keep failing. It is safe for concurrent use.
type callFailures struct {
	log *slog.Logger

	mu         sync.Mutex
	failing    map[lane]*failingCalls
	windowEnd  time.Time // of the current bound of lines
	lines      int       // logged in it
	unreported int
}

// failingCalls are the calls to a member since the last one that succeeded.
type failingCalls struct {
	since      time.Time
	last       time.Time
	count      int
	nextReport time.Time
	reported   bool
}

func newCallFailures(log *slog.Logger) *callFailures {
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	return &callFailures{log: log, failing: map[lane]*failingCalls{}}
}

// note records the outcome of a call.
func (f *callFailures) note(l lane, now time.Time, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	defer f.updateGauge()
	calls := f.failing[l]
	if err == nil {
		delete(f.failing, l)
		if calls != nil && calls.reported && f.mayLog(now) {
			f.log.Info("member calls succeed again", "member", l.name, "for_ms", now.Sub(calls.since).Milliseconds(), "address", l.address,
				"failed", calls.count, "bulk", l.isBulk, "step", "control.mesh")
		}
		return
	}
	if calls == nil {
		calls = &failingCalls{since: now, nextReport: now.Add(failureGrace)}
		f.failing[l] = calls
	}
	calls.last = now
	calls.count++
	if now.Before(calls.nextReport) || !f.mayLog(now) {
		return
	}
	calls.reported, calls.nextReport = true, now.Add(failureReport)
	// Collectors may cut the line after 200 characters.
	f.log.Warn("member calls fail", "member", l.name, "for_ms", now.Sub(calls.since).Milliseconds(), "address", l.address,
		"code", connect.CodeOf(err).String(), "failed", calls.count, "bulk", l.isBulk, "error", err.Error(),
		"unreported", f.unreported, "step", "control.mesh")
	f.unreported = 0
}

// mayLog reports whether another line is within the bound. The caller holds the lock.
func (f *callFailures) mayLog(now time.Time) bool {
	if !now.Before(f.windowEnd) {
		f.windowEnd, f.lines = now.Add(failureReport), 0
	}
	if f.lines >= maxFailureLines {
		f.unreported++
		return false
	}
	f.lines++
	return true
}

// updateGauge shows the longest time for which calls to one member have failed. The caller holds
// the lock.
func (f *callFailures) updateGauge() {
	longest := time.Duration(0)
	for _, calls := range f.failing {
		longest = max(longest, calls.last.Sub(calls.since))
	}
	callsFailing.Set(longest.Seconds())
}

// forget drops a member that nothing is sent to any more.
func (f *callFailures) forget(l lane) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.failing, l)
	f.updateGauge()
}

// close drops all members.
func (f *callFailures) close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.failing)
	f.updateGauge()
}
