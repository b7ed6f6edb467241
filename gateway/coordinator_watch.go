package gateway

import (
	"context"
	"time"
)

// introduce sends the running jobs of this entry to a new coordinator at once, so that
// its first decisions consider them.
func (p *placer) introduce(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	if err := p.ensureAdopted(ctx, address); err != nil {
		p.log.Info("new coordinator did not take the job list", "step", "gateway.introduce", "address", address, "error", err.Error())
		p.followOutsidePlacement(address, err)
	}
}

// A call to the coordinator lasts as long as the job is queued there, so a coordinator
// that froze or is cut off is detected by a ping.
const (
	pingDelay   = 100 * time.Millisecond // without any message from the coordinator
	pingTimeout = 200 * time.Millisecond
)

// watchCoordinator pings the coordinator while calls wait for it and it is silent. It
// marks it as failed when a ping is not answered. It returns when ctx ends.
func (p *placer) watchCoordinator(ctx context.Context, address string) {
	ticker := time.NewTicker(pingDelay)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		p.pingIfSilent(address, pingDelay)
	}
}

// pingIfSilent pings the coordinator if it was silent for a time and no other call pings
// it.
func (p *placer) pingIfSilent(address string, silence time.Duration) {
	if !p.startPing(address, silence) {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	p.endPing(address, p.sendReport(ctx, address, &reportRequest{}))
}

func (p *placer) startPing(address string, silence time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pinging || p.coordinator != address || time.Since(p.lastHeard) < silence {
		return false
	}
	p.pinging = true
	return true
}

func (p *placer) endPing(address string, err error) {
	p.mu.Lock()
	p.pinging = false
	if err == nil {
		p.lastHeard = time.Now()
	}
	p.mu.Unlock()
	if err != nil {
		p.callFailed(address, err)
	}
}

// heardSince reports whether the coordinator has answered a call since a time.
func (p *placer) heardSince(t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastHeard.After(t)
}

// reconcileInterval is how often the full job list is sent to the coordinator. It limits
// how long the effects of a lost report last.
const reconcileInterval = time.Second

// resyncJobs sends all jobs of this entry to the coordinator. An entry without jobs learns
// the verdicts of the coordinator in this way.
func (p *placer) resyncJobs(ctx context.Context) {
	p.mu.Lock()
	address, isAdopted, mustReportEnds := p.coordinator, p.adopted, p.mustReportEnds
	due := address != "" && !time.Now().Before(p.backoffUntil)
	p.mu.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var err error
	if isAdopted {
		err = p.sendLists(ctx, address, mustReportEnds)
	} else {
		err = p.ensureAdopted(ctx, address)
	}
	if err != nil {
		p.callFailed(address, err)
	}
}
