package gateway

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthplank/jacinthplank/announce"
	"github.com/jacinthplank/jacinthplank/blame"
	"github.com/jacinthplank/jacinthplank/breaker"
	"github.com/jacinthplank/jacinthplank/coord/evacuation"
	"github.com/jacinthplank/jacinthplank/mesh"
	"github.com/jacinthplank/jacinthplank/ratelimit"
	"github.com/jacinthplank/jacinthplank/route"
	"github.com/jacinthplank/jacinthplank/schedule"
	"github.com/jacinthplank/jacinthplank/spill"
)

// Timing of placement.
const (
	placementInterval     = 50 * time.Millisecond  // between two attempts to place queued jobs
	coordinatorCallMargin = 250 * time.Millisecond // added to a job's maximum queueing time for the timeout of a coordinator call
	coordinatorBackoff    = time.Second            // before an unresponsive coordinator is called again
	reportDelay           = 5 * time.Millisecond   // batches reports of jobs that end together
	reportTimeout         = 500 * time.Millisecond
)

var (
	coordinatorDecisionsTotal   = metrics.NewCounter("jacinthplank_placer_decisions_by_coordinator_total")
	localDecisionsTotal         = metrics.NewCounter("jacinthplank_placer_decisions_alone_total")
	coordinatorCallsFailedTotal = metrics.NewCounter("jacinthplank_placer_questions_failed_total")
)

// errNotCoordinator is returned by an entry that is not, or is no longer, the
// coordinator.
var errNotCoordinator = errors.New("this entry is not the coordinator")

// errCoordinatorChanged ends the wait for a local decision when there is another
// coordinator or the current one no longer responds.
var errCoordinatorChanged = errors.New("the coordinator changed")

// placer places jobs on endpoints. One entry, the coordinator, sees the jobs of all
// entries and places them. An entry that cannot reach it places its own jobs from its
// partial view. A wrong choice only costs time, as endpoints refuse jobs for which they
// have no capacity.
type placer struct {
	self      string
	breakers  *breaker.Set
	limits    *ratelimit.Table
	blame     *blame.Store
	links     *spill.Links
	domain    string  // failure domain of this entry
	bytePrice float64 // of a byte that leaves its failure domain, in the units of schedule's costs
	client    coordinatorClient
	log       *slog.Logger
	takeCalls func() map[string]spill.CallReport // calls to plain services that were not yet reported; may be nil
	// onDenial is called when an address denies to be the coordinator, and returns the address
	// of the one known then; may be nil.
	onDenial  func(address string, d mesh.Denial) (leader string)
	onSuspect func(endpoint string) // called by the coordinator for an endpoint that failed; may be nil
	// evacuated returns the evacuated failure domains; nil for none.
	evacuated func() evacuation.Set

	mu                 sync.Mutex
	schedulers         map[string]*schedule.Scheduler // by service
	waiters            map[string]chan schedule.Decision
	serviceByJob       map[string]string // service of each known job
	coordinator        string            // address; empty if there is none or it is this entry
	isCoordinator      bool
	adopted            bool      // the coordinator has this entry's job list
	mustReportEnds     bool      // the coordinator doesn't know the ends of endpoints that are known here
	lastHeard          time.Time // of the coordinator
	pinging            bool
	nextRedirect       time.Time     // no denial outside of placements is followed before this time
	backoffUntil       time.Time     // no calls to the coordinator before this time
	coordinatorChanged chan struct{} // closed when calls to the coordinator are abandoned
	pendingReport      reportRequest
	reporting          bool
	unsentLinks        map[string]spill.Sample // not yet sent to the coordinator, by domain of the endpoints
	calls              *spill.Calls            // reported by entries
	toldCalls          callStates              // by the coordinator
	toldCallsAt        time.Time
	linkReportedAt     time.Time       // of the latest report queued for a delayed event
	peerPlacements     *peerPlacements // for other entries, as the coordinator
}

func newPlacer(self string, b *breaker.Set, limits *ratelimit.Table, blamed *blame.Store, client coordinatorClient, log *slog.Logger) *placer {
	return &placer{
		self: self, breakers: b, limits: limits, blame: blamed, links: spill.NewLinks(), bytePrice: spill.DefaultBytePrice, unsentLinks: map[string]spill.Sample{}, calls: spill.NewCalls(), client: client, log: log, schedulers: map[string]*schedule.Scheduler{},
		waiters: map[string]chan schedule.Decision{}, serviceByJob: map[string]string{}, coordinatorChanged: make(chan struct{}),
		peerPlacements: newPeerPlacements(),
	}
}

