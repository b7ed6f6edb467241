package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/jacinthplank/jacinthplank/schedule"
)

// followRedirect records the denial of an entry that was taken for the coordinator, and
// switches to the coordinator that it names. It reports false if err names no other one, or one
// that is known to be older.
func (p *placer) followRedirect(address string, err error) bool {
	var redirect *redirectError
	if !errors.As(err, &redirect) {
		return false
	}
	leader := redirect.Leader
	if p.onDenial != nil {
		leader = p.onDenial(address, redirect.Denial)
	}
	if leader == "" || leader == address {
		return false
	}
	p.setCoordinator(leader, false)
	return true
}

// callFailed switches to the coordinator that a denial names, or else suspends calls to the
// one that was called.
func (p *placer) callFailed(address string, err error) {
	if !p.followOutsidePlacement(address, err) {
		p.markCoordinatorFailed(address, err)
	}
}

// followOutsidePlacement is followRedirect for calls that place no job, which have no limit of
// redirects of their own. Two entries that name each other during an election are followed once
// in placementInterval.
func (p *placer) followOutsidePlacement(address string, err error) bool {
	p.mu.Lock()
	mayFollow := p.coordinator == address && !time.Now().Before(p.nextRedirect)
	if mayFollow {
		p.nextRedirect = time.Now().Add(placementInterval)
	}
	p.mu.Unlock()
	return mayFollow && p.followRedirect(address, err)
}

// Long prompts occupy many engines for a long time. An entry that sees only its own
// requests could place them where they delay the most other requests, so these jobs wait
// for the next coordinator.
const (
	minGoalToWait        = time.Second // minimum latency goal of jobs that wait
	electionTimeout      = time.Second // longer than an election takes
	electionPollInterval = placementInterval
)

// awaitsElection reports whether a job can wait for the next coordinator: its goal allows it
// or has passed.
func awaitsElection(j *schedule.Job) bool { return j.Goal <= 0 || j.Goal >= minGoalToWait }

// awaitCoordinator waits for a coordinator other than the failed one if the job's goal
// allows it or has passed. It reports whether there is one.
func (p *placer) awaitCoordinator(ctx context.Context, failed string, j schedule.Job) bool {
	if !awaitsElection(&j) {
		return false
	}
	started := time.Now()
	for time.Since(started) < electionTimeout && ctx.Err() == nil {
		time.Sleep(electionPollInterval)
		p.mu.Lock()
		changed := p.coordinator != failed || p.isCoordinator
		p.mu.Unlock()
		if changed {
			return true
		}
	}
	return false
}

// callCoordinator asks the coordinator to place a job. Closing changed cancels the call.
func (p *placer) callCoordinator(ctx context.Context, address string, changed chan struct{}, j schedule.Job) (schedule.Decision, error) {
	ctx, cancel := context.WithTimeout(ctx, j.MaxWait()+coordinatorCallMargin)
	defer cancel()
	go func() {
		select {
		case <-changed:
			cancel()
		case <-ctx.Done():
		}
	}()
	go p.watchCoordinator(ctx, address)
	if err := p.ensureAdopted(ctx, address); err != nil {
		return schedule.Decision{}, err
	}
	d, err := p.placeHedged(ctx, address, j)
	if err == nil {
		p.mu.Lock()
		p.lastHeard = time.Now()
		p.mu.Unlock()
	}
	return d, err
}

// ensureAdopted sends the running jobs of this entry to a new coordinator.
func (p *placer) ensureAdopted(ctx context.Context, address string) error {
	p.mu.Lock()
	if p.adopted {
		p.mu.Unlock()
		return nil
	}
	p.pendingReport = reportRequest{}
	p.adopted = true
	p.mu.Unlock()
	err := p.sendLists(ctx, address, true)
	if err != nil {
		p.mu.Lock()
		p.adopted = false
		p.mu.Unlock()
	}
	return err
}

// markCoordinatorFailed suspends calls to an unresponsive coordinator for
// coordinatorBackoff.
func (p *placer) markCoordinatorFailed(address string, err error) {
	coordinatorCallsFailedTotal.Inc()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.coordinator != address || time.Now().Before(p.backoffUntil) {
		return
	}
	p.backoffUntil = time.Now().Add(coordinatorBackoff)
	p.adopted = false
	p.cancelCoordinatorCalls()
	p.log.Warn("coordinator does not answer", "step", "gateway.place", "address", address, "error", err.Error())
}

// recordDecision keeps a decision of the coordinator for local placement when there is
// none.
func (p *placer) recordDecision(j schedule.Job, d schedule.Decision) {
	if d.Refused() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.schedulers[j.Service]; s != nil {
		p.serviceByJob[j.ID] = j.Service
		s.Adopt(schedule.PlacedJob{Job: j, Decision: d}, time.Now())
	}
}
