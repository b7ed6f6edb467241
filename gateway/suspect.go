package gateway

import (
	"slices"
	"time"
)

// reportFailing records that an endpoint failed a request or a part of one, here and at
// the coordinator. A dead engine may be a helper of many prompts, each of which would
// fail before the breaker of its own entry opens.
func (p *placer) reportFailing(endpoint string) {
	p.suspectAndProbe(endpoint, "it failed a request")
	p.queue(func(pending *reportRequest) {
		if !slices.Contains(pending.Failing, endpoint) {
			pending.Failing = append(pending.Failing, endpoint)
		}
	})
}

// suspect marks an endpoint as failing since a time, until it responds to a later call.
func (p *placer) suspect(endpoint string, since time.Time, reason string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.schedulers {
		if s.Suspect(endpoint, since) && p.isCoordinator {
			p.log.Info("endpoint suspected", "step", "gateway.suspect", "endpoint", endpoint, "reason", reason)
		}
	}
}

// suspectAndProbe marks an endpoint as failing. On the coordinator it is probed at once.
func (p *placer) suspectAndProbe(endpoint, reason string) {
	p.suspect(endpoint, time.Now(), reason)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isCoordinator && p.onSuspect != nil {
		go p.onSuspect(endpoint)
	}
}

// respond records that an endpoint responded to a call sent at a time.
func (p *placer) respond(endpoint string, sentAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.schedulers {
		if s.Respond(endpoint, sentAt) {
			p.log.Info("suspected endpoint responds", "step", "gateway.suspect", "endpoint", endpoint)
		}
	}
}
