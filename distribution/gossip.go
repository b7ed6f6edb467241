package distribution

import (
	"context"
	"errors"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"github.com/gravitational/trace"

	"github.com/jacinthplank/jacinthplank/coord/revision"
	"github.com/jacinthplank/jacinthplank/fleet"
	jacinthplankv1 "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
	"github.com/jacinthplank/jacinthplank/ring"
	"github.com/jacinthplank/jacinthplank/timeline"
)

var (
	requestsSent   = metrics.NewCounter("jacinthplank_configuration_questions_total")
	requestsFailed = metrics.NewCounter("jacinthplank_configuration_questions_failed_total")
)

// inboxCapacity is the maximum number of items queued for the duty; when it is
// full, the oldest are dropped.
const inboxCapacity = 64

// RequestFunc sends a request to the peer at an address and returns its response.
type RequestFunc func(ctx context.Context, address string, q *jacinthplankv1.ConfigurationRequest) (*jacinthplankv1.ConfigurationResponse, error)

// Options configures a Gossip.
type Options struct {
	Store     *Store
	Address   string          // of this daemon, sent to peers
	Peers     func() []string // addresses of the other daemons
	Request   RequestFunc
	CacheFile string // file for the active configuration; empty for none
	Log       *slog.Logger
	Events    timeline.Recorder
	// ProbePeriod is the mean time between requests to a random peer; 0 for the
	// default. It may be long if versions are also learned from heartbeats.
	ProbePeriod time.Duration
	Rand        *rand.Rand // used by the duty only; nil for a randomly seeded one
}

// Gossip is the duty that keeps a Store up to date and notifies peers of new
// versions.
type Gossip struct {
	options            Options
	planner            *Planner
	inbox              *ring.Ring[inboxItem]
	needSnapshot       bool             // deltas did not match their digest; request a snapshot next
	lastRejected       revision.Version // latest version that could not be applied
	spareNotifications int              // remaining replacements for failed notifications
	inFlight           sync.WaitGroup
}

// inboxItem is one of: a response from a peer, a failed request to a peer, the
// version of a peer learned otherwise, or an update supplied by Offer.
type inboxItem struct {
	address      string
	response     *jacinthplankv1.ConfigurationResponse
	failed       bool
	notification bool // the failed request was a notification of a new version
	version      fleet.Version
	update       *revision.Update
}

