// Package gossip runs coord/membership between daemons: it sends heartbeats to
// the daemon's watchers, answers those of others, and tells the rest of the
// daemon of members that came, changed or went, and of peers that have a newer
// configuration.
package gossip

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/VictoriaMetrics/metrics"
	"google.golang.org/protobuf/proto"

	"github.com/jacinthplank/jacinthplank/coord/membership"
	"github.com/jacinthplank/jacinthplank/fleet"
	pb "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/submit"
)

// Times of heartbeats.
const (
	interval        = time.Second            // between two heartbeats to one partner
	exchangeTimeout = 900 * time.Millisecond // of one heartbeat
	pokeDelay       = 20 * time.Millisecond  // gathers changes before they are passed on
	seekInterval    = 150 * time.Millisecond // between two calls to the seeds while no other member is known
	probeEvery      = 5                      // heartbeats between two probes of members that are gone
)

var (
	exchanges       = metrics.NewCounter("jacinthplank_gossip_exchanges_total")
	exchangesFailed = metrics.NewCounter("jacinthplank_gossip_exchanges_failed_total")
	exchangedBytes  = metrics.NewCounter("jacinthplank_gossip_message_bytes_total")
	recordsReceived = metrics.NewCounter("jacinthplank_gossip_records_received_total")
)

// Peer is the part of the peer service that heartbeats use.
type Peer interface {
	Exchange(ctx context.Context, r *connect.Request[pb.ExchangeRequest]) (*connect.Response[pb.ExchangeResponse], error)
}

// Options are what a Service works with. Self, Dial and Version must be set.
type Options struct {
	Self      membership.Record
	Seeds     []string // addresses asked while no watcher is known
	Dial      func(address string) Peer
	Version   func() fleet.Version                       // configuration in force here
	Backlog   func() *submit.Backlog                     // nil for a daemon without endpoint duty
	OnChange  func(c membership.Change)                  // called in order; must not block nor call the Service
	OnVersion func(address string, v fleet.Version)      // a peer has a newer configuration
	OnBacklog func(b submit.Backlog, incarnation uint64) // a peer told its backlog
	Now       func() time.Time                           // nil for time.Now
}

// Service is the membership duty.
type Service struct {
	options Options
	poke    chan struct{}

	mu    sync.Mutex
	table *membership.Table
}

// New returns a service that knows its own member only.
func New(o Options) *Service {
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Service{
		options: o,
		poke:    make(chan struct{}, 1),
		table:   membership.New(membership.Options{Self: o.Self}),
	}
}

// Name implements supervise.Duty.
func (s *Service) Name() string { return "gossip" }

// Serve implements supervise.Duty.
func (s *Service) Serve(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for beat := 0; ; beat++ {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		case <-s.poke:
			s.gather(ctx)
		}
		s.beat(ctx, beat%probeEvery == 0)
		timer.Reset(jitter(s.pause()))
	}
}

// pause is the time until the next heartbeats.
func (s *Service) pause() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.table.Partners()) == 0 && len(s.options.Seeds) > 0 {
		return seekInterval
	}
	return interval
}

// TriggerHeartbeat sends the next heartbeats at once, after a change.
func (s *Service) TriggerHeartbeat() {
	select {
	case s.poke <- struct{}{}:
	default:
	}
}

// Members returns every known member by name.
func (s *Service) Members() []membership.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Members()
}

// Head grows with every change of the members.
func (s *Service) Head() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Head()
}

// SetFacts replaces what this member tells of itself.
func (s *Service) SetFacts(f *pb.MemberFacts) {
	s.mu.Lock()
	s.table.SetFacts(EncodeFacts(f))
	s.mu.Unlock()
	s.TriggerHeartbeat()
}

// SetState moves this member's own state on and tells its partners before it
// returns, or until ctx ends.
func (s *Service) SetState(ctx context.Context, state membership.State) {
	s.mu.Lock()
	s.table.SetState(state)
	s.mu.Unlock()
	s.beat(ctx, false)
}

// Exchange implements the peer service's call.
func (s *Service) Exchange(_ context.Context, r *connect.Request[pb.ExchangeRequest]) (*connect.Response[pb.ExchangeResponse], error) {
	heartbeat := r.Msg.GetHeartbeat()
	if heartbeat.GetFrom().GetName() == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, outcome.Refuse(outcome.CodeInvalidRequest, "gossip.exchange", "the sender has no name"))
	}
	m := messageFromProto(heartbeat)
	s.mu.Lock()
	s.apply(s.table.Receive(m, s.options.Now()))
	answer := messageToProto(s.table.Prepare(m.From.Name))
	s.mu.Unlock()
	s.tell(heartbeat)
	return connect.NewResponse(&pb.ExchangeResponse{Heartbeat: s.laden(answer)}), nil
}

