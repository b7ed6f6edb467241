// Package gossip runs coord/membership between daemons: it exchanges heartbeats with
// the daemon's watchers and notifies the rest of the daemon of membership changes,
// of newer configurations and of peers' backlogs.
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

// Intervals and timeouts of heartbeats.
const (
	heartbeatInterval  = time.Second            // between two heartbeats to one partner
	exchangeTimeout    = 900 * time.Millisecond // of one heartbeat
	batchDelay         = 20 * time.Millisecond  // batches changes that occur together
	seedInterval       = 150 * time.Millisecond // between two heartbeats to the seeds while no partner is known
	heartbeatsPerProbe = 5                      // heartbeat rounds between two probes of dead members or seeds
)

var (
	exchangesTotal  = metrics.NewCounter("jacinthplank_gossip_exchanges_total")
	exchangesFailed = metrics.NewCounter("jacinthplank_gossip_exchanges_failed_total")
	exchangedBytes  = metrics.NewCounter("jacinthplank_gossip_message_bytes_total")
	recordsReceived = metrics.NewCounter("jacinthplank_gossip_records_received_total")
)

// Peer is the part of the peer service that heartbeats use.
type Peer interface {
	Exchange(ctx context.Context, r *connect.Request[pb.ExchangeRequest]) (*connect.Response[pb.ExchangeResponse], error)
}

// Options configure a Service. Self, Dial and Version are required.
type Options struct {
	Self      membership.Record
	Seeds     []string // addresses contacted while no partner is known
	Dial      func(address string) Peer
	Version   func() fleet.Version                       // configuration in force here
	Backlog   func() *submit.Backlog                     // nil for a daemon without endpoint duty
	OnChange  func(c membership.Change)                  // called in order; must neither block nor call the Service
	OnVersion func(address string, v fleet.Version)      // a peer has a newer configuration
	OnBacklog func(b submit.Backlog, incarnation uint64) // a peer reported its backlog
	Now       func() time.Time                           // nil for time.Now
}

// Service is the membership duty.
type Service struct {
	options Options
	trigger chan struct{}

	mu    sync.Mutex
	table *membership.Table
}

// New returns a service whose only known member is its own.
func New(o Options) *Service {
	if o.Now == nil {
		o.Now = time.Now
	}
	return &Service{
		options: o,
		trigger: make(chan struct{}, 1),
		table:   membership.New(membership.Options{Self: o.Self}),
	}
}

// Name implements supervise.Duty.
func (s *Service) Name() string { return "gossip" }

// Serve implements supervise.Duty.
func (s *Service) Serve(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for round := 0; ; round++ {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-timer.C:
		case <-s.trigger:
			s.waitForBatch(ctx)
		}
		s.sendHeartbeats(ctx, round%heartbeatsPerProbe == 0)
		timer.Reset(jitter(s.nextInterval()))
	}
}

// nextInterval returns the time until the next heartbeats.
func (s *Service) nextInterval() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.table.Partners()) == 0 && len(s.options.Seeds) > 0 {
		return seedInterval
	}
	return heartbeatInterval
}

// TriggerHeartbeat sends the next heartbeats soon, after a change.
func (s *Service) TriggerHeartbeat() {
	select {
	case s.trigger <- struct{}{}:
	default:
	}
}

// Members returns every known member, sorted by name.
func (s *Service) Members() []membership.Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Members()
}

// Head increases with every change of the members.
func (s *Service) Head() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Head()
}

// SetFacts replaces the facts of this member.
func (s *Service) SetFacts(f *pb.MemberFacts) {
	s.mu.Lock()
	s.table.SetFacts(EncodeFacts(f))
	s.mu.Unlock()
	s.TriggerHeartbeat()
}

// SetState advances this member's state. It returns once the partners were notified
// or ctx ends.
func (s *Service) SetState(ctx context.Context, state membership.State) {
	s.mu.Lock()
	s.table.SetState(state)
	s.mu.Unlock()
	s.sendHeartbeats(ctx, false)
}

