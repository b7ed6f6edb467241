package gateway

import (
	"cmp"
	"context"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/jacinthplank/jacinthplank/announce"
	"github.com/jacinthplank/jacinthplank/blame"
	"github.com/jacinthplank/jacinthplank/breaker"
	"github.com/jacinthplank/jacinthplank/coord/document"
	"github.com/jacinthplank/jacinthplank/decision"
	"github.com/jacinthplank/jacinthplank/forward"
	"github.com/jacinthplank/jacinthplank/homes"
	"github.com/jacinthplank/jacinthplank/memory"
	"github.com/jacinthplank/jacinthplank/mesh"
	"github.com/jacinthplank/jacinthplank/ratelimit"
	"github.com/jacinthplank/jacinthplank/retry"
	"github.com/jacinthplank/jacinthplank/route"
	"github.com/jacinthplank/jacinthplank/spill"
	"github.com/jacinthplank/jacinthplank/supervise"
	"github.com/jacinthplank/jacinthplank/timeline"
)

// Settings of a gateway.
type Settings struct {
	Name            string
	FailureDomain   string
	Region          string            // of FailureDomain; empty if unknown
	Regions         map[string]string // region by failure domain; nil if unknown
	DataFolder      string            // empty for no persistent storage
	FirstStart      bool              // the fleet is bootstrapped for the first time
	Tolerated       mesh.Tolerance    // losses at once
	Seeds           []string
	Listen          Listen
	MemoryBytes     int64         // 0 if unknown
	ShutdownTimeout time.Duration // from the signal until the process is killed
	Retries         Retries
	Cold            Cold
	// SharesEngines is set if accounts and kinds of requests compete for the engines, and each
	// is to get its share of them.
	SharesEngines bool
	BytePrice     float64 // of a byte that leaves its failure domain; 0 for spill.DefaultBytePrice
}

// Cold bounds the requests that a cold endpoint gets from all entries in any one second: its
// rate x Excess + Slack.
type Cold struct {
	Excess float64 // 1 or more; 1 if it is not given
	Slack  float64 // requests
}

// Retries limits the retries of requests to one service across all entries.
type Retries struct {
	Ratio  float64 // retries per request
	Slack  float64 // retries allowed in addition to Ratio
	Window time.Duration
}

// Gateway is one entry of the serving layer on a platform.
type Gateway struct {
	settings  Settings
	dialect   Dialect
	log       *slog.Logger
	logs      *decision.Log
	events    *timeline.Log
	mesh      *mesh.Mesh
	client    *forward.Client
	breakers  *breaker.Set
	placer    *placer
	plain     *plainPicker
	deadlines *deadlineHistory
	returns   refusedCallers
	limits    *ratelimit.Table
	blame     *blame.Store
	evacuated *evacuatedServices
	regions   homes.Regions

	callerServer  *callerServer
	peerServer    *server
	controlServer *server // nil without a control address

	table      atomic.Pointer[route.Table]
	configured chan struct{} // closed when the first table is set
	running    atomic.Int64
	memory     *memory.Budget // for what is held for callers and endpoints
	bodyMemory *memory.Budget // the share of it up to which bodies are taken
	slow       *slowCallers
	shutdown   *shutdown

	mu           sync.Mutex
	retryBudgets map[string]*retry.Window // by service
	peakEntries  int                      // maximum number of entries seen
}

// eventCapacity is the number of events kept for operators. At 24 requests per second
// and two events per request it covers the last five minutes in about 4 MB.
const eventCapacity = 16_384