// NewGossip returns a duty for the store in the options.
func NewGossip(o Options) *Gossip {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Events == nil {
		o.Events = timeline.Discard{}
	}
	if o.Rand == nil {
		o.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	planner := NewPlanner(o.Rand)
	if o.ProbePeriod > 0 {
		planner.probePeriod = o.ProbePeriod
	}
	return &Gossip{options: o, planner: planner, inbox: ring.New[inboxItem](inboxCapacity, ring.DropOldest)}
}

// Name implements supervise.Duty.
func (g *Gossip) Name() string { return "distribution" }

// ObserveVersion records that the peer at an address has a version, as learned from
// an announcement or a response. It never blocks.
func (g *Gossip) ObserveVersion(address string, v fleet.Version) {
	if address != "" && g.options.Store.Version().Less(v) {
		g.inbox.Put(inboxItem{address: address, version: v})
	}
}

// Offer queues an update that did not come from a peer. It never blocks.
func (g *Gossip) Offer(u revision.Update) { g.inbox.Put(inboxItem{update: &u}) }

// Configuration is the handler of PeerService.Configuration.
func (g *Gossip) Configuration(_ context.Context, r *connect.Request[jacinthplankv1.ConfigurationRequest]) (*connect.Response[jacinthplankv1.ConfigurationResponse], error) {
	return connect.NewResponse(g.Respond(r.Msg)), nil
}

// Respond returns the response to a peer's request, and records the peer's version
// if the peer is ahead.
func (g *Gossip) Respond(request *jacinthplankv1.ConfigurationRequest) *jacinthplankv1.ConfigurationResponse {
	have := decodeVersion(request.GetHave())
	g.ObserveVersion(request.GetAddress(), have)
	return encodeUpdate(g.options.Store.Update(have, request.GetWhole()))
}

// Serve implements supervise.Duty.
func (g *Gossip) Serve(ctx context.Context) error {
	defer g.inFlight.Wait()
	g.loadCache()
	for ctx.Err() == nil {
		g.drainInbox(ctx)
		address, wait := g.planner.Next(time.Now(), g.options.Store.Version(), g.options.Peers())
		if address == "" {
			g.waitForInbox(ctx, wait)
			continue
		}
		snapshot := g.needSnapshot
		g.inFlight.Go(func() { g.pull(ctx, address, snapshot) })
	}
	return ctx.Err()
}

// drainInbox handles all queued items.
func (g *Gossip) drainInbox(ctx context.Context) {
	for {
		select {
		case item := <-g.inbox.Items():
			g.handle(ctx, item)
		default:
			return
		}
	}
}

func (g *Gossip) waitForInbox(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case item := <-g.inbox.Items():
		g.handle(ctx, item)
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (g *Gossip) handle(ctx context.Context, item inboxItem) {
	switch {
	case item.update != nil:
		if err := g.apply(ctx, *item.update, "control"); err != nil {
			g.logRejected(item.update.Version, "control", err)
		}
	case item.failed:
		g.planner.RecordFailure(time.Now(), item.address)
		if item.notification && g.spareNotifications > 0 {
			g.spareNotifications--
			g.notify(ctx, g.planner.SampleNonNeighbours(time.Now(), g.options.Peers(), 1))
		}
	case item.response != nil:
		g.handleResponse(ctx, item.address, item.response)
	default:
		g.planner.ObserveVersion(item.address, item.version)
	}
}

// handleResponse applies a newer configuration from a peer. If deltas do not match
// their digest, the next request asks for a snapshot.
func (g *Gossip) handleResponse(ctx context.Context, address string, response *jacinthplankv1.ConfigurationResponse) {
	version := decodeVersion(response.GetVersion())
	g.planner.RecordResponse(address, version)
	if !g.options.Store.Version().Less(version) {
		return
	}
	err := g.apply(ctx, decodeUpdate(response), address)
	if errors.Is(err, ErrDigest) && !g.needSnapshot {
		g.needSnapshot = true
		return
	}
	g.needSnapshot = false
	if err != nil {
		g.logRejected(revision.Version(version), address, err)
		g.planner.RecordFailure(time.Now(), address)
	}
}

// logRejected logs that a version could not be applied. It logs a version once, as
// applying it is retried indefinitely.
func (g *Gossip) logRejected(v revision.Version, from string, err error) {
	if g.lastRejected == v {
		return
	}
	g.lastRejected = v
	g.options.Log.Error("configuration not applied", "version", v.String(), "from", from, "error", err)
}

// pull sends a request to one peer and queues the result for the duty.
func (g *Gossip) pull(ctx context.Context, address string, snapshot bool) {
	response, err := g.request(ctx, address, snapshot)
	if err != nil {
		requestsFailed.Inc()
		g.inbox.Put(inboxItem{address: address, failed: true})
		return
	}
	g.inbox.Put(inboxItem{address: address, response: response})
}

func (g *Gossip) request(ctx context.Context, address string, snapshot bool) (*jacinthplankv1.ConfigurationResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, PullTimeout)
	defer cancel()
	requestsSent.Inc()
	response, err := g.options.Request(ctx, address, &jacinthplankv1.ConfigurationRequest{
		Have: encodeVersion(g.options.Store.Version()), Address: g.options.Address, Whole: snapshot,
	})
	return response, trace.Wrap(err)
}

// apply applies an update and, if it changed the configuration, notifies peers and
// writes the cache file.
func (g *Gossip) apply(ctx context.Context, u revision.Update, from string) error {
	changed, err := g.options.Store.Apply(u)
	if err != nil || !changed {
		return err
	}
	g.options.Events.Record(timeline.Event{
		Kind: timeline.KindRevision, Step: "distribution.apply", Peer: from, Detail: u.Version.String(),
	})
	g.options.Log.Info("configuration in force", "version", u.Version.String(), "from", from)
	g.notifyPeers(ctx)
	g.saveCache()
	return nil
}

// notifyPeers notifies up to FanOut peers of the active version, and up to FanOut more
// in place of those that fail. Peers that are behind then pull from this daemon.
func (g *Gossip) notifyPeers(ctx context.Context) {
	g.spareNotifications = FanOut
	g.notify(ctx, g.planner.Sample(time.Now(), g.options.Peers(), FanOut))
}

func (g *Gossip) notify(ctx context.Context, addresses []string) {
	for _, address := range addresses {
		g.inFlight.Go(func() { g.notifyPeer(ctx, address) })
	}
}

func (g *Gossip) notifyPeer(ctx context.Context, address string) {
	response, err := g.request(ctx, address, false)
	if err != nil {
		requestsFailed.Inc()
		g.inbox.Put(inboxItem{address: address, failed: true, notification: true})
		return
	}
	g.ObserveVersion(address, decodeVersion(response.GetVersion()))
}

// loadCache applies the cache file if its version is higher than the active one.
func (g *Gossip) loadCache() {
	if g.options.CacheFile == "" {
		return
	}
	if err := g.options.Store.Load(g.options.CacheFile); err != nil {
		g.options.Log.Error("cached configuration not loaded", "error", err)
	}
}

func (g *Gossip) saveCache() {
	if g.options.CacheFile == "" {
		return
	}
	if err := g.options.Store.Save(g.options.CacheFile); err != nil {
		g.options.Log.Error("configuration not written to cache file", "file", g.options.CacheFile, "error", err)
	}
}