// configure creates or updates the schedulers for the engine services of a table.
func (p *placer) configure(t *route.Table) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range t.Services {
		s := &t.Services[i]
		if s.Engine == nil {
			continue
		}
		if known := p.schedulers[s.Name]; known != nil {
			known.SetProfile(*s.Engine)
		} else {
			scheduler := schedule.New(p.self, *s.Engine, p.limits)
			scheduler.SetTraffic(p.links, p.bytePrice)
			p.schedulers[s.Name] = scheduler
		}
	}
}

// setEndpoints updates the schedulers with the endpoints that announce themselves as ready.
func (p *placer) setEndpoints(ready func(service string) []announce.Record, now time.Time) {
	var evacuated evacuation.Set
	if p.evacuated != nil {
		evacuated = p.evacuated()
	}
	p.mu.Lock()
	names := make([]string, 0, len(p.schedulers))
	for name := range p.schedulers {
		names = append(names, name)
	}
	p.mu.Unlock()
	for _, name := range names {
		var all []schedule.Endpoint
		for _, h := range ready(name) {
			all = append(all, schedule.Endpoint{
				ID: h.ID, Address: h.Address, FailureDomain: h.FailureDomain, Evacuated: evacuated.Contains(h.FailureDomain),
			})
		}
		p.mu.Lock()
		p.schedulers[name].SetEndpoints(all, func(id string) bool { return p.breakers.Blocked(now, id) })
		p.mu.Unlock()
	}
}

