package schedule

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// queuedJob is a job that waits for an endpoint.
type queuedJob struct {
	job        *Job
	arrived    time.Time
	evaluation evaluation // from the latest queue scan
}

// Tick places queued jobs where possible and refuses those that have waited too long.
func (s *Scheduler) Tick(now time.Time) []Decision {
	out := s.scanQueue(now)
	s.queue = slices.DeleteFunc(s.queue, func(w *queuedJob) bool {
		waited := now.Sub(w.arrived)
		j := w.job.After(waited)
		switch {
		case s.hasNoHome(&j):
			out = append(out, s.refuseWithoutHome(&j))
		case waited < w.job.MaxWait():
			return false
		default:
			out = append(out, s.refuseEvaluated(&j, w.evaluation, s.predictWait(&j, now)))
		}
		return true
	})
	return out
}

// QueueLength returns the number of queued jobs.
func (s *Scheduler) QueueLength() int { return len(s.queue) }

// The minimum time between two queue scans, as each scan evaluates the queued jobs.
const (
	scanInterval = 20 * time.Millisecond
	// scanTimePerEngine is added for each queued job and each engine, so that scans take a
	// bounded share of the processor however long the queue and large the fleet.
	scanTimePerEngine = 4 * time.Microsecond
)

// noNeed is more memory than any job needs.
const noNeed = math.MaxInt

// scanQueue places queued jobs by priority, with jobs that can still be on time first
// and then the earliest due.
func (s *Scheduler) scanQueue(now time.Time) []Decision {
	if len(s.queue) == 0 || now.Before(s.nextScan) {
		return nil
	}
	s.nextScan = now.Add(max(scanInterval, time.Duration(len(s.queue)*len(s.order))*scanTimePerEngine))
	s.fillViews(now)
	s.isScanning = true
	defer func() { s.isScanning = false }()
	full := noNeed
	slices.SortStableFunc(s.queue, func(a, b *queuedJob) int {
		return cmp.Or(cmp.Compare(a.job.Priority, b.job.Priority), compareBool(a.isLate(now), b.isLate(now)), a.dueAt().Compare(b.dueAt()))
	})
	var out []Decision
	s.queue = slices.DeleteFunc(s.queue, func(w *queuedJob) bool {
		if s.awaitsTakeover(w.job, now) {
			return false
		}
		if w.job.need() >= full && w.job.need() <= s.profile.MemoryTokens {
			w.evaluation = evaluation{utilization: s.utilization, atLimit: s.enginesAtLimit}
			return false
		}
		waited := now.Sub(w.arrived)
		j := w.job.After(waited)
		j.yields = j.isLate() && waited < maxYield
		d, e, ok := s.place(&j, now)
		w.evaluation = e
		if e.available == 0 && !j.yields && len(j.Exclude) == 0 && j.Domains == nil {
			full = min(full, j.need())
		}
		if ok {
			out = append(out, d)
		}
		return ok
	})
	return out
}

func (w *queuedJob) dueAt() time.Time { return w.arrived.Add(w.job.Goal) }

// isLate reports whether the job's goal has passed; late jobs go last.
func (w *queuedJob) isLate(now time.Time) bool { return now.After(w.dueAt()) }

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	default:
		return 1
	}
}