// Exchange implements the peer service's call.
func (s *Service) Exchange(_ context.Context, r *connect.Request[pb.ExchangeRequest]) (*connect.Response[pb.ExchangeResponse], error) {
	heartbeat := r.Msg.GetHeartbeat()
	if heartbeat.GetFrom().GetName() == "" {
		return nil, connect.NewError(connect.CodeInvalidArgument, outcome.Refuse(outcome.CodeInvalidRequest, "gossip.exchange", "heartbeat without a sender name"))
	}
	m := messageFromProto(heartbeat)
	s.mu.Lock()
	s.publishChanges(s.table.Receive(m, s.options.Now()))
	answer := messageToProto(s.table.Prepare(m.From.Name))
	s.mu.Unlock()
	s.notifyPayload(heartbeat)
	return connect.NewResponse(&pb.ExchangeResponse{Heartbeat: s.attachPayload(answer)}), nil
}

// waitForBatch waits for batchDelay, so that changes that occur together are sent together.
func (s *Service) waitForBatch(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(batchDelay):
	}
}

// sendHeartbeats exchanges heartbeats with every partner, then expires silent members
// watched by this one.
func (s *Service) sendHeartbeats(ctx context.Context, probe bool) {
	var wg sync.WaitGroup
	for _, t := range s.targets(probe) {
		wg.Go(func() { s.exchange(ctx, t) })
	}
	wg.Wait()
	s.mu.Lock()
	s.publishChanges(s.table.Expire(s.options.Now()))
	s.mu.Unlock()
}

// target is a member to exchange heartbeats with; the name is empty for an unknown seed.
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
		return s.seedTargets()
	}
	if probe {
		out = append(out, s.probeTargets()...)
	}
	return out
}

// seedTargets returns the seeds, with the names of members that have their addresses:
// a target without a name is sent every record each time. The caller holds the lock.
func (s *Service) seedTargets() []target {
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

// probeTargets returns one dead watcher, or else one seed, so that the two sides of a
// healed partition find each other again.
func (s *Service) probeTargets() []target {
	var candidates []target
	for _, r := range s.table.Members() {
		if r.State == membership.Dead && r.Watcher {
			candidates = append(candidates, target{r.Name, r.Address})
		}
	}
	if len(candidates) == 0 {
		candidates = s.seedTargets()
	}
	if len(candidates) == 0 {
		return nil
	}
	return []target{candidates[rand.IntN(len(candidates))]}
}

func (s *Service) exchange(ctx context.Context, t target) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	s.mu.Lock()
	request := messageToProto(s.table.Prepare(t.name))
	s.mu.Unlock()
	exchangesTotal.Inc()
	response, err := s.options.Dial(t.address).Exchange(ctx, connect.NewRequest(&pb.ExchangeRequest{Heartbeat: s.attachPayload(request)}))
	if err != nil || response.Msg.GetHeartbeat().GetFrom().GetName() == "" {
		exchangesFailed.Inc()
		return
	}
	answer := response.Msg.GetHeartbeat()
	exchangedBytes.Add(proto.Size(request) + proto.Size(answer))
	s.mu.Lock()
	s.publishChanges(s.table.Receive(messageFromProto(answer), s.options.Now()))
	s.mu.Unlock()
	s.notifyPayload(answer)
}

// attachPayload adds the configuration version and the backlog to a heartbeat.
func (s *Service) attachPayload(h *pb.Heartbeat) *pb.Heartbeat {
	h.Version = versionToProto(s.options.Version())
	h.Backlog = s.backlog()
	return h
}

// publishChanges reports membership changes in the order in which they were made. The
// caller holds the lock.
func (s *Service) publishChanges(changes []membership.Change) {
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

// notifyPayload reports the configuration version and the backlog of a heartbeat.
func (s *Service) notifyPayload(h *pb.Heartbeat) {
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
