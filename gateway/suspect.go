package gateway

import (
	"slices"
	"time"
)

// reportFailing records that an endpoint failed a request or a part of one, here and at
// the coordinator. A dead engine may be a helper of many prompts, each of which would
// fail before the breaker of its own entry opens.
func (p *placer) reportFailing(endpoint string) {
	p.suspect(endpoint)
	p.queue(func(pending *reportRequest) {
		if !slices.Contains(pending.Failing, endpoint) {
			pending.Failing = append(pending.Failing, endpoint)
		}
	})
}

// suspect marks an endpoint as failing until it responds.
func (p *placer) suspect(endpoint string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.schedulers {
		s.Suspect(endpoint, time.Now())
	}
	if p.isCoordinator && p.onSuspect != nil {
		go p.onSuspect(endpoint)
	}
}

// respond records that an endpoint responded to a call sent at a time.
func (p *placer) respond(endpoint string, sentAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.schedulers {
		s.Respond(endpoint, sentAt)
	}
}

// suspectSilent marks an endpoint that did not answer a probe as failing.
func (p *placer) suspectSilent(endpoint string, sentAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.schedulers {
		s.Suspect(endpoint, sentAt)
	}
}
