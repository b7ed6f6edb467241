package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/jacinthplank/jacinthplank/mesh"
	"github.com/jacinthplank/jacinthplank/schedule"
)

// RPC procedures served by the coordinator.
const (
	procedurePlace  = "/jacinthplank.mesh.v1.CoordinatorService/Place"
	procedureReport = "/jacinthplank.mesh.v1.CoordinatorService/Report"
	procedureAdopt  = "/jacinthplank.mesh.v1.CoordinatorService/Adopt"
)

// jobReport is a progress report on a job: its first event or its end.
type jobReport struct {
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
	Leader         string            `json:"leader,omitempty"` // address of the coordinator, if known
}

type reportRequest struct {
	Reports []jobReport `json:"reports"`
}

type adoptRequest struct {
	Owner   string               `json:"owner"`
	Running []schedule.PlacedJob `json:"running"`
}

type coordinatorResponse struct {
	NotCoordinator bool `json:"not_coordinator,omitempty"`
}

// coordinatorClient calls a coordinator.
type coordinatorClient interface {
	place(ctx context.Context, address string, j schedule.Job) (schedule.Decision, error)
	adopt(ctx context.Context, address, owner string, running []schedule.PlacedJob) error
	report(ctx context.Context, address string, reports []jobReport) error
}

// meshCoordinatorClient implements coordinatorClient over the mesh.
type meshCoordinatorClient struct{ mesh func() *mesh.Mesh }

func (c meshCoordinatorClient) place(ctx context.Context, address string, j schedule.Job) (schedule.Decision, error) {
	response, err := mesh.Call[placeRequest, placeResponse](ctx, c.mesh(), address, procedurePlace, &placeRequest{Job: j})
	if err != nil {
		return schedule.Decision{}, err
	}
	if response.NotCoordinator {
		return schedule.Decision{}, &redirectError{leader: response.Leader}
	}
	return response.Decision, nil
}

func (c meshCoordinatorClient) adopt(ctx context.Context, address, owner string, running []schedule.PlacedJob) error {
	request := &adoptRequest{Owner: owner, Running: running}
	response, err := mesh.Call[adoptRequest, coordinatorResponse](ctx, c.mesh(), address, procedureAdopt, request)
	return coordinatorError(response, err)
}

func (c meshCoordinatorClient) report(ctx context.Context, address string, reports []jobReport) error {
	response, err := mesh.Call[reportRequest, coordinatorResponse](ctx, c.mesh(), address, procedureReport, &reportRequest{Reports: reports})
	return coordinatorError(response, err)
}

// redirectError names the current coordinator. leader is empty if it is unknown.
type redirectError struct{ leader string }

// Error implements error.
func (e *redirectError) Error() string {
	return errNotCoordinator.Error() + "; the coordinator is " + e.leader
}

func coordinatorError(response *coordinatorResponse, err error) error {
	if err != nil {
		return err
	}
	if response.NotCoordinator {
		return errNotCoordinator
	}
	return nil
}

// registerHandlers registers the RPC handlers for calls from other entries.
func (p *placer) registerHandlers(m *mesh.Mesh) {
	isCoordinator := m.IsLeader
	mesh.Handle(m, procedurePlace, func(ctx context.Context, q *placeRequest) (*placeResponse, error) {
		if leader, isSelf := m.Leader(); !isSelf {
			return &placeResponse{NotCoordinator: true, Leader: leader}, nil
		}
		p.setCoordinator("", true) // the placement duty may not have noticed the election yet
		d, err := p.placeForPeer(ctx, q.Job)
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
				p.markStarted(r.Job)
			} else {
				p.recordRemoteOutcome(r)
				p.markEnded(r.Job)
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

// recordRemoteOutcome applies another entry's report to the circuit breakers, so that
// the coordinator's breakers count the failures of all entries.
func (p *placer) recordRemoteOutcome(r jobReport) {
	p.mu.Lock()
	endpoint, isDecoding := "", false
	if s := p.schedulers[p.serviceByJob[r.Job]]; s != nil {
		endpoint, isDecoding = s.EndpointOf(r.Job)
	}
	p.mu.Unlock()
	now := time.Now()
	switch {
	case endpoint == "":
	case r.End == schedule.Failed:
		p.breakers.RecordFailure(now, endpoint)
	case r.End == schedule.Done && isDecoding:
		// A caller that left before the first event is no evidence of a healthy endpoint.
		p.breakers.RecordSuccess(now, endpoint)
	}
}

// reconcile replaces the known jobs of another entry with the list that it reports.
func (p *placer) reconcile(owner string, running []schedule.PlacedJob) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	byService := map[string][]schedule.PlacedJob{}
	for _, r := range running {
		p.serviceByJob[r.Job.ID] = r.Job.Service
		byService[r.Job.Service] = append(byService[r.Job.Service], r)
	}
	for name, s := range p.schedulers {
		p.deliver(s.Reconcile(owner, byService[name], now))
	}
}

// dropEntry removes the jobs of an entry that has left or failed.
func (p *placer) dropEntry(owner string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.schedulers {
		p.deliver(s.DropOwner(owner, time.Now()))
	}
}

// queueReport queues a report for the coordinator. Reports within reportDelay are
// sent in one batch.
func (p *placer) queueReport(r jobReport) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.coordinator == "" || !p.adopted {
		return // a new coordinator receives the full job list on adoption
	}
	p.pendingReports = append(p.pendingReports, r)
	if !p.reporting {
		p.reporting = true
		time.AfterFunc(reportDelay, p.sendReports)
	}
}

// sendReports sends queued reports until the queue is empty. After a failure, the
// next call to the coordinator starts with the full job list.
func (p *placer) sendReports() {
	for {
		p.mu.Lock()
		address, reports := p.coordinator, p.pendingReports
		p.pendingReports = nil
		if len(reports) == 0 || address == "" {
			p.reporting = false
			p.mu.Unlock()
			return
		}
		p.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		err := p.client.report(ctx, address, reports)
		cancel()
		if err != nil {
			p.mu.Lock()
			p.adopted, p.reporting = false, false
			p.mu.Unlock()
			p.markCoordinatorFailed(address, err)
			return
		}
	}
}
