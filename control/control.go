package control

import (
	"context"
	"log/slog"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	"github.com/jacinthplank/jacinthplank/coord/quorum"
	"github.com/jacinthplank/jacinthplank/coord/revision"
	"github.com/jacinthplank/jacinthplank/coord/state"
	"github.com/jacinthplank/jacinthplank/distribution"
	"github.com/jacinthplank/jacinthplank/fleet"
	pb "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
	"github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1/jacinthplankv1connect"
	"github.com/jacinthplank/jacinthplank/settings"
	"github.com/jacinthplank/jacinthplank/supervise"
	"github.com/jacinthplank/jacinthplank/timeline"
)

// statusInterval is how often the duty checks for a change of leader.
const statusInterval = 100 * time.Millisecond

// Options are the settings of a Member.
type Options struct {
	Name    string
	Address string            // advertised to the other members
	Members []settings.Member // initial members; empty to join a running quorum
	Folder  string            // data folder
	HTTP    connect.HTTPClient
	URL     func(address string) string // base URL of the process at an address
	Store   *distribution.Store         // may be nil if Gossip is nil
	Gossip  *distribution.Gossip
	Events  timeline.Recorder
	Log     *slog.Logger
}

// Member is the control duty of one daemon: a member of the quorum.
type Member struct {
	options Options
	machine *state.Machine
	node    *quorum.Node
	mesh    *Mesh
	server  *server
	started atomic.Pointer[quorum.Node] // node, for the goroutines of the mesh
}

// Start opens the data folder and starts a member of the quorum.
func Start(o Options) (*Member, error) {
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	if o.Events == nil {
		o.Events = timeline.Discard{}
	}
	started := time.Now()
	m := &Member{options: o}
	m.machine = state.New(o.Name, func() time.Duration { return time.Since(started) })
	m.mesh = NewMesh(o.Name, m.quorumClient, o.Log)
	m.mesh.OnBulkLost = func(disk quorum.DiskIdentity) {
		if node := m.started.Load(); node != nil {
			node.ReportLost(disk)
		}
	}
	node, err := quorum.Start(quorum.Options{
		Name: o.Name, Address: o.Address, Members: initialMembers(o.Members), Folder: o.Folder,
		StateMachine: m.machine, Transport: m.mesh, Logger: o.Log, Repair: true,
	})
	if err != nil {
		m.mesh.Close()
		return nil, trace.Wrap(err)
	}
	m.node = node
	m.started.Store(node)
	m.server = &server{
		address: o.Address, log: node, machine: m.machine,
		members: memberService{log: node, identify: m.identify, logger: o.Log},
	}
	return m, nil
}

func initialMembers(members []settings.Member) []quorum.Member {
	var initial []quorum.Member
	for _, m := range members {
		initial = append(initial, quorum.Member{Name: m.Name, Address: m.Address})
	}
	return initial
}

func (m *Member) quorumClient(address string) jacinthplankv1connect.QuorumServiceClient {
	return jacinthplankv1connect.NewQuorumServiceClient(m.options.HTTP, m.options.URL(address), messageLimit)
}

// identify queries the process at an address for its member identity.
func (m *Member) identify(ctx context.Context, address string) (quorum.Member, error) {
	client := jacinthplankv1connect.NewControlServiceClient(m.options.HTTP, m.options.URL(address), messageLimit)
	reply, err := client.Identify(ctx, connect.NewRequest(&pb.IdentifyRequest{}))
	if err != nil {
		return quorum.Member{}, trace.Wrap(err)
	}
	return quorum.Member{Name: reply.Msg.GetName(), Disk: quorum.DiskIdentity(reply.Msg.GetDisk())}, nil
}

// Register adds the handlers of ControlService and QuorumService.
func (m *Member) Register(mux *http.ServeMux) {
	compression := connect.WithCompressMinBytes(minCompressBytes)
	mux.Handle(jacinthplankv1connect.NewControlServiceHandler(m.server, compression, messageLimit))
	mux.Handle(jacinthplankv1connect.NewQuorumServiceHandler(m.server, compression, messageLimit))
}

// messageLimit bounds what is read of a message. A batch of the log is sent once it has
// maxBatchBytes, and its last command may have quorum.MaxCommandBytes.
var messageLimit = connect.WithReadMaxBytes(2 * (maxBatchBytes + quorum.MaxCommandBytes))

// minCompressBytes is the minimum size of a compressed reply.
const minCompressBytes = 4 << 10

// Duties returns the duties that must run concurrently with the handlers.
func (m *Member) Duties() []supervise.Duty { return []supervise.Duty{m} }

// Name implements supervise.Duty.
func (m *Member) Name() string { return "control" }

// Serve implements supervise.Duty. It passes accepted configurations to the
// daemon's gossip and records changes of leader.
func (m *Member) Serve(ctx context.Context) error {
	ticker := time.NewTicker(statusInterval)
	defer ticker.Stop()
	leader := ""
	m.offerConfiguration()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-m.machine.ConfigurationChanged():
			m.offerConfiguration()
		case <-ticker.C:
			leader = m.recordLeaderChange(leader)
			m.offerConfiguration()
		}
	}
}

// offerConfiguration passes a newer configuration to the daemon's gossip, if the
// daemon's store is behind.
func (m *Member) offerConfiguration() {
	if m.options.Gossip == nil || !m.options.Store.Version().Less(fleet.Version(m.machine.Version())) {
		return
	}
	update := m.machine.Configuration(revision.Version(m.options.Store.Version()))
	m.options.Gossip.Offer(update)
}

func (m *Member) recordLeaderChange(previous string) string {
	s := m.node.Status()
	if s.Leader == previous {
		return previous
	}
	m.options.Log.Info("leader", "name", s.Leader, "term", s.Term, "before", previous)
	m.options.Events.Record(timeline.Event{Kind: timeline.KindLeader, Step: "control.leader", Peer: s.Leader})
	return s.Leader
}

// Status returns the quorum status as seen by this member.
func (m *Member) Status() *pb.QuorumStatus { return QuorumToProto(m.node.Status()) }

// Stop stops the member. A leader first tries to transfer its leadership.
func (m *Member) Stop() {
	m.node.Stop()
	m.mesh.Close()
}
