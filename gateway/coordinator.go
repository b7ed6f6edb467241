package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/jacinthplank/jacinthplank/blame"
	"github.com/jacinthplank/jacinthplank/mesh"
	"github.com/jacinthplank/jacinthplank/schedule"
)

// RPC procedures served by the coordinator.
const (
	procedurePlace  = "/jacinthplank.mesh.v1.CoordinatorService/Place"
	procedureReport = "/jacinthplank.mesh.v1.CoordinatorService/Report"
	procedureAdopt  = "/jacinthplank.mesh.v1.CoordinatorService/Adopt"
	procedurePermit = "/jacinthplank.mesh.v1.CoordinatorService/Permit"
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

// denial is the part of a response that says that the entry is not the coordinator.
type denial struct {
	NotCoordinator bool   `json:"not_coordinator,omitempty"`
	State          string `json:"state,omitempty"` // what the entry knows of the coordinator
	mesh.Denial
}

func newDenial(m *mesh.Mesh) denial {
	return denial{NotCoordinator: true, State: m.LeaderState(), Denial: m.Denial()}
}

// err returns nil if the entry is the coordinator.
func (d denial) err() error {
	if !d.NotCoordinator {
		return nil
	}
	return &redirectError{Denial: d.Denial, state: d.State}
}

type placeResponse struct {
	Decision schedule.Decision `json:"decision"`
	Waited   time.Duration     `json:"waited,omitempty"` // from the arrival of the request to the decision
	denial
}

type reportRequest struct {
	Reports    []jobReport    `json:"reports,omitempty"`
	Limits     []limitReport  `json:"limits,omitempty"`  // statements that changed a limit
	Charges    map[string]int `json:"charges,omitempty"` // calls sent without a permit, by endpoint
	Failing    []string       `json:"failing,omitempty"` // endpoints that failed a job or a part of one
	linkReport                // filled in when the report is sent, as are the calls
	callReport
	isDue bool // what is filled in is reason enough to send the report
	blameRequest
}

func (r *reportRequest) isEmpty() bool {
	return len(r.Reports)+len(r.Limits)+len(r.Charges)+len(r.Failing) == 0 && !r.isDue && r.Blame.IsEmpty()
}

type adoptRequest struct {
	Owner   string               `json:"owner"`
	Running []schedule.PlacedJob `json:"running"`
	Limits  []limitReport        `json:"limits,omitempty"`
	linkReport
	callReport
	blameRequest
}

type adoptResponse struct {
	denial
	Limits   []limitReport   `json:"limits,omitempty"`
	Verdicts *blame.Verdicts `json:"verdicts,omitempty"` // nil if the caller has them
	States   callStates      `json:"states,omitempty"`
}

type reportResponse struct {
	denial
	Verdicts *blame.Verdicts `json:"verdicts,omitempty"` // nil if the caller has them
	States   callStates      `json:"states,omitempty"`
}

// coordinatorClient calls a coordinator.
type coordinatorClient interface {
	place(ctx context.Context, address string, j schedule.Job) (schedule.Decision, error)
	adopt(ctx context.Context, address string, r *adoptRequest) (*adoptResponse, error)
	report(ctx context.Context, address string, r *reportRequest) (*reportResponse, error)
	permit(ctx context.Context, address string, r *permitRequest) (*permitResponse, error)
}

// meshCoordinatorClient implements coordinatorClient over the mesh.
type meshCoordinatorClient struct{ mesh func() *mesh.Mesh }

func (c meshCoordinatorClient) place(ctx context.Context, address string, j schedule.Job) (schedule.Decision, error) {
	asked := time.Now()
	response, err := mesh.Call[placeRequest, placeResponse](ctx, c.mesh(), address, procedurePlace, &placeRequest{Job: j})
	if err != nil {
		return schedule.Decision{}, err
	}
	if err := response.err(); err != nil {
		return schedule.Decision{}, err
	}
	response.Decision.DecidedAt = asked.Add(response.Waited)
	return response.Decision, nil
}

func (c meshCoordinatorClient) adopt(ctx context.Context, address string, r *adoptRequest) (*adoptResponse, error) {
	response, err := mesh.Call[adoptRequest, adoptResponse](ctx, c.mesh(), address, procedureAdopt, r)
	if err != nil {
		return nil, err
	}
	return response, response.err()
}

func (c meshCoordinatorClient) report(ctx context.Context, address string, r *reportRequest) (*reportResponse, error) {
	response, err := mesh.Call[reportRequest, reportResponse](ctx, c.mesh(), address, procedureReport, r)
	if err != nil {
		return nil, err
	}
	return response, response.err()
}

func (c meshCoordinatorClient) permit(ctx context.Context, address string, r *permitRequest) (*permitResponse, error) {
	response, err := mesh.Call[permitRequest, permitResponse](ctx, c.mesh(), address, procedurePermit, r)
	if err != nil {
		return nil, err
	}
	return response, response.err()
}

// redirectError is the error of a call to an entry that is not the coordinator.
type redirectError struct {
	mesh.Denial
	state string // what the entry knows of the coordinator
}

// Error implements error.
func (e *redirectError) Error() string {
	leader := e.Leader
	if leader == "" {
		leader = "unknown"
	}
	return errNotCoordinator.Error() + "; the coordinator is " + leader + "; " + e.state
}

// registerHandlers registers the RPC handlers for calls from other entries.
func (p *placer) registerHandlers(m *mesh.Mesh) {
	isCoordinator := m.IsLeader
	mesh.Handle(m, procedurePlace, func(ctx context.Context, q *placeRequest) (*placeResponse, error) {
		if !isCoordinator() {
			return &placeResponse{denial: newDenial(m)}, nil
		}
		arrived := time.Now()
		p.setCoordinator("", true) // the placement duty may not have noticed the election yet
		d, err := p.placeForPeer(ctx, q.Job)
		if errors.Is(err, errNotCoordinator) {
			return &placeResponse{denial: newDenial(m)}, nil
		}
		if err != nil {
			return nil, err
		}
		return &placeResponse{Decision: d, Waited: max(d.DecidedAt.Sub(arrived), 0)}, nil
	})
	mesh.Handle(m, procedureReport, func(_ context.Context, q *reportRequest) (*reportResponse, error) {
		p.blame.Merge(&q.Blame, time.Now())
		p.limits.Merge(limitRecords(q.Limits, time.Now()), time.Now())
		p.mergeLinks(&q.linkReport)
		p.mergeCalls(&q.callReport)
		for endpoint, calls := range q.Charges {
			p.limits.Charge(endpoint, calls, time.Now())
		}
		for _, endpoint := range q.Failing {
			p.suspectAndProbe(endpoint, "it failed a request of another entry")
		}
		for _, r := range q.Reports {
			if r.Started {
				p.markStarted(r.Job)
			} else {
				p.recordRemoteOutcome(r)
				p.markEnded(r.Job)
			}
		}
		if !isCoordinator() {
			return &reportResponse{denial: newDenial(m)}, nil
		}
		return &reportResponse{Verdicts: p.blame.Tell(q.Verdicts, time.Now()), States: p.callStatesFor(q.Caller)}, nil
	})
	mesh.Handle(m, procedureAdopt, func(_ context.Context, q *adoptRequest) (*adoptResponse, error) {
		if !isCoordinator() {
			return &adoptResponse{denial: newDenial(m)}, nil
		}
		p.blame.Merge(&q.Blame, time.Now())
		p.limits.Merge(limitRecords(q.Limits, time.Now()), time.Now())
		p.mergeLinks(&q.linkReport)
		p.mergeCalls(&q.callReport)
		p.reconcile(q.Owner, q.Running)
		return &adoptResponse{Limits: p.limitReports(), Verdicts: p.blame.Tell(q.Verdicts, time.Now()), States: p.callStatesFor(q.Caller)}, nil
	})
	mesh.Handle(m, procedurePermit, func(_ context.Context, q *permitRequest) (*permitResponse, error) {
		if !isCoordinator() {
			return &permitResponse{denial: newDenial(m)}, nil
		}
		p.setCoordinator("", true) // as for a placement
		return p.grant(q), nil
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

// reconcile replaces the known jobs of another entry with the list that it reports, without those
// that no sound entry reports.
func (p *placer) reconcile(owner string, running []schedule.PlacedJob) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	byService := map[string][]schedule.PlacedJob{}
	leftOut := 0
	for _, r := range running {
		if err := r.Validate(); err != nil {
			if leftOut++; leftOut == 1 {
				p.log.Warn("job of another entry left out", "step", "gateway.adopt", "owner", owner, "error", err.Error())
			}
			continue
		}
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
	p.queue(func(pending *reportRequest) { pending.Reports = append(pending.Reports, r) })
}

// queue adds to the pending report.
func (p *placer) queue(add func(pending *reportRequest)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.coordinator == "" || !p.adopted {
		return // a new coordinator receives the full lists on adoption
	}
	add(&p.pendingReport)
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
		address, report := p.coordinator, p.pendingReport
		p.pendingReport = reportRequest{}
		if report.isEmpty() || address == "" {
			p.reporting = false
			p.mu.Unlock()
			return
		}
		p.mu.Unlock()
		ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
		err := p.sendReport(ctx, address, &report)
		cancel()
		if err != nil {
			p.mu.Lock()
			p.adopted, p.reporting = false, false
			p.mu.Unlock()
			p.callFailed(address, err)
			return
		}
	}
}

// sendReport sends a report and takes over the verdicts of the coordinator.
func (p *placer) sendReport(ctx context.Context, address string, r *reportRequest) error {
	r.Verdicts = p.blame.Digest()
	r.linkReport, r.callReport = p.takeLinkReport(), p.takeCallReport()
	p.blame.Stamp(&r.Blame, time.Now())
	response, err := p.client.report(ctx, address, r)
	if err == nil {
		p.followVerdicts(response.Verdicts, false)
		p.followCallStates(response.States)
	}
	return err
}

// followVerdicts takes over the verdicts of a coordinator. hasReported is set if it was
// told the ends of endpoints that are known here. One that has started again is told with
// the next lists.
func (p *placer) followVerdicts(v *blame.Verdicts, hasReported bool) {
	mustReport := p.blame.Follow(v, hasReported, time.Now())
	p.mu.Lock()
	defer p.mu.Unlock()
	if mustReport || hasReported {
		p.mustReportEnds = mustReport
	}
}

// sendLists sends the running jobs and the rate limits known here to the coordinator, and
// takes over the limits and verdicts that it knows. With reportsEnds, for a new coordinator,
// it is also told the ends of endpoints that are known here.
func (p *placer) sendLists(ctx context.Context, address string, reportsEnds bool) error {
	request := &adoptRequest{Owner: p.self, Running: p.runningJobs(), Limits: p.limitReports(), linkReport: p.takeLinkReport(), callReport: p.takeCallReport()}
	if reportsEnds {
		request.Blame = p.blame.Report(time.Now())
	}
	request.Verdicts = p.blame.Digest()
	p.blame.Stamp(&request.Blame, time.Now())
	response, err := p.client.adopt(ctx, address, request)
	if err != nil {
		return err
	}
	p.limits.Merge(limitRecords(response.Limits, time.Now()), time.Now())
	p.followVerdicts(response.Verdicts, reportsEnds)
	p.followCallStates(response.States)
	return nil
}
