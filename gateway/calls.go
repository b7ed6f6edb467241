package gateway

import (
	"time"

	"github.com/jacinthplank/jacinthplank/spill"
)

// callReport is what an entry tells about its calls to endpoints of plain services.
type callReport struct {
	Caller string                      `json:"caller,omitempty"` // the entry
	Calls  map[string]spill.CallReport `json:"calls,omitempty"`  // by endpoint; complete
}

// callStates are the calls of the other entries, by endpoint.
type callStates map[string]spill.CallState

// statesExpire is how long the states that the coordinator told are used. Entries report, and
// are told, at least once a second.
const statesExpire = 2 * time.Second

// reportCalls tells the coordinator of a call to a plain service that began or ended.
func (p *placer) reportCalls() {
	p.mu.Lock()
	hasCoordinator := p.coordinator != "" && p.adopted
	p.mu.Unlock()
	if !hasCoordinator {
		p.takeCallReport()
		return
	}
	p.queue(func(pending *reportRequest) { pending.isDue = true })
}

// takeCallReport returns what is to be reported about calls. This entry keeps it as well, for
// the time without a coordinator.
func (p *placer) takeCallReport() callReport {
	if p.takeCalls == nil {
		return callReport{}
	}
	r := callReport{Caller: p.self, Calls: p.takeCalls()}
	p.mergeCalls(&r)
	return r
}

// mergeCalls keeps the report of an entry.
func (p *placer) mergeCalls(r *callReport) {
	if r.Caller == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.calls.Merge(r.Caller, r.Calls, time.Now())
}

// callStatesFor returns what is known of the calls of entries other than the given one.
func (p *placer) callStatesFor(caller string) callStates {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.calls.States(caller, time.Now())
}

// followCallStates takes over what the coordinator knows of the calls of other entries.
func (p *placer) followCallStates(states callStates) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.toldCalls, p.toldCallsAt = states, time.Now()
}

// knownCalls returns what is known of the calls of other entries, here or by the coordinator.
func (p *placer) knownCalls(now time.Time) callStates {
	p.mu.Lock()
	if !p.isCoordinator && now.Sub(p.toldCallsAt) <= statesExpire {
		defer p.mu.Unlock()
		return p.toldCalls
	}
	p.mu.Unlock()
	return p.callStatesFor(p.self)
}
