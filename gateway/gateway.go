package gateway

import (
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
	"github.com/jacinthplank/jacinthplank/breaker"
	"github.com/jacinthplank/jacinthplank/coord/document"
	"github.com/jacinthplank/jacinthplank/decision"
	"github.com/jacinthplank/jacinthplank/forward"
	"github.com/jacinthplank/jacinthplank/mesh"
	"github.com/jacinthplank/jacinthplank/retry"
	"github.com/jacinthplank/jacinthplank/route"
	"github.com/jacinthplank/jacinthplank/supervise"
	"github.com/jacinthplank/jacinthplank/timeline"
)

// Settings of a gateway.
type Settings struct {
	Name            string
	FailureDomain   string
	DataFolder      string // empty without a disk
	FirstStart      bool   // the whole fleet starts for the first time
	Seeds           []string
	Listen          Listen
	MemoryBytes     int64
	ShutdownTimeout time.Duration // from the signal until the process is ended
	Retries         Retries
}

// Listen are the addresses of a gateway, IP:port.
type Listen struct {
	Callers string
	Ready   string
	Control string
	Peers   string
	Metrics string // empty for none
}

// Retries bound the repeats of requests for one service over all entries.
type Retries struct {
	Ratio  float64 // repeats for each request
	Slack  float64 // repeats besides
	Window time.Duration
}

// Gateway is one entry on a platform.
type Gateway struct {
	settings Settings
	dialect  Dialect
	log      *slog.Logger
	lines    *decision.Log
	events   *timeline.Log
	mesh     *mesh.Mesh
	client   *forward.Client
	breakers *breaker.Set
	placer   *placer
	plain    *plainPicker
	callers  *frontDoor

	table      atomic.Pointer[route.Table]
	configured chan struct{} // closed once there is a table
	stopping   atomic.Bool
	running    atomic.Int64

	mu      sync.Mutex
	budgets map[string]*retry.Window // by service
	peak    int                      // most entries seen, for the shares of the budget
}

// eventCapacity is the number of events kept for operators: at 24 requests a
// second, two events each, those of the last five minutes in some 4 MB.
const eventCapacity = 16_384

// New provisions a gateway; nothing runs or listens yet.
func New(s Settings, d Dialect, lines *decision.Log) *Gateway {
	g := &Gateway{
		settings: s, dialect: d, lines: lines,
		log:    lines.Logger(slog.LevelInfo).With("instance", s.Name),
		client: forward.NewClient(d), breakers: breaker.NewSet(),
		budgets: map[string]*retry.Window{}, plain: newPlainPicker(), events: timeline.NewLog(s.Name, eventCapacity, time.Now), configured: make(chan struct{}),
	}
	g.callers = newFrontDoor(http.HandlerFunc(g.serveCaller))
	g.callers.setLimits(route.HeaderLimits{})
	g.placer = newPlacer(s.Name, g.breakers, meshCalls{func() *mesh.Mesh { return g.mesh }}, g.log)
	g.breakers.OnChange = func(endpoint string, state breaker.State, reason string) {
		g.log.Warn("breaker", "step", "gateway.breaker", "endpoint", endpoint, "state", state.String(), "reason", reason)
	}
	g.mesh = mesh.New(mesh.Options{
		Name: s.Name, Address: s.Listen.Peers, FailureDomain: s.FailureDomain, Seeds: s.Seeds,
		DataFolder: s.DataFolder, FirstStart: s.FirstStart, Log: g.log, Events: g.events,
		OnDocument: g.apply, OnEndpointsChanged: g.refresh, OnEntryDown: g.placer.dropEntry,
	})
	g.placer.registerCoordinator(g.mesh)
	g.placer.moved = g.mesh.SetLeaderHint
	return g
}

// apply puts a configuration in force. It was checked before the quorum took it.
func (g *Gateway) apply(d document.Document) {
	table, err := g.dialect.DecodeConfiguration(d.Body)
	if err != nil {
		g.log.Error("accepted configuration can't be read", "step", "gateway.apply", "number", d.Number, "error", err.Error())
		return
	}
	g.placer.configure(table)
	g.callers.setLimits(table.Limits.Header)
	if g.table.Swap(table) == nil {
		close(g.configured)
	}
	go g.refresh()
}

// refresh tells the placer which endpoints take work.
func (g *Gateway) refresh() { g.placer.refresh(g.mesh.ReadyEndpoints, time.Now()) }

// isReady reports whether the balancer may send callers.
func (g *Gateway) isReady() bool { return g.table.Load() != nil && !g.stopping.Load() }

// listeners are the open listeners of a gateway, by what they serve.
type listeners struct {
	callers, ready, control, peers, metrics net.Listener
}

