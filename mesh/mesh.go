package mesh

import (
	"context"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/jacinthplank/jacinthplank/announce"
	"github.com/jacinthplank/jacinthplank/control"
	"github.com/jacinthplank/jacinthplank/coord/document"
	"github.com/jacinthplank/jacinthplank/coord/membership"
	"github.com/jacinthplank/jacinthplank/fleet"
	pb "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
	"github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1/jacinthplankv1connect"
	"github.com/jacinthplank/jacinthplank/gossip"
	"github.com/jacinthplank/jacinthplank/supervise"
	"github.com/jacinthplank/jacinthplank/timeline"
)

// Options of a Mesh.
type Options struct {
	Name          string
	Address       string // where the other entries reach this one, IP:port
	FailureDomain string
	Seeds         []string // addresses of some entries
	DataFolder    string   // empty without a disk
	FirstStart    bool     // the whole fleet starts for the first time
	Log           *slog.Logger
	Events        *timeline.Log // for operators who ask what this entry did
	// OnDocument is called, in order of their numbers, with each document that
	// comes into force here.
	OnDocument func(document.Document)
	// OnEndpointsChanged is called after endpoints changed.
	OnEndpointsChanged func()
	// OnEntryDown is called with the name of an entry that stopped, or that started
	// anew. It must not call the Mesh.
	OnEntryDown func(name string)
}

// Mesh is the part of an entry that speaks with the others. It is safe for
// concurrent use.
type Mesh struct {
	options     Options
	log         *slog.Logger
	client      *http.Client
	mux         *http.ServeMux
	gossip      *gossip.Service
	incarnation uint64
	started     time.Time
	core        *core
	transport   *control.Mesh

	mu        sync.Mutex
	peers     map[string]*peer // by name
	registry  *announce.Registry
	marks     map[string]uint64 // position of the latest news of each endpoint
	heardHere map[string]bool   // endpoints whose latest news came to this entry itself
	position  uint64
	document  document.Document
	confirmed bool // a majority has said that the document is the newest
	ready     bool
	pulling   bool
	poke      chan struct{}
}

// peer is another entry.
type peer struct {
	name        string
	address     string
	incarnation uint64
	told        uint64 // position up to which it has this entry's news
	facts       facts
	answered    time.Time
	state       membership.State
	since       time.Time // of the state
	busy        bool
	failures    int
	next        time.Time // no regular call before, after failures
}

// New returns a mesh that knows nothing yet.
func New(o Options) *Mesh {
	m := &Mesh{
		options: o, log: o.Log, client: NewHTTPClient(), mux: http.NewServeMux(),
		incarnation: uint64(time.Now().UnixMicro()), started: time.Now(),
		peers: map[string]*peer{}, registry: announce.New(),
		marks: map[string]uint64{}, heardHere: map[string]bool{}, poke: make(chan struct{}, 1),
	}
	m.transport = control.NewMesh(o.Name, func(address string) jacinthplankv1connect.QuorumServiceClient {
		return jacinthplankv1connect.NewQuorumServiceClient(m.client, "http://"+address)
	})
	m.core = newCore(m)
	m.gossip = gossip.New(gossip.Options{
		Self: membership.Record{
			Name: o.Name, Address: o.Address, FailureDomain: o.FailureDomain,
			Watcher: true, Incarnation: m.incarnation, Facts: gossip.EncodeFacts(m.memberFacts()),
		},
		Seeds: o.Seeds,
		Dial: func(address string) gossip.Peer {
			return jacinthplankv1connect.NewPeerServiceClient(m.client, "http://"+address)
		},
		Version:  func() fleet.Version { return fleet.Version{} },
		Backlog:  noBacklog,
		OnChange: m.memberChanged,
	})
	m.register()
	m.recall()
	return m
}

// Handler serves the calls of other entries.
func (m *Mesh) Handler() http.Handler { return m.mux }

// Duties returns what has to run.
func (m *Mesh) Duties() []supervise.Duty {
	duties := []supervise.Duty{m.gossip, m, m.core}
	if m.options.DataFolder != "" {
		duties = append(duties, &remembering{m})
	}
	return duties
}

// Name implements supervise.Duty.
func (m *Mesh) Name() string { return "mesh" }

