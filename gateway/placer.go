package gateway

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/jacinthplank/jacinthplank/announce"
	"github.com/jacinthplank/jacinthplank/breaker"
	"github.com/jacinthplank/jacinthplank/route"
	"github.com/jacinthplank/jacinthplank/schedule"
)

// Times of placing.
const (
	placePeriod  = 50 * time.Millisecond  // between two looks at jobs that wait
	placeReserve = 250 * time.Millisecond // for a question to the coordinator, besides the time that a job may wait there
	distrust     = time.Second            // for which a coordinator that did not answer is not asked
	reportDelay  = 5 * time.Millisecond   // gathers what ended together into one call
	reportWait   = 500 * time.Millisecond
)

var (
	placedCentrally = metrics.NewCounter("jacinthplank_placer_decisions_by_coordinator_total")
	placedAlone     = metrics.NewCounter("jacinthplank_placer_decisions_alone_total")
	placeFailed     = metrics.NewCounter("jacinthplank_placer_questions_failed_total")
)

// errNotCoordinator is the answer of an entry that is not, or no longer, the one
// that places for all.
var errNotCoordinator = errors.New("this entry is not the coordinator")

// errCoordinatorChanged ends the wait for a decision of this entry: another one
// places for all, or the one that did no longer answers.
var errCoordinatorChanged = errors.New("the coordinator changed")

// placer places jobs. One entry, the coordinator, sees the jobs of all entries
// and places for them. An entry that can't reach it places its own jobs by what
// it knows of them; a wrong guess costs time, as endpoints refuse what they have
// no room for.
type placer struct {
	self     string
	breakers *breaker.Set
	calls    coordinatorCalls
	log      *slog.Logger
	moved    func(address string) // told when an entry names another coordinator; may be nil

	mu          sync.Mutex
	schedulers  map[string]*schedule.Scheduler // by service
	waiting     map[string]chan schedule.Decision
	service     map[string]string // of each job known here
	coordinator string            // address; empty for none, or this entry itself
	adopted     bool              // the coordinator knows this entry's jobs
	distrusted  time.Time         // until when the coordinator is not asked
	giveUp      chan struct{}     // closed when the coordinator is no longer waited for
	reports     []report
	reporting   bool
}

func newPlacer(self string, b *breaker.Set, calls coordinatorCalls, log *slog.Logger) *placer {
	return &placer{
		self: self, breakers: b, calls: calls, log: log, schedulers: map[string]*schedule.Scheduler{},
		waiting: map[string]chan schedule.Decision{}, service: map[string]string{}, giveUp: make(chan struct{}),
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
			known.SetProfile(*s.Engine)
		} else {
			p.schedulers[s.Name] = schedule.New(p.self, *s.Engine)
		}
	}
}

