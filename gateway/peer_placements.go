package gateway

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/jacinthplank/jacinthplank/schedule"
)

// placementRetention is how long the decision on a job is repeated to an entry that asks
// again. A call that was lost on a link is delivered within a few retransmissions.
const placementRetention = 2 * time.Second

// peerPlacements makes placements for other entries idempotent: calls for the same job
// get the same decision, also when the job has ended meanwhile. It is safe for concurrent
// use.
type peerPlacements struct {
	mu     sync.Mutex
	byJob  map[string]*peerPlacement
	recent []decidedPlacement // in order of decision
}

// peerPlacement is the placement of one job.
type peerPlacement struct {
	cancel  context.CancelFunc
	callers int           // that wait for the decision
	decided chan struct{} // closed once decision and err are set

	decision schedule.Decision
	err      error
}

type decidedPlacement struct {
	job string
	at  time.Time
}

func newPeerPlacements() *peerPlacements {
	return &peerPlacements{byJob: map[string]*peerPlacement{}}
}

// do returns the decision on a job. place makes it, once for all callers; its context ends
// when the last of them has left. An error is not kept.
func (p *peerPlacements) do(ctx context.Context, job string, place func(context.Context) (schedule.Decision, error)) (schedule.Decision, error) {
	p.mu.Lock()
	p.dropExpired(time.Now())
	current, isJoined := p.byJob[job]
	if !isJoined {
		current = &peerPlacement{decided: make(chan struct{})}
		p.byJob[job] = current
	}
	current.callers++
	var placeCtx context.Context
	if !isJoined {
		placeCtx, current.cancel = context.WithCancel(context.WithoutCancel(ctx))
	}
	p.mu.Unlock()
	defer context.AfterFunc(ctx, func() { p.leave(current) })()
	if !isJoined {
		d, err := place(placeCtx)
		p.finish(job, current, d, err)
		return d, err
	}
	select {
	case <-current.decided:
		return current.decision, current.err
	case <-ctx.Done():
		return schedule.Decision{}, context.Cause(ctx)
	}
}

// leave records that a caller no longer waits.
func (p *peerPlacements) leave(current *peerPlacement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if current.callers--; current.callers == 0 {
		current.cancel()
	}
}

func (p *peerPlacements) finish(job string, current *peerPlacement, d schedule.Decision, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	current.cancel()
	current.decision, current.err = d, err
	close(current.decided)
	if err != nil {
		delete(p.byJob, job)
		return
	}
	p.recent = append(p.recent, decidedPlacement{job: job, at: time.Now()})
}

// dropExpired drops decisions older than placementRetention. The caller holds the lock.
func (p *peerPlacements) dropExpired(now time.Time) {
	n := 0
	for n < len(p.recent) && now.Sub(p.recent[n].at) > placementRetention {
		delete(p.byJob, p.recent[n].job)
		n++
	}
	p.recent = p.recent[n:]
}

// placeForPeer places a job of another entry, as the coordinator. It returns
// errNotCoordinator if this entry stops being the coordinator while the job is queued. An
// entry that asks again for the same job gets the same decision.
func (p *placer) placeForPeer(ctx context.Context, j schedule.Job) (schedule.Decision, error) {
	if err := j.Validate(); err != nil {
		return schedule.Decision{Job: j.ID, Reason: err.Error()}, nil
	}
	p.mu.Lock()
	changed := p.coordinatorChanged
	p.mu.Unlock()
	d, err := p.peerPlacements.do(ctx, j.Owner+"/"+j.ID, func(ctx context.Context) (schedule.Decision, error) {
		return p.placeLocally(ctx, j, changed)
	})
	if errors.Is(err, errCoordinatorChanged) {
		return d, errNotCoordinator
	}
	return d, err
}
