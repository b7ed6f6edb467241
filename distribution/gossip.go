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
	questions = metrics.NewCounter("jacinthplank_configuration_questions_total")
	unheard   = metrics.NewCounter("jacinthplank_configuration_questions_failed_total")
)

// newsCapacity is how many pieces of news wait for the duty.
const newsCapacity = 64

// Ask puts a question to the peer at an address.
type Ask func(ctx context.Context, address string, q *jacinthplankv1.ConfigurationRequest) (*jacinthplankv1.ConfigurationResponse, error)

// Options of a Gossip.
type Options struct {
	Store     *Store
	Address   string          // of this daemon, told to peers
	Peers     func() []string // addresses of the other daemons
	Ask       Ask
	CacheFile string // file for the configuration in force, empty for none
	Log       *slog.Logger
	Events    timeline.Recorder
	// Probe is the mean time between questions to a random peer; 0 for
	// ProbePeriod. It may be long where versions are heard with heartbeats.
	Probe time.Duration
	Rand  *rand.Rand // used by the duty only; nil for one seeded at random
}

// Gossip is the duty that keeps a Store up to date and its peers with it.
type Gossip struct {
	options Options
	planner *Planner
	news    *ring.Ring[item]
	whole   bool             // deltas did not fit: the next question is for the snapshot
	refused revision.Version // latest that could not be applied
	spare   int              // peers that may still be told in place of some that failed
	asking  sync.WaitGroup
}

// item is one piece of news: what a peer has answered, that it did not answer,
// what else was heard of its version, or an update that is at hand.
type item struct {
	address string
	reply   *jacinthplankv1.ConfigurationResponse
	failed  bool
	untold  bool // it failed when it was to be told of a new version
	version fleet.Version
	update  *revision.Update
}

// NewGossip returns the duty over a store.
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
	if o.Probe > 0 {
		planner.period = o.Probe
	}
	return &Gossip{options: o, planner: planner, news: ring.New[item](newsCapacity, ring.DropOldest)}
}

// Name implements supervise.Duty.
func (g *Gossip) Name() string { return "distribution" }

// Heard tells that the peer at an address has a version, as read from an
// announcement or a reply. It never blocks.
func (g *Gossip) Heard(address string, v fleet.Version) {
	if address != "" && g.options.Store.Version().Less(v) {
		g.news.Put(item{address: address, version: v})
	}
}

// Offer hands over an update that did not come from a peer. It never blocks.
func (g *Gossip) Offer(u revision.Update) { g.news.Put(item{update: &u}) }

// Configuration is the handler of PeerService.Configuration.
func (g *Gossip) Configuration(_ context.Context, r *connect.Request[jacinthplankv1.ConfigurationRequest]) (*connect.Response[jacinthplankv1.ConfigurationResponse], error) {
	return connect.NewResponse(g.Answer(r.Msg)), nil
}

// Answer answers a peer's question, and learns from it when the peer is ahead.
func (g *Gossip) Answer(q *jacinthplankv1.ConfigurationRequest) *jacinthplankv1.ConfigurationResponse {
	have := versionOf(q.GetHave())
	g.Heard(q.GetAddress(), have)
	return encodeUpdate(g.options.Store.Update(have, q.GetWhole()))
}

// Serve implements supervise.Duty.
func (g *Gossip) Serve(ctx context.Context) error {
	defer g.asking.Wait()
	g.load()
	for ctx.Err() == nil {
		g.read(ctx)
		address, wait := g.planner.Next(time.Now(), g.options.Store.Version(), g.options.Peers())
		if address == "" {
			g.wait(ctx, wait)
			continue
		}
		whole := g.whole
		g.asking.Go(func() { g.pull(ctx, address, whole) })
	}
	return ctx.Err()
}

// read takes in the news that waits.
func (g *Gossip) read(ctx context.Context) {
	for {
		select {
		case n := <-g.news.Items():
			g.take(ctx, n)
		default:
			return
		}
	}
}

func (g *Gossip) wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case n := <-g.news.Items():
		g.take(ctx, n)
	case <-timer.C:
	case <-ctx.Done():
	}
}