// setCoordinator sets the address of the coordinator.
func (p *placer) setCoordinator(address string, isSelf bool) {
	if isSelf {
		address = ""
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if isSelf && !p.isCoordinator {
		for _, s := range p.schedulers {
			s.TakeOver(time.Now())
		}
	}
	p.isCoordinator = isSelf
	p.limits.SetAllotsAll(isSelf, time.Now())
	if isSelf {
		p.blame.Judge(time.Now())
	}
	if address == p.coordinator {
		return
	}
	p.log.Info("coordinator", "step", "gateway.coordinator", "address", address, "self", isSelf, "before", p.coordinator)
	p.coordinator, p.adopted, p.backoffUntil = address, false, time.Time{}
	p.cancelCoordinatorCalls()
	if address != "" {
		go p.introduce(address)
	}
	if !isSelf {
		for _, s := range p.schedulers {
			s.DropOtherOwners(p.self, time.Now())
		}
	}
}

// setPeerCount tells the schedulers how many other entries place jobs that are not seen
// here; 0 on the coordinator.
func (p *placer) setPeerCount(peers int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.schedulers {
		s.SetPeers(peers)
	}
}

// cancelCoordinatorCalls ends all waits for a coordinator's decision, so that the jobs
// are placed again. The caller must hold p.mu.
func (p *placer) cancelCoordinatorCalls() {
	close(p.coordinatorChanged)
	p.coordinatorChanged = make(chan struct{})
}

// place returns the decision on a job, queueing it while there is no capacity. The job
// is withdrawn if ctx ends first.
func (p *placer) place(ctx context.Context, j schedule.Job) (schedule.Decision, error) {
	j.Owner = p.self
	return p.placeWithRedirects(ctx, j, maxRedirects)
}

// maxRedirects limits how often a job is redirected to another coordinator. During an
// election, two entries may name each other.
const maxRedirects = 2

func (p *placer) placeWithRedirects(ctx context.Context, j schedule.Job, redirects int) (schedule.Decision, error) {
	started := time.Now()
	p.mu.Lock()
	address, changed := p.coordinator, p.coordinatorChanged
	isUnknown := address == "" && !p.isCoordinator
	if started.Before(p.backoffUntil) {
		address = ""
	}
	p.mu.Unlock()
	if isUnknown && redirects > 0 && p.awaitCoordinator(ctx, "", j) {
		return p.placeWithRedirects(ctx, j.After(time.Since(started)), redirects-1)
	}
	if redirects == 0 {
		changed = nil // the job stays where it is queued
	}
	if address == "" {
		d, err := p.placeLocally(ctx, j, changed)
		if errors.Is(err, errCoordinatorChanged) {
			return p.placeWithRedirects(ctx, j.After(time.Since(started)), redirects-1)
		}
		return d, err
	}
	d, err := p.callCoordinator(ctx, address, changed, j)
	if err == nil {
		coordinatorDecisionsTotal.Inc()
		p.recordDecision(j, d)
		return d, nil
	}
	if ctx.Err() != nil {
		// The coordinator may have placed the job already.
		p.queueReport(jobReport{Job: j.ID, End: schedule.Done})
		return schedule.Decision{}, context.Cause(ctx)
	}
	if errors.Is(err, errCoordinatorSilent) {
		// It may have placed the job already.
		p.queueReport(jobReport{Job: j.ID, End: schedule.Done})
		return p.placeLocally(ctx, j.After(time.Since(started)), nil)
	}
	if redirects > 0 && p.followRedirect(address, err) {
		return p.placeWithRedirects(ctx, j.After(time.Since(started)), redirects-1)
	}
	p.markCoordinatorFailed(address, err)
	if redirects > 0 && p.awaitCoordinator(ctx, address, j) {
		return p.placeWithRedirects(ctx, j.After(time.Since(started)), redirects-1)
	}
	return p.placeLocally(ctx, j.After(time.Since(started)), nil)
}

// placeLocally places a job from the state known to this entry, which is complete on
// the coordinator. When changed is closed, a queued job is withdrawn and the error is
// errCoordinatorChanged.
func (p *placer) placeLocally(ctx context.Context, j schedule.Job, changed <-chan struct{}) (schedule.Decision, error) {
	localDecisionsTotal.Inc()
	decided := make(chan schedule.Decision, 1)
	j = j.After(p.awaitScheduler(ctx, j.Service))
	p.mu.Lock()
	s := p.schedulers[j.Service]
	if s == nil {
		p.mu.Unlock()
		return schedule.Decision{Job: j.ID, Reason: "no scheduler is configured for this service"}, nil
	}
	p.waiters[j.ID] = decided
	p.serviceByJob[j.ID] = j.Service
	p.deliver(s.Submit(j, time.Now()))
	p.mu.Unlock()
	select {
	case d := <-decided:
		return d, nil
	case <-ctx.Done():
		p.markEnded(j.ID)
		return schedule.Decision{}, context.Cause(ctx)
	case <-changed:
		return p.withdraw(j.ID, decided)
	}
}

// maxConfigurationWait limits how long a job waits for the configuration of its service. An
// entry may become the coordinator, or be asked by one that has a newer configuration,
// before it has applied it.
const (
	maxConfigurationWait      = 500 * time.Millisecond
	configurationPollInterval = 10 * time.Millisecond
)

// awaitScheduler waits until there is a scheduler for a service and returns how long it
// waited.
func (p *placer) awaitScheduler(ctx context.Context, service string) time.Duration {
	started := time.Now()
	for time.Since(started) < maxConfigurationWait && ctx.Err() == nil {
		p.mu.Lock()
		s := p.schedulers[service]
		p.mu.Unlock()
		if s != nil {
			break
		}
		time.Sleep(configurationPollInterval)
	}
	return time.Since(started)
}

// withdraw removes a queued job, or returns its decision if one was made meanwhile.
func (p *placer) withdraw(job string, decided <-chan schedule.Decision) (schedule.Decision, error) {
	p.mu.Lock()
	_, isWaiting := p.waiters[job]
	p.mu.Unlock()
	if !isWaiting {
		return <-decided, nil
	}
	p.markEnded(job)
	return schedule.Decision{}, errCoordinatorChanged
}

// deliver sends decisions to the waiting callers. The caller must hold p.mu.
func (p *placer) deliver(all []schedule.Decision) {
	for _, d := range all {
		if waiter := p.waiters[d.Job]; waiter != nil {
			delete(p.waiters, d.Job)
			waiter <- d
		}
		if d.Refused() {
			delete(p.serviceByJob, d.Job)
		}
	}
}

// jobStarted records and reports the first event of a job.
func (p *placer) jobStarted(job string) {
	p.markStarted(job)
	p.queueReport(jobReport{Job: job, Started: true})
}

// jobEnded records and reports the end of a job at its endpoint.
func (p *placer) jobEnded(job string, end schedule.Outcome) {
	p.markEnded(job)
	p.queueReport(jobReport{Job: job, End: end})
}

func (p *placer) markStarted(job string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.schedulers[p.serviceByJob[job]]; s != nil {
		p.deliver(s.Started(job, time.Now()))
	}
}

func (p *placer) markEnded(job string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.schedulers[p.serviceByJob[job]]; s != nil {
		p.deliver(s.Ended(job, time.Now()))
	}
	delete(p.serviceByJob, job)
	delete(p.waiters, job)
}

// runningJobs returns the running jobs of this entry.
func (p *placer) runningJobs() []schedule.PlacedJob {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	var out []schedule.PlacedJob
	for _, s := range p.schedulers {
		out = append(out, s.PlacedJobs(p.self, now)...)
	}
	return out
}

func (p *placer) tick(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.schedulers {
		p.deliver(s.Tick(now))
	}
}
