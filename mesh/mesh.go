package mesh

import (
	"context"
	"log/slog"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/jacinthplank/jacinthplank/announce"
	"github.com/jacinthplank/jacinthplank/control"
	"github.com/jacinthplank/jacinthplank/coord/document"
	"github.com/jacinthplank/jacinthplank/coord/evacuation"
	"github.com/jacinthplank/jacinthplank/coord/membership"
	"github.com/jacinthplank/jacinthplank/fleet"
	pb "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
	"github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1/jacinthplankv1connect"
	"github.com/jacinthplank/jacinthplank/gossip"
	"github.com/jacinthplank/jacinthplank/supervise"
	"github.com/jacinthplank/jacinthplank/timeline"
)

// Options configure a Mesh.
type Options struct {
	Name          string
	Address       string     // IP:port at which other entries reach this one
	Source        netip.Addr // of calls to other entries; the zero value for the kernel's choice
	FailureDomain string
	Seeds         []string // addresses of some entries
	DataFolder    string   // empty if the entry has no disk
	FirstStart    bool     // set while the whole fleet starts for the first time
	Tolerated     Tolerance
	Regions       map[string]string // region by failure domain; nil if unknown
	Log           *slog.Logger
	Events        *timeline.Log // event log that operators query
	// IsReady reports whether this entry accepts requests; nil if it always does. It
	// must not call the Mesh.
	IsReady func() bool
	// OnDocument is called, in order of their numbers, with each document that
	// takes effect on this entry.
	OnDocument func(document.Document)
	// OnEndpointsChanged is called after a change of endpoints.
	OnEndpointsChanged func()
	// OnEvacuationsChanged is called with the sets before and after a change of the
	// evacuated failure domains, in order of their revisions.
	OnEvacuationsChanged func(before, after evacuation.Set)
	// OnEndpointRunEnded is called with the id of an endpoint that left or announced a
	// new run. It must not call the Mesh.
	OnEndpointRunEnded func(id string)
	// OnEntryDown is called with the name of an entry that stopped or restarted.
	// It must not call the Mesh.
	OnEntryDown func(name string)
}

// Mesh is an entry's connection to the other entries. It is safe for concurrent
// use.
type Mesh struct {
	options     Options
	log         *slog.Logger
	client      *http.Client
	mux         *http.ServeMux
	gossip      *gossip.Service
	incarnation uint64
	startedAt   time.Time
	quorum      *quorumManager
	transport   *control.Mesh

	mu               sync.Mutex
	peers            map[string]*peer // by name
	registry         *announce.Registry
	endpointSeqs     map[string]uint64 // updateSeq of the latest update of each endpoint
	receivedDirectly map[string]bool   // endpoints whose latest announcement was made to this entry
	updateSeq        uint64
	document         document.Document
	source           documentSource
	newest           facts // of the entry with the newest document
	confirmed        bool  // a quorum has confirmed the newest document
	fetchingDocument bool
	digest           endpointsDigest
	evacuated        evacuation.Set
	recoveredOrders  bool // the log on this disk holds orders that were not applied at the start
	// recoveredDocument is the highest number of a document that the log on this disk held at the start.
	recoveredDocument uint64
	evacuations       uint64    // changes of evacuated on this entry, part of EndpointsVersion
	lastRound         time.Time // of the periodic syncs, from which a pause of the process shows
	ordersAfter       time.Time // no operator's order is accepted before, after a pause
	restored          bool      // endpoints were read from the disk at the start
	passingOn         bool      // new endpoints are about to be passed on to all peers
	nextPassOn        time.Time // earliest time for that
	pulling           bool      // the endpoints of another entry are being fetched
	nextPull          time.Time // earliest time of the next fetch
	syncTrigger       chan struct{}

	evacuationChange sync.Mutex // held while a change is applied and reported; locked before mu

	caughtUp     chan struct{} // closed once this entry knows the endpoints that another one knows
	caughtUpOnce sync.Once
}

// peer is another entry.
type peer struct {
	name         string
	address      string
	incarnation  uint64
	syncedSeq    uint64 // this entry's updateSeq up to which the peer has all updates
	starts       int    // of its process or at another address, as far as they are known
	facts        facts
	lastResponse time.Time
	state        membership.State
	stateSince   time.Time // when state last changed
	syncing      bool
	due          bool // to be synced before its turn
	failures     int
	nextSync     time.Time // no periodic sync before this time, after failures
	outbox       outbox
	diskCalls    int // before their turn, to the process with this incarnation, for its disk
	lastDiskCall time.Time
}

// New returns a mesh without peers, with the endpoints stored on its disk.
func New(o Options) *Mesh {
	m := &Mesh{
		options: o, log: o.Log, client: newHTTPClient(o.Source), mux: http.NewServeMux(),
		incarnation: uint64(time.Now().UnixMicro()), startedAt: time.Now(),
		peers: map[string]*peer{}, registry: announce.New(),
		endpointSeqs: map[string]uint64{}, receivedDirectly: map[string]bool{}, syncTrigger: make(chan struct{}, 1),
		caughtUp: make(chan struct{}),
	}
	m.transport = control.NewMesh(o.Name, func(address string) jacinthplankv1connect.QuorumServiceClient {
		return jacinthplankv1connect.NewQuorumServiceClient(m.client, "http://"+address, messageLimit)
	}, o.Log)
	m.quorum = newQuorumManager(m)
	m.transport.OnBulk = m.quorum.reportBulk
	m.gossip = gossip.New(gossip.Options{
		Self: membership.Record{
			Name: o.Name, Address: o.Address, FailureDomain: o.FailureDomain,
			Watcher: true, Incarnation: m.incarnation, Facts: gossip.EncodeFacts(m.memberFacts()),
		},
		Seeds: o.Seeds,
		Dial: func(address string) gossip.Peer {
			return jacinthplankv1connect.NewPeerServiceClient(m.client, "http://"+address, messageLimit)
		},
		Version:  func() fleet.Version { return fleet.Version{} },
		Backlog:  noBacklog,
		OnChange: m.memberChanged,
	})
	m.registerHandlers()
	m.restoreEndpoints()
	return m
}