func (g *Gateway) listen() (*listeners, error) {
	l := &listeners{}
	for _, one := range []struct {
		address string
		to      *net.Listener
	}{
		{g.settings.Listen.Peers, &l.peers},
		{g.settings.Listen.Callers, &l.callers},
		{g.settings.Listen.Ready, &l.ready},
		{g.settings.Listen.Control, &l.control},
		{g.settings.Listen.Metrics, &l.metrics},
	} {
		if one.address == "" {
			continue
		}
		listener, err := net.Listen("tcp", one.address)
		if err != nil {
			return nil, trace.Wrap(err, "listen on %s", one.address)
		}
		*one.to = listener
	}
	return l, nil
}

// Run serves until a signal on stop, then shuts down gracefully.
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
		err := g.callers.serve(l.callers)
		if !g.stopping.Load() {
			g.log.Error("callers are no longer served", "step", "gateway.serve", "error", err.Error())
		}
	}()
	g.log.Info("started", "step", "gateway.start", "failure_domain", g.settings.FailureDomain, "peers", g.settings.Listen.Peers,
		"disk", g.settings.DataFolder != "", "first_start", g.settings.FirstStart, "seeds", g.settings.Seeds)
	for waiting := true; waiting; {
		select {
		case <-reload:
			// Settings of a process are read at its start; the routing table
			// comes from the quorum.
			g.log.Info("reload asked for", "step", "gateway.reload", "changed", 0)
		case <-stop:
			waiting = false
		}
	}
	g.shutDown(l)
	cancel()
	<-ended
	return nil
}

func (g *Gateway) duties(l *listeners) []supervise.Duty {
	duties := []supervise.Duty{g.lines, &server{"peers", mesh.NewHTTPServer(g.mesh.Handler()), l.peers}}
	duties = append(duties, g.mesh.Duties()...)
	duties = append(
		duties,
		&server{"ready", mesh.NewHTTPServer(g.dialect.ReadyHandler(g.isReady)), l.ready},
		&placing{g},
		&probing{g},
	)
	if l.control != nil {
		duties = append(duties, &server{"control", mesh.NewHTTPServer(g.dialect.ControlHandler(g)), l.control})
	}
	if l.metrics != nil {
		duties = append(duties, &server{"metrics", mesh.NewHTTPServer(metricsHandler()), l.metrics})
	}
	return duties
}

// server is an HTTP server as a duty.
type server struct {
	name     string
	server   *http.Server
	listener net.Listener
}

// Name implements supervise.Duty.
func (s *server) Name() string { return s.name }

// Serve implements supervise.Duty.
func (s *server) Serve(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() {
		// The process is about to end: nobody waits for what is left here.
		_ = s.server.Close()
	})
	defer stop()
	return s.server.Serve(s.listener)
}

// placing is the duty that looks after jobs that wait for an endpoint.
type placing struct{ g *Gateway }

// Name implements supervise.Duty.
func (p *placing) Name() string { return "placing" }

// Serve implements supervise.Duty.
func (p *placing) Serve(ctx context.Context) error {
	ticker := time.NewTicker(placePeriod)
	defer ticker.Stop()
	seen := uint64(0)
	for n := 0; ; n++ {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
		// Breakers open and close without an announcement.
		if announced := p.g.mesh.EndpointsVersion(); announced != seen || n%breakerLook == 0 {
			seen = announced
			p.g.refresh()
		}
		leader, isSelf := p.g.mesh.Leader()
		p.g.placer.setCoordinator(leader, isSelf)
		others := p.g.mesh.EntryCount() - 1
		if isSelf {
			others = 0
		}
		p.g.placer.setOthers(others)
		if n%int(reconcilePeriod/placePeriod) == 0 {
			go p.g.placer.remind(ctx)
		}
		p.g.placer.tick(time.Now())
	}
}

// breakerLook is how many periods of the placing duty pass between two looks at
// the breakers.
const breakerLook = 4

// budget returns the window of a service's repeats.
func (g *Gateway) budget(service string) *retry.Window {
	g.mu.Lock()
	defer g.mu.Unlock()
	w := g.budgets[service]
	if w == nil {
		w = retry.NewWindow(g.settings.Retries.Ratio*budgetShare, g.settings.Retries.Window)
		g.budgets[service] = w
	}
	return w
}

// budgetShare is the part of the bound that is used. The rest is for repeats
// that two entries count in different spans.
const budgetShare = 0.8

// mayRepeat takes a repeat out of this entry's share of the budget.
func (g *Gateway) mayRepeat(service string) bool {
	w := g.budget(service)
	g.mu.Lock()
	g.peak = max(g.peak, g.mesh.EntryCount())
	share := g.settings.Retries.Slack * budgetShare / float64(g.peak)
	g.mu.Unlock()
	return w.Repeat(time.Now(), share)
}

// heard returns the endpoints of a service that take work.
func (g *Gateway) heard(service string) []announce.Record { return g.mesh.ReadyEndpoints(service) }
