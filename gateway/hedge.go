package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthplank/jacinthplank/schedule"
)

// Hedged calls to the coordinator. A packet that is lost between failure domains is sent
// again after 200 ms or more, which makes the answer to a short prompt late.
const (
	hedgeDelay = 50 * time.Millisecond // several round trips between failure domains
	maxHedges  = 2
)

var (
	hedgedCallsTotal        = metrics.NewCounter("jacinthplank_placer_questions_hedged_total")
	silentCoordinatorsTotal = metrics.NewCounter("jacinthplank_placer_questions_unheard_total")
)

// errCoordinatorSilent means that the coordinator answered no call at all while a job
// with a short goal waited for it: it is frozen or cut off.
var errCoordinatorSilent = errors.New("the coordinator is silent")

// placementResult is the outcome of one call to the coordinator.
type placementResult struct {
	decision schedule.Decision
	err      error
}

// placeHedged asks the coordinator to place a job. While it doesn't answer, it is asked
// again on another connection; it gives the same decision to all calls for a job. A
// coordinator that queues a job answers pings. If it doesn't, a job that can't wait for
// the next one gets errCoordinatorSilent.
func (p *placer) placeHedged(ctx context.Context, address string, j schedule.Job) (schedule.Decision, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan placementResult, 1+maxHedges)
	ask := func() {
		d, err := p.client.place(ctx, address, j)
		results <- placementResult{d, err}
	}
	go ask()
	started := time.Now()
	timer := time.NewTimer(hedgeDelay)
	defer timer.Stop()
	for pending, hedges := 1, 0; ; {
		select {
		case r := <-results:
			pending--
			var redirect *redirectError
			if r.err == nil || pending == 0 || errors.As(r.err, &redirect) {
				return r.decision, r.err
			}
		case <-timer.C:
			if hedges > 0 && !awaitsElection(&j) && !p.heardSince(started) {
				silentCoordinatorsTotal.Inc()
				return schedule.Decision{}, errCoordinatorSilent
			}
			if hedges == maxHedges {
				continue
			}
			go p.pingIfSilent(address, hedgeDelay)
			hedges++
			pending++
			hedgedCallsTotal.Inc()
			go ask()
			timer.Reset(hedgeDelay)
		}
	}
}