// gather waits a little, so that changes that come together go out together.
func (s *Service) gather(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(pokeDelay):
	}
}

// beat exchanges with every partner and judges the members watched here.
func (s *Service) beat(ctx context.Context, probe bool) {
	var wait sync.WaitGroup
	for _, t := range s.targets(probe) {
		wait.Go(func() { s.exchange(ctx, t) })
	}
	wait.Wait()
	s.mu.Lock()
	s.apply(s.table.Expire(s.options.Now()))
	s.mu.Unlock()
}

// target is a member to exchange with; the name of a seed isn't known.
type target struct {
	name    string
	address string
}

func (s *Service) targets(probe bool) []target {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []target
	for _, name := range s.table.Partners() {
		if r, ok := s.table.Get(name); ok {
			out = append(out, target{name, r.Address})
		}
	}
	if len(out) == 0 {
		return s.seeds()
	}
	if probe {
		out = append(out, s.lost()...)
	}
	return out
}

// seeds returns the seeds by the names of the members that have their addresses:
// a member without a name is told everything each time. The caller holds the
// lock.
func (s *Service) seeds() []target {
	var out []target
	for _, address := range s.options.Seeds {
		if address != s.options.Self.Address {
			out = append(out, target{s.nameOf(address), address})
		}
	}
	return out
}

func (s *Service) nameOf(address string) string {
	for _, r := range s.table.Members() {
		if r.Address == address {
			return r.Name
		}
	}
	return ""
}

// lost returns one watcher that is dead, so that two sides of a mended cut find
// each other again, or else one seed.
func (s *Service) lost() []target {
	var dead []target
	for _, r := range s.table.Members() {
		if r.State == membership.Dead && r.Watcher {
			dead = append(dead, target{r.Name, r.Address})
		}
	}
	if len(dead) == 0 {
		dead = s.seeds()
	}
	if len(dead) == 0 {
		return nil
	}
	return []target{dead[rand.IntN(len(dead))]}
}

func (s *Service) exchange(ctx context.Context, t target) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	s.mu.Lock()
	request := messageToProto(s.table.Prepare(t.name))
	s.mu.Unlock()
	exchanges.Inc()
	response, err := s.options.Dial(t.address).Exchange(ctx, connect.NewRequest(&pb.ExchangeRequest{Heartbeat: s.laden(request)}))
	if err != nil || response.Msg.GetHeartbeat().GetFrom().GetName() == "" {
		exchangesFailed.Inc()
		return
	}
	answer := response.Msg.GetHeartbeat()
	exchangedBytes.Add(proto.Size(request) + proto.Size(answer))
	s.mu.Lock()
	s.apply(s.table.Receive(messageFromProto(answer), s.options.Now()))
	s.mu.Unlock()
	s.tell(answer)
}

// laden puts what rides on a heartbeat into it.
func (s *Service) laden(h *pb.Heartbeat) *pb.Heartbeat {
	h.Version = versionToProto(s.options.Version())
	h.Backlog = s.backlog()
	return h
}

// apply hands changes of members on in the order in which they were made. The
// caller holds the lock.
func (s *Service) apply(changes []membership.Change) {
	recordsReceived.Add(len(changes))
	for _, c := range changes {
		if s.options.OnChange != nil {
			s.options.OnChange(c)
		}
	}
	if len(changes) > 0 {
		s.TriggerHeartbeat()
	}
}

// tell hands on what rode on a heartbeat.
func (s *Service) tell(h *pb.Heartbeat) {
	version := fleet.Version{Epoch: h.GetVersion().GetEpoch(), Revision: h.GetVersion().GetRevision()}
	if s.options.OnVersion != nil && s.options.Version().Less(version) {
		s.options.OnVersion(h.GetFrom().GetAddress(), version)
	}
	if s.options.OnBacklog != nil && h.GetBacklog() != nil {
		s.options.OnBacklog(backlogFromProto(h.GetBacklog()), h.GetFrom().GetIncarnation())
	}
}

func jitter(d time.Duration) time.Duration {
	return d*9/10 + rand.N(d/5)
}