func (m *Mesh) memberFacts() *pb.MemberFacts {
	f := &pb.MemberFacts{Duties: []string{"entry"}}
	if m.options.DataFolder != "" {
		f.Duties = append(f.Duties, dutyControl)
	}
	return f
}

// dutyControl marks an entry that has a disk.
const dutyControl = "control"

func (m *Mesh) register() {
	m.mux.Handle(jacinthplankv1connect.NewPeerServiceHandler(&peerService{mesh: m}))
	m.mux.Handle(jacinthplankv1connect.NewQuorumServiceHandler(&quorumService{core: m.core}))
	handle(m.mux, procedureSync, m.serveSync)
	handle(m.mux, procedureDocument, m.serveDocument)
	handle(m.mux, procedurePut, m.core.servePut)
	handle(m.mux, procedureRead, m.core.serveRead)
}

// peerService answers heartbeats of membership.
type peerService struct {
	jacinthplankv1connect.UnimplementedPeerServiceHandler
	mesh *Mesh
}

// Exchange implements the service.
func (p *peerService) Exchange(ctx context.Context, r *connect.Request[pb.ExchangeRequest]) (*connect.Response[pb.ExchangeResponse], error) {
	return p.mesh.gossip.Exchange(ctx, r)
}

// Leave tells the others that this entry goes.
func (m *Mesh) Leave(ctx context.Context) { m.gossip.SetState(ctx, membership.Left) }

// TransferLeadership gives up the lead of the quorum, if this entry has it.
func (m *Mesh) TransferLeadership() {
	if node := m.core.current(); node != nil {
		node.HandOver()
	}
}

// SetLeaderHint takes another entry's word on who leads the quorum.
func (m *Mesh) SetLeaderHint(address string) { m.core.noteAnswer(address) }

// Stop ends this entry's part in the quorum.
func (m *Mesh) Stop() {
	m.core.stop()
	m.transport.Close()
}

// SetReady notes whether this entry takes callers, for the others to know.
func (m *Mesh) SetReady(ready bool) {
	m.mu.Lock()
	m.ready = ready
	m.mu.Unlock()
}

// memberChanged keeps the peers in step with membership.
func (m *Mesh) memberChanged(c membership.Change) {
	if c.After.Name == m.options.Name {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[c.After.Name]
	if p == nil {
		p = &peer{name: c.After.Name}
		m.peers[p.name] = p
		m.log.Info("entry found", "step", "mesh.member", "peer", p.name, "address", c.After.Address, "state", c.After.State.String())
	} else if p.state != c.After.State {
		m.log.Info("entry changed", "step", "mesh.member", "peer", p.name, "before", p.state.String(), "state", c.After.State.String())
	}
	if p.state != c.After.State || p.since.IsZero() {
		p.since = time.Now()
	}
	started := p.incarnation != 0 && p.incarnation != c.After.Incarnation
	if (started || c.After.State.Gone()) && m.options.OnEntryDown != nil {
		m.options.OnEntryDown(p.name)
	}
	if p.address != c.After.Address || p.incarnation != c.After.Incarnation {
		p.told, p.next, p.failures = 0, time.Time{}, 0
	}
	p.address, p.incarnation, p.state = c.After.Address, c.After.Incarnation, c.After.State
	m.wake()
}

func (m *Mesh) wake() {
	select {
	case m.poke <- struct{}{}:
	default:
	}
}

// retention is how long an entry that went silent is still spoken to. Its
// machine may be cut off for some seconds; the members judge within four.
const retention = time.Minute

// partners are the entries to speak with. The caller holds the lock.
func (m *Mesh) partners(now time.Time) []*peer {
	var out []*peer
	for _, p := range m.peers {
		if p.state == membership.Left || (p.state == membership.Dead && now.Sub(p.since) > retention) {
			continue
		}
		out = append(out, p)
	}
	return out
}

// EntryCount is the number of entries that are there, this one included.
func (m *Mesh) EntryCount() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	n := 1
	for _, p := range m.peers {
		if !p.state.Gone() {
			n++
		}
	}
	return n
}

// Leader returns the address of the entry that leads the quorum, as far as it is
// known, and whether this entry is it. The address is empty when none is known.
func (m *Mesh) Leader() (address string, isSelf bool) { return m.core.leading() }

// IsLeader reports whether this entry leads the quorum.
func (m *Mesh) IsLeader() bool {
	_, isSelf := m.core.leading()
	return isSelf
}