// New returns a gateway that does not listen or serve requests until Run.
func New(s Settings, d Dialect, logs *decision.Log) *Gateway {
	g := &Gateway{
		settings: s, dialect: d, logs: logs,
		log:    logs.Logger(slog.LevelInfo).With("instance", s.Name),
		client: forward.NewClient(d), breakers: breaker.NewSet(),
		evacuated: newEvacuatedServices(), retryBudgets: map[string]*retry.Window{}, plain: newPlainPicker(), deadlines: newDeadlineHistory(), limits: ratelimit.NewTable(), blame: blame.NewStore(), events: timeline.NewLog(s.Name, eventCapacity, time.Now), configured: make(chan struct{}), shutdown: newShutdown(),
	}
	g.regions = homes.NewRegions(s.Regions, s.FailureDomain, s.Region)
	g.limits.SetColdBounds(ratelimit.ColdBounds{Excess: s.Cold.Excess, Slack: s.Cold.Slack})
	g.plain.coldCost = g.coldCost
	g.memory = memory.NewBudget(int64(memoryShare * float64(s.MemoryBytes)))
	g.bodyMemory = g.memory.Share(bodyShare)
	g.slow = newSlowCallers(g.memory, g.log)
	g.callerServer = newCallerServer(http.HandlerFunc(g.serveCaller))
	g.callerServer.setLimits(route.HeaderLimits{})
	g.placer = newPlacer(s.Name, g.breakers, g.limits, g.blame, meshCoordinatorClient{func() *mesh.Mesh { return g.mesh }}, g.log)
	g.blame.OnChange = g.logVerdict
	g.breakers.OnChange = func(endpoint string, state breaker.State, reason string) {
		g.log.Warn("breaker", "step", "gateway.breaker", "endpoint", endpoint, "state", state.String(), "reason", reason)
	}
	g.mesh = mesh.New(mesh.Options{
		Name: s.Name, Address: s.Listen.peerAddress(), Source: s.Listen.peerSource(), FailureDomain: s.FailureDomain, Seeds: s.Seeds,
		DataFolder: s.DataFolder, FirstStart: s.FirstStart, Log: g.log, Events: g.events,
		Tolerated: s.Tolerated, Regions: s.Regions,
		IsReady: g.isReady, OnDocument: g.apply, OnEndpointsChanged: g.refreshEndpoints, OnEndpointRunEnded: g.endpointRunEnded, OnEntryDown: g.placer.dropEntry,
		OnEvacuationsChanged: g.evacuationsChanged,
	})
	g.placer.evacuated = g.mesh.Evacuated
	g.placer.registerHandlers(g.mesh)
	g.placer.domain, g.placer.bytePrice = s.FailureDomain, cmp.Or(s.BytePrice, spill.DefaultBytePrice)
	g.placer.takeCalls = g.plain.takeReport
	g.placer.onDenial = g.mesh.NoteDenial
	if s.DataFolder != "" {
		newBlameStore(g).restore()
	}
	return g
}

// apply activates a configuration. It was validated before the quorum accepted it.
func (g *Gateway) apply(d document.Document) {
	table, err := g.dialect.DecodeConfiguration(d.Body)
	if err != nil {
		g.log.Error("committed configuration could not be decoded", "step", "gateway.apply", "number", d.Number, "error", err.Error())
		return
	}
	g.placer.configure(table)
	g.callerServer.setLimits(table.Limits.Header)
	if g.table.Swap(table) == nil {
		close(g.configured)
	}
	go g.refreshEndpoints()
}

// endpointRunEnded drops what was learned of an endpoint that left or started again.
func (g *Gateway) endpointRunEnded(id string) {
	g.breakers.Remove(id)
	g.limits.Forget(id)
}

// refreshEndpoints updates the placer with the endpoints and the evacuated domains.
func (g *Gateway) refreshEndpoints() {
	g.placer.setEndpoints(g.announcedEndpoints, time.Now())
	g.evacuated.update(g.isServiceEvacuated)
}

// isReady reports whether the load balancer may send requests.
func (g *Gateway) isReady() bool {
	return g.table.Load() != nil && g.mesh.IsCaughtUp() && !g.shutdown.begun()
}

// listeners holds the open listeners of a gateway. metrics and control may be nil.
type listeners struct {
	callers, ready, control, peers, metrics net.Listener
}

func (g *Gateway) listen() (*listeners, error) {
	l := &listeners{}
	for _, binding := range []struct {
		address string
		target  *net.Listener
	}{
		{g.settings.Listen.Peers, &l.peers},
		{g.settings.Listen.Callers, &l.callers},
		{g.settings.Listen.Ready, &l.ready},
		{g.settings.Listen.Control, &l.control},
		{g.settings.Listen.Metrics, &l.metrics},
	} {
		if binding.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", binding.address)
		if err != nil {
			return nil, trace.Wrap(err, "listen on %s", binding.address)
		}
		*binding.target = listener
	}
	return l, nil
}

// Run serves until a signal arrives on stop, then shuts down gracefully.
func (g *Gateway) Run(stop, reload <-chan os.Signal) error {
	l, err := g.listen()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	tree := supervise.New(g.settings.Name, g.log)
	for _, duty := range g.duties(l) {
		tree.Add(duty)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = tree.Serve(ctx) // ends with ctx
	}()
	go func() {
		err := g.callerServer.serve(l.callers, g.log)
		if !g.shutdown.begun() {
			g.log.Error("caller listener stopped accepting connections", "step", "gateway.serve", "error", err.Error())
		}
	}()
	g.log.Info("started", "step", "gateway.start", "failure_domain", g.settings.FailureDomain, "peers", g.settings.Listen.Peers, "advertised", g.settings.Listen.peerAddress(),
		"disk", g.settings.DataFolder != "", "first_start", g.settings.FirstStart, "seeds", g.settings.Seeds)
	for waiting := true; waiting; {
		select {
		case <-reload:
			// Process settings are read only at startup, and the routing table comes
			// from the quorum, so there is nothing to reload.
			g.log.Info("reload asked for", "step", "gateway.reload", "changed", 0)
		case <-stop:
			waiting = false
		}
	}
	g.shutDown()
	cancel()
	<-ended
	return nil
}