// refresh tells the schedulers which endpoints take work.
func (p *placer) refresh(ready func(service string) []announce.Record, now time.Time) {
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

// setCoordinator notes which entry places for all, by its address.
func (p *placer) setCoordinator(address string, isSelf bool) {
	if isSelf {
		address = ""
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if address == p.coordinator {
		return
	}
	p.log.Info("coordinator", "step", "gateway.coordinator", "address", address, "self", isSelf, "before", p.coordinator)
	p.coordinator, p.adopted, p.distrusted = address, false, time.Time{}
	p.abandonQuestions()
	if !isSelf {
		for _, s := range p.schedulers {
			s.DropOtherOwners(p.self, time.Now())
		}
	}
}

// setOthers tells the schedulers how many entries place besides this one: none
// for the coordinator.
func (p *placer) setOthers(entries int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range p.schedulers {
		s.SetPeers(entries)
	}
}

// abandonQuestions lets every job that waits for the coordinator be placed here.
// The caller holds the lock.
func (p *placer) abandonQuestions() {
	close(p.giveUp)
	p.giveUp = make(chan struct{})
}

// place returns the decision on a job, at once or when there is room. When ctx
// ends first, the job is withdrawn.
func (p *placer) place(ctx context.Context, j schedule.Job) (schedule.Decision, error) {
	j.Owner = p.self
	return p.placeFollowing(ctx, j, mostMoves)
}

// mostMoves bounds how often a job follows the word on who the coordinator is:
// during an election two entries may name each other.
const mostMoves = 2

func (p *placer) placeFollowing(ctx context.Context, j schedule.Job, moves int) (schedule.Decision, error) {
	asked := time.Now()
	p.mu.Lock()
	address, giveUp := p.coordinator, p.giveUp
	if asked.Before(p.distrusted) {
		address = ""
	}
	p.mu.Unlock()
	if moves == 0 {
		giveUp = nil // it stays with whoever has it now
	}
	if address == "" {
		d, err := p.placeHere(ctx, j, giveUp)
		if errors.Is(err, errCoordinatorChanged) {
			return p.placeFollowing(ctx, j.After(time.Since(asked)), moves-1)
		}
		return d, err
	}
	d, err := p.ask(ctx, address, giveUp, j)
	if err == nil {
		placedCentrally.Inc()
		p.record(j, d)
		return d, nil
	}
	if ctx.Err() != nil {
		// The decision may be on its way all the same.
		p.report(report{Job: j.ID, End: schedule.Done})
		return schedule.Decision{}, context.Cause(ctx)
	}
	if moves > 0 && p.follow(address, err) {
		return p.placeFollowing(ctx, j.After(time.Since(asked)), moves-1)
	}
	p.doubt(address, err)
	if moves > 0 && p.awaitCoordinator(ctx, address, j) {
		return p.placeFollowing(ctx, j.After(time.Since(asked)), moves-1)
	}
	return p.placeHere(ctx, j.After(time.Since(asked)), nil)
}

// follow turns to the coordinator that the one asked has named. It reports false
// when there is no other.
func (p *placer) follow(asked string, err error) bool {
	var moved *movedError
	if !errors.As(err, &moved) || moved.leader == "" || moved.leader == asked {
		return false
	}
	if p.moved != nil {
		p.moved(moved.leader)
	}
	p.setCoordinator(moved.leader, false)
	return true
}

// Long prompts take many engines for long: an entry that sees its own requests
// only would put them where they hurt most.
const (
	patientGoal = time.Second // of jobs that wait for the next coordinator
	electWait   = time.Second // an election takes less
	electPoll   = placePeriod
)

// awaitCoordinator waits for another coordinator than the one that failed, where
// the job has the time. It reports whether there is one.
func (p *placer) awaitCoordinator(ctx context.Context, failed string, j schedule.Job) bool {
	if j.Goal < patientGoal {
		return false
	}
	started := time.Now()
	for time.Since(started) < electWait && ctx.Err() == nil {
		time.Sleep(electPoll)
		p.mu.Lock()
		changed := p.coordinator != failed
		p.mu.Unlock()
		if changed {
			return true
		}
	}
	return false
}

// ask puts a job to the coordinator.
func (p *placer) ask(ctx context.Context, address string, giveUp chan struct{}, j schedule.Job) (schedule.Decision, error) {
	ctx, cancel := context.WithTimeout(ctx, j.MaxWait()+placeReserve)
	defer cancel()
	go func() {
		select {
		case <-giveUp:
			cancel()
		case <-ctx.Done():
		}
	}()
	if err := p.adopt(ctx, address); err != nil {
		return schedule.Decision{}, err
	}
	return p.calls.place(ctx, address, j)
}

// adopt tells a new coordinator the jobs of this entry that are under way.
func (p *placer) adopt(ctx context.Context, address string) error {
	p.mu.Lock()
	if p.adopted {
		p.mu.Unlock()
		return nil
	}
	p.reports = nil
	p.adopted = true
	p.mu.Unlock()
	err := p.calls.adopt(ctx, address, p.self, p.running())
	if err != nil {
		p.mu.Lock()
		p.adopted = false
		p.mu.Unlock()
	}
	return err
}

// doubt stops asking a coordinator that did not answer, for a while.
func (p *placer) doubt(address string, err error) {
	placeFailed.Inc()
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.coordinator != address || time.Now().Before(p.distrusted) {
		return
	}
	p.distrusted = time.Now().Add(distrust)
	p.adopted = false
	p.abandonQuestions()
	p.log.Warn("coordinator does not answer", "step", "gateway.place", "address", address, "error", err.Error())
}

// record keeps a decision of the coordinator, for the time when there is none.
func (p *placer) record(j schedule.Job, d schedule.Decision) {
	if d.Refused() {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.schedulers[j.Service]; s != nil {
		p.service[j.ID] = j.Service
		s.Adopt(schedule.PlacedJob{Job: j, Decision: d}, time.Now())
	}
}

// placeHere places by what this entry knows: everything, when it is the
// coordinator. A job that waits is withdrawn when changed is closed, and the error
// is errCoordinatorChanged.
func (p *placer) placeHere(ctx context.Context, j schedule.Job, changed <-chan struct{}) (schedule.Decision, error) {
	placedAlone.Inc()
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
		p.endHere(j.ID)
		return schedule.Decision{}, context.Cause(ctx)
	case <-changed:
		return p.withdraw(j.ID, decided)
	}
}

// withdraw takes a job back that waits here, unless it was decided on meanwhile.
func (p *placer) withdraw(job string, decided <-chan schedule.Decision) (schedule.Decision, error) {
	p.mu.Lock()
	_, waits := p.waiting[job]
	p.mu.Unlock()
	if !waits {
		return <-decided, nil
	}
	p.endHere(job)
	return schedule.Decision{}, errCoordinatorChanged
}

// placeForOther places a job of another entry, as the coordinator. When this entry
// stops being it, whoever waits is sent on.
func (p *placer) placeForOther(ctx context.Context, j schedule.Job) (schedule.Decision, error) {
	p.mu.Lock()
	changed := p.giveUp
	p.mu.Unlock()
	d, err := p.placeHere(ctx, j, changed)
	if errors.Is(err, errCoordinatorChanged) {
		return d, errNotCoordinator
	}
	return d, err
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
	p.startHere(job)
	p.report(report{Job: job, Started: true})
}

// ended tells that a job is over at its endpoint.
func (p *placer) ended(job string, end schedule.Outcome) {
	p.endHere(job)
	p.report(report{Job: job, End: end})
}

func (p *placer) startHere(job string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.schedulers[p.service[job]]; s != nil {
		p.deliver(s.Started(job, time.Now()))
	}
}

func (p *placer) endHere(job string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.schedulers[p.service[job]]; s != nil {
		p.deliver(s.Ended(job, time.Now()))
	}
	delete(p.service, job)
	delete(p.waiting, job)
}

// reconcilePeriod is how often the coordinator is told all jobs of this entry:
// what a lost message left wrong there is mended by then.
const reconcilePeriod = time.Second

// remind tells the coordinator every job of this entry.
func (p *placer) remind(ctx context.Context) {
	p.mu.Lock()
	address, due := p.coordinator, p.coordinator != "" && p.adopted
	p.mu.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, reportWait)
	defer cancel()
	if err := p.calls.adopt(ctx, address, p.self, p.running()); err != nil {
		p.doubt(address, err)
	}
}

// running are the jobs of this entry.
func (p *placer) running() []schedule.PlacedJob {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []schedule.PlacedJob
	for _, s := range p.schedulers {
		out = append(out, s.PlacedJobs(p.self)...)
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
