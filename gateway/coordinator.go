package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/jacinthplank/jacinthplank/mesh"
	"github.com/jacinthplank/jacinthplank/schedule"
)

// Procedures of the coordinator.
const (
	procedurePlace  = "/jacinthplank.mesh.v1.CoordinatorService/Place"
	procedureReport = "/jacinthplank.mesh.v1.CoordinatorService/Report"
	procedureAdopt  = "/jacinthplank.mesh.v1.CoordinatorService/Adopt"
)

// report is a step of a job: its first event, or its end.
type report struct {
	Job     string           `json:"job"`
	Started bool             `json:"started,omitempty"`
	End     schedule.Outcome `json:"end,omitempty"`
}

type placeRequest struct {
	Job schedule.Job `json:"job"`
}

type placeResponse struct {
	Decision       schedule.Decision `json:"decision"`
	NotCoordinator bool              `json:"not_coordinator,omitempty"`
	Leader         string            `json:"leader,omitempty"` // address of the coordinator, where it is known
}

type reportRequest struct {
	Reports []report `json:"reports"`
}

type adoptRequest struct {
	Owner   string               `json:"owner"`
	Running []schedule.PlacedJob `json:"running"`
}

type coordinatorResponse struct {
	NotCoordinator bool `json:"not_coordinator,omitempty"`
}

// coordinatorCalls are the questions to a coordinator.
type coordinatorCalls interface {
	place(ctx context.Context, address string, j schedule.Job) (schedule.Decision, error)
	adopt(ctx context.Context, address, owner string, running []schedule.PlacedJob) error
	report(ctx context.Context, address string, reports []report) error
}

// meshCalls asks over the mesh.
type meshCalls struct{ mesh func() *mesh.Mesh }

func (c meshCalls) place(ctx context.Context, address string, j schedule.Job) (schedule.Decision, error) {
	a, err := mesh.Call[placeRequest, placeResponse](ctx, c.mesh(), address, procedurePlace, &placeRequest{Job: j})
	if err != nil {
		return schedule.Decision{}, err
	}
	if a.NotCoordinator {
		return schedule.Decision{}, &movedError{leader: a.Leader}
	}
	return a.Decision, nil
}

func (c meshCalls) adopt(ctx context.Context, address, owner string, running []schedule.PlacedJob) error {
	q := &adoptRequest{Owner: owner, Running: running}
	a, err := mesh.Call[adoptRequest, coordinatorResponse](ctx, c.mesh(), address, procedureAdopt, q)
	return coordinatorError(a, err)
}

func (c meshCalls) report(ctx context.Context, address string, reports []report) error {
	a, err := mesh.Call[reportRequest, coordinatorResponse](ctx, c.mesh(), address, procedureReport, &reportRequest{Reports: reports})
	return coordinatorError(a, err)
}

// movedError tells which entry is the coordinator now; empty when that is not
// known.
type movedError struct{ leader string }

// Error implements error.
func (e *movedError) Error() string { return errNotCoordinator.Error() + ", which is " + e.leader }

func coordinatorError(a *coordinatorResponse, err error) error {
	if err != nil {
		return err
	}
	if a.NotCoordinator {
		return errNotCoordinator
	}
	return nil
}

// registerCoordinator serves the questions of other entries.
func (p *placer) registerCoordinator(m *mesh.Mesh) {
	isCoordinator := m.IsLeader
	mesh.Handle(m, procedurePlace, func(ctx context.Context, q *placeRequest) (*placeResponse, error) {
		if leader, isSelf := m.Leader(); !isSelf {
			return &placeResponse{NotCoordinator: true, Leader: leader}, nil
		}
		d, err := p.placeForOther(ctx, q.Job)
		if errors.Is(err, errNotCoordinator) {
			leader, _ := m.Leader()
			return &placeResponse{NotCoordinator: true, Leader: leader}, nil
		}
		if err != nil {
			return nil, err
		}
		return &placeResponse{Decision: d}, nil
	})
	mesh.Handle(m, procedureReport, func(_ context.Context, q *reportRequest) (*coordinatorResponse, error) {
		for _, r := range q.Reports {
			if r.Started {
				p.startHere(r.Job)
			} else {
				p.judge(r)
				p.endHere(r.Job)
			}
		}
		return &coordinatorResponse{NotCoordinator: !isCoordinator()}, nil
	})
	mesh.Handle(m, procedureAdopt, func(_ context.Context, q *adoptRequest) (*coordinatorResponse, error) {
		if !isCoordinator() {
			return &coordinatorResponse{NotCoordinator: true}, nil
		}
		p.reconcile(q.Owner, q.Running)
		return &coordinatorResponse{}, nil
	})
}

// judge takes another entry's word on how an endpoint did: the breakers of the
// coordinator see the failures of all entries.
func (p *placer) judge(r report) {
	p.mu.Lock()
	endpoint, isWriting := "", false
	if s := p.schedulers[p.service[r.Job]]; s != nil {
		endpoint, isWriting = s.EndpointOf(r.Job)
	}
	p.mu.Unlock()
	now := time.Now()
	switch {
	case endpoint == "":
	case r.End == schedule.Failed:
		p.breakers.Failed(now, endpoint)
	case r.End == schedule.Done && isWriting:
		// A caller that left before the first event says nothing for the endpoint.
		p.breakers.Succeeded(now, endpoint)
	}
}

// reconcile brings what is known of another entry's jobs in step with its word.
func (p *placer) reconcile(owner string, running []schedule.PlacedJob) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	byService := map[string][]schedule.PlacedJob{}
	for _, r := range running {
		p.service[r.Job.ID] = r.Job.Service
		byService[r.Job.Service] = append(byService[r.Job.Service], r)
	}
	for name, s := range p.schedulers {
		p.deliver(s.Reconcile(owner, byService[name], now))
	}
}

// dropEntry forgets the jobs of an entry that is gone.
func (p *placer) dropEntry(owner string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.schedulers {
		p.deliver(s.DropOwner(owner, time.Now()))
	}
}

// report tells the coordinator of a step, with others that come at the same time.
func (p *placer) report(r report) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.coordinator == "" || !p.adopted {
		return // a coordinator that comes is told the jobs that run then
	}
	p.reports = append(p.reports, r)
	if !p.reporting {
		p.reporting = true
		time.AfterFunc(reportDelay, p.sendReports)
	}
}

// sendReports sends what waits until nothing does. After a failure the
// coordinator is told everything anew.
func (p *placer) sendReports() {
	for {
		p.mu.Lock()
		address, reports := p.coordinator, p.reports
		p.reports = nil
		if len(reports) == 0 || address == "" {
			p.reporting = false
			p.mu.Unlock()
			return
		}
		p.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), reportWait)
		err := p.calls.report(ctx, address, reports)
		cancel()
		if err != nil {
			p.mu.Lock()
			p.adopted, p.reporting = false, false
			p.mu.Unlock()
			p.doubt(address, err)
			return
		}
	}
}