func (g *Gateway) duties(l *listeners) []supervise.Duty {
	g.peerServer = newServer("peers", mesh.NewHTTPServer(g.mesh.Handler()), l.peers)
	probes := newProbeDuty(g)
	g.placer.onSuspect = probes.probeSuspect
	duties := append([]supervise.Duty{g.logs, g.peerServer}, g.mesh.Duties()...)
	duties = append(
		duties,
		newServer("ready", mesh.NewHTTPServer(g.dialect.ReadyHandler(g.isReady)), l.ready),
		&placementDuty{g},
		g.slow,
		probes,
	)
	if g.settings.DataFolder != "" {
		duties = append(duties, newBlameStore(g))
	}
	if l.control != nil {
		g.controlServer = newServer("control", mesh.NewHTTPServer(g.dialect.ControlHandler(g)), l.control)
		duties = append(duties, g.controlServer)
	}
	if l.metrics != nil {
		duties = append(duties, newServer("metrics", mesh.NewHTTPServer(metricsHandler()), l.metrics))
	}
	return duties
}

// placementDuty refreshes the placer's view of endpoints and entries and retries queued
// jobs every placementInterval. Every reconcileInterval it closes idle connections
// that expired or go to endpoints that accept no more requests.
type placementDuty struct{ g *Gateway }

// Name implements supervise.Duty.
func (p *placementDuty) Name() string { return "placing" }

// Serve implements supervise.Duty.
func (p *placementDuty) Serve(ctx context.Context) error {
	ticker := time.NewTicker(placementInterval)
	defer ticker.Stop()
	lastAnnounced := uint64(0)
	for ticks := 0; ; ticks++ {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		// Circuit breakers change state without an announcement, so they are checked too.
		if announced := p.g.mesh.EndpointsVersion(); announced != lastAnnounced || ticks%breakerCheckTicks == 0 {
			lastAnnounced = announced
			p.g.refreshEndpoints()
		}
		leader, isSelf := p.g.mesh.Leader()
		p.g.placer.setCoordinator(leader, isSelf)
		if leader != "" || isSelf {
			// Before an entry has found a coordinator it doesn't know how many others there are.
			p.g.limits.SetEntries(p.g.maxEntries())
		}
		peers := p.g.mesh.EntryCount() - 1
		if isSelf {
			peers = 0
		}
		p.g.placer.setPeerCount(peers)
		if ticks%int(reconcileInterval/placementInterval) == 0 {
			go p.g.placer.resyncJobs(ctx)
			p.g.dropUnused()
			p.g.placer.publishLinks(time.Now())
		}
		if ticks%int(spillRefreshInterval/placementInterval) == 0 && p.g.plain.isSpilling(time.Now()) {
			p.g.placer.reportCalls()
		}
		p.g.placer.tick(time.Now())
	}
}

// dropUnused closes idle connections that expired or go to endpoints that accept no more
// requests, and drops the limits of endpoints that do not announce themselves as ready.
func (g *Gateway) dropUnused() {
	g.client.CloseIdleConnections(g.mesh.ReadyAddresses())
	ready := g.mesh.AnnouncedReady() // the limits of evacuated endpoints hold when they return
	g.limits.Expire(time.Now(), func(endpoint string) bool { return ready[endpoint] })
}

// breakerCheckTicks is the number of placement intervals between two checks of the
// circuit breakers.
const breakerCheckTicks = 4

// retryBudget returns the retry budget of a service.
func (g *Gateway) retryBudget(service string) *retry.Window {
	g.mu.Lock()
	defer g.mu.Unlock()
	w := g.retryBudgets[service]
	if w == nil {
		w = retry.NewWindow(g.settings.Retries.Ratio*budgetFraction, g.settings.Retries.Window)
		g.retryBudgets[service] = w
	}
	return w
}

// budgetFraction is the fraction of the retry limit that is used. The rest covers
// retries that two entries count in different windows.
const budgetFraction = 0.8

// takeRetry takes one retry from this entry's share of the budget and reports whether
// one was left.
func (g *Gateway) takeRetry(service string) bool {
	w := g.retryBudget(service)
	share := g.settings.Retries.Slack * budgetFraction / float64(g.maxEntries())
	return w.AllowRepeat(time.Now(), share)
}

// maxEntries returns the maximum number of entries seen. A limit that is divided by it
// holds while some of them can't be reached.
func (g *Gateway) maxEntries() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.peakEntries = max(g.peakEntries, g.mesh.EntryCount())
	return g.peakEntries
}

// readyEndpoints returns the endpoints of a service that accept requests and are in no
// evacuated domain, after it has applied what they announced of their cold times.
func (g *Gateway) readyEndpoints(service string) []announce.Record {
	return g.withCold(service, g.mesh.ReadyEndpoints(service))
}

// announcedEndpoints returns the same with those in evacuated domains.
func (g *Gateway) announcedEndpoints(service string) []announce.Record {
	return g.withCold(service, g.mesh.AnnouncedEndpoints(service))
}

func (g *Gateway) withCold(service string, all []announce.Record) []announce.Record {
	g.applyCold(service, all)
	return all
}
