package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/jacinthplank/jacinthplank/announce"
	"github.com/jacinthplank/jacinthplank/breaker"
	"github.com/jacinthplank/jacinthplank/route"
	"github.com/jacinthplank/jacinthplank/schedule"
)

// placePeriod is how often waiting jobs are looked at, also when no other ends.
const placePeriod = 50 * time.Millisecond

// placer runs the schedulers of the engine services: one for each.
type placer struct {
	breakers *breaker.Set

	mu         sync.Mutex
	schedulers map[string]*schedule.Scheduler // by service
	waiting    map[string]chan schedule.Decision
	service    map[string]string // of each job
}

func newPlacer(b *breaker.Set) *placer {
	return &placer{
		breakers: b, schedulers: map[string]*schedule.Scheduler{},
		waiting: map[string]chan schedule.Decision{}, service: map[string]string{},
	}
}

// configure makes schedulers for the engine services of a table.
func (p *placer) configure(t *route.Table) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range t.Services {
		s := &t.Services[i]
		if s.Engine == nil {
			continue
		}
		if known := p.schedulers[s.Name]; known != nil {
			known.SetFigures(*s.Engine)
		} else {
			p.schedulers[s.Name] = schedule.New(*s.Engine)
		}
	}
}

// refresh tells the schedulers which endpoints take work.
func (p *placer) refresh(ready func(service string) []announce.Heard, now time.Time) {
	p.mu.Lock()
	names := make([]string, 0, len(p.schedulers))
	for name := range p.schedulers {
		names = append(names, name)
	}
	p.mu.Unlock()
	for _, name := range names {
		var all []schedule.Endpoint
		for _, h := range ready(name) {
			all = append(all, schedule.Endpoint{ID: h.ID, Address: h.Address, FailureDomain: h.FailureDomain})
		}
		p.mu.Lock()
		p.schedulers[name].SetEndpoints(all, func(id string) bool { return p.breakers.Blocked(now, id) })
		p.mu.Unlock()
	}
}

// place returns the decision on a job, at once or when there is room. When ctx
// ends first, the job is withdrawn.
func (p *placer) place(ctx context.Context, j schedule.Job) (schedule.Decision, error) {
	decided := make(chan schedule.Decision, 1)
	p.mu.Lock()
	s := p.schedulers[j.Service]
	if s == nil {
		p.mu.Unlock()
		return schedule.Decision{Job: j.ID, Reason: "no endpoint of this service is known"}, nil
	}
	p.waiting[j.ID] = decided
	p.service[j.ID] = j.Service
	p.deliver(s.Submit(j, time.Now()))
	p.mu.Unlock()
	select {
	case d := <-decided:
		return d, nil
	case <-ctx.Done():
		p.ended(j.ID, schedule.Done)
		return schedule.Decision{}, context.Cause(ctx)
	}
}

// deliver hands decisions to who waits. The caller holds the lock.
func (p *placer) deliver(all []schedule.Decision) {
	for _, d := range all {
		if waiter := p.waiting[d.Job]; waiter != nil {
			delete(p.waiting, d.Job)
			waiter <- d
		}
		if d.Refused() {
			delete(p.service, d.Job)
		}
	}
}

// started tells that the first event of a job has come.
func (p *placer) started(job string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.schedulers[p.service[job]]; s != nil {
		p.deliver(s.Started(job, time.Now()))
	}
}

// ended tells that a job is over at its endpoint.
func (p *placer) ended(job string, _ schedule.End) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.schedulers[p.service[job]]; s != nil {
		p.deliver(s.Ended(job, time.Now()))
	}
	delete(p.service, job)
	delete(p.waiting, job)
}

func (p *placer) tick(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.schedulers {
		p.deliver(s.Tick(now))
	}
}