// Handler returns the handler of calls from other entries.
func (m *Mesh) Handler() http.Handler { return m.mux }

// Duties returns the duties to run.
func (m *Mesh) Duties() []supervise.Duty {
	duties := []supervise.Duty{m.gossip, m, m.quorum}
	if m.options.DataFolder != "" {
		duties = append(duties, &endpointStore{m})
	}
	return duties
}

// Name implements supervise.Duty.
func (m *Mesh) Name() string { return "mesh" }

func (m *Mesh) memberFacts() *pb.MemberFacts {
	f := &pb.MemberFacts{Duties: []string{"entry"}, FirstStart: m.options.FirstStart}
	if m.options.DataFolder != "" {
		f.Duties = append(f.Duties, dutyControl)
	}
	return f
}

// dutyControl marks an entry with a disk.
const dutyControl = "control"

func (m *Mesh) registerHandlers() {
	m.mux.Handle(jacinthplankv1connect.NewPeerServiceHandler(&peerService{mesh: m}, messageLimit))
	m.mux.Handle(jacinthplankv1connect.NewQuorumServiceHandler(&quorumService{manager: m.quorum}, messageLimit))
	handle(m.mux, procedureSync, m.serveSync)
	handle(m.mux, procedureDocument, m.serveDocument)
	handle(m.mux, procedureEndpoints, m.serveEndpoints)
	handle(m.mux, procedurePut, m.quorum.servePut)
	handle(m.mux, procedureRead, m.quorum.serveRead)
	handle(m.mux, procedureEvacuate, m.quorum.serveEvacuate)
	handle(m.mux, procedureExpendable, m.quorum.serveExpendable)
}

// peerService serves membership heartbeats and operators' queries.
type peerService struct {
	jacinthplankv1connect.UnimplementedPeerServiceHandler
	mesh *Mesh
}

// Exchange implements the peer service.
func (p *peerService) Exchange(ctx context.Context, r *connect.Request[pb.ExchangeRequest]) (*connect.Response[pb.ExchangeResponse], error) {
	return p.mesh.gossip.Exchange(ctx, r)
}

// Leave announces to the other entries that this entry is leaving.
func (m *Mesh) Leave(ctx context.Context) { m.gossip.SetState(ctx, membership.Left) }

// TransferLeadership transfers the quorum's leadership if this entry is the leader.
func (m *Mesh) TransferLeadership() {
	if node := m.quorum.currentNode(); node != nil {
		node.TransferLeadership()
	}
}

// Stop stops this entry's quorum member.
func (m *Mesh) Stop() {
	m.quorum.stop()
	m.transport.Close()
}

// isReady reports whether this entry accepts requests.
func (m *Mesh) isReady() bool { return m.options.IsReady == nil || m.options.IsReady() }

// acceptsRequests reports whether another entry accepted requests when it was last
// heard of.
func (m *Mesh) acceptsRequests(entry string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	p := m.peers[entry]
	return p != nil && p.facts.Ready
}

// memberChanged updates the peers after a membership change.
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
	if p.state != c.After.State || p.stateSince.IsZero() {
		p.stateSince = time.Now()
	}
	restarted := p.incarnation != 0 && p.incarnation != c.After.Incarnation
	if (restarted || c.After.State.Gone()) && m.options.OnEntryDown != nil {
		m.options.OnEntryDown(p.name)
	}
	if p.address != c.After.Address || p.incarnation != c.After.Incarnation {
		p.syncedSeq, p.nextSync, p.failures = 0, time.Time{}, 0
		p.starts++
		p.diskCalls, p.lastDiskCall = 0, time.Time{}
		if p.facts.Incarnation < c.After.Incarnation {
			p.facts.Disk = "" // it was reported by an earlier process, and may have been lost since
		}
	}
	p.address, p.incarnation, p.state = c.After.Address, c.After.Incarnation, c.After.State
	if m.document.Number == 0 {
		// This entry has just started and needs what the others know.
		m.notify(m.activePeers(time.Now()), maxPromptSyncs)
	}
}

// deadPeerRetention is how long a dead entry is still contacted. Membership declares
// an entry dead within four seconds, but its machine may be cut off only briefly.
const deadPeerRetention = time.Minute

// activePeers returns the entries to sync with. The caller holds the lock.
func (m *Mesh) activePeers(now time.Time) []*peer {
	var out []*peer
	for _, p := range m.peers {
		if p.state == membership.Left || (p.state == membership.Dead && now.Sub(p.stateSince) > deadPeerRetention) {
			continue
		}
		out = append(out, p)
	}
	return out
}

// EntryCount returns the number of live entries, this one included.
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

// Leader returns the address of the quorum's leader, empty if unknown, and whether
// this entry is the leader.
func (m *Mesh) Leader() (address string, isSelf bool) { return m.quorum.leaderAddress() }

// IsLeader reports whether this entry leads the quorum.
func (m *Mesh) IsLeader() bool {
	_, isSelf := m.quorum.leaderAddress()
	return isSelf
}