func (g *Gossip) take(ctx context.Context, n item) {
	switch {
	case n.update != nil:
		if err := g.apply(ctx, *n.update, "control"); err != nil {
			g.report(n.update.Version, "control", err)
		}
	case n.failed:
		g.planner.Failed(time.Now(), n.address)
		if n.untold && g.spare > 0 {
			g.spare--
			g.tell(ctx, g.planner.SampleFar(time.Now(), g.options.Peers(), 1))
		}
	case n.reply != nil:
		g.takeReply(ctx, n.address, n.reply)
	default:
		g.planner.Heard(n.address, n.version)
	}
}

// takeReply applies what a peer has beyond this daemon. When deltas do not fit,
// the whole configuration is asked for next.
func (g *Gossip) takeReply(ctx context.Context, address string, reply *jacinthplankv1.ConfigurationResponse) {
	version := versionOf(reply.GetVersion())
	g.planner.Answered(address, version)
	if !g.options.Store.Version().Less(version) {
		return
	}
	err := g.apply(ctx, decodeUpdate(reply), address)
	if errors.Is(err, ErrDigest) && !g.whole {
		g.whole = true
		return
	}
	g.whole = false
	if err != nil {
		g.report(revision.Version(version), address, err)
		g.planner.Failed(time.Now(), address)
	}
}

// report logs the first failure to apply a version; it is tried again and again.
func (g *Gossip) report(v revision.Version, from string, err error) {
	if g.refused == v {
		return
	}
	g.refused = v
	g.options.Log.Error("configuration not applied", "version", v.String(), "from", from, "error", err)
}

// pull puts a question to one peer and hands the answer to the duty.
func (g *Gossip) pull(ctx context.Context, address string, whole bool) {
	reply, err := g.question(ctx, address, whole)
	if err != nil {
		unheard.Inc()
		g.news.Put(item{address: address, failed: true})
		return
	}
	g.news.Put(item{address: address, reply: reply})
}

func (g *Gossip) question(ctx context.Context, address string, whole bool) (*jacinthplankv1.ConfigurationResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, PullTimeout)
	defer cancel()
	questions.Inc()
	reply, err := g.options.Ask(ctx, address, &jacinthplankv1.ConfigurationRequest{
		Have: encodeVersion(g.options.Store.Version()), Address: g.options.Address, Whole: whole,
	})
	return reply, trace.Wrap(err)
}

// apply puts an update in force, tells peers and keeps a copy on disk.
func (g *Gossip) apply(ctx context.Context, u revision.Update, from string) error {
	changed, err := g.options.Store.Apply(u)
	if err != nil || !changed {
		return err
	}
	g.options.Events.Record(timeline.Event{
		Kind: timeline.KindRevision, Step: "distribution.apply", Peer: from, Detail: u.Version.String(),
	})
	g.options.Log.Info("configuration in force", "version", u.Version.String(), "from", from)
	g.spread(ctx)
	g.save()
	return nil
}

// spread tells a few peers, and others in place of those that don't answer.
// Peers that are behind then pull from here.
func (g *Gossip) spread(ctx context.Context) {
	g.spare = FanOut
	g.tell(ctx, g.planner.Sample(time.Now(), g.options.Peers(), FanOut))
}

func (g *Gossip) tell(ctx context.Context, addresses []string) {
	for _, address := range addresses {
		g.asking.Go(func() { g.tellOne(ctx, address) })
	}
}

func (g *Gossip) tellOne(ctx context.Context, address string) {
	reply, err := g.question(ctx, address, false)
	if err != nil {
		unheard.Inc()
		g.news.Put(item{address: address, failed: true, untold: true})
		return
	}
	g.Heard(address, versionOf(reply.GetVersion()))
}

// load puts the copy on disk in force when it is higher than what is.
func (g *Gossip) load() {
	if g.options.CacheFile == "" {
		return
	}
	if err := g.options.Store.Load(g.options.CacheFile); err != nil {
		g.options.Log.Error("configuration not read from disk", "error", err)
	}
}

func (g *Gossip) save() {
	if g.options.CacheFile == "" {
		return
	}
	if err := g.options.Store.Save(g.options.CacheFile); err != nil {
		g.options.Log.Error("configuration not kept on disk", "file", g.options.CacheFile, "error", err)
	}
}
