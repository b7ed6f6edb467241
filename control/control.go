package control

import (
	"context"
	"log/slog"
	"net/http"
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

// statusPeriod is how often the duty looks for another leader.
const statusPeriod = 100 * time.Millisecond

// Options of a Member.
type Options struct {
	Name    string
	Address string            // told to the other members
	Members []settings.Member // first members; empty to join a running quorum
	Folder  string            // data folder
	HTTP    connect.HTTPClient
	URL     func(address string) string // base URL of the process at an address
	Store   *distribution.Store         // may be nil, with Gossip
	Gossip  *distribution.Gossip
	Events  timeline.Recorder
	Log     *slog.Logger
}

// Member is the control duty of one daemon.
type Member struct {
	options Options
	machine *state.Machine
	node    *quorum.Node
	mesh    *Mesh
	server  *server
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
	m.mesh = NewMesh(o.Name, m.quorumClient)
	node, err := quorum.Start(quorum.Options{
		Name: o.Name, Address: o.Address, Members: firstMembers(o.Members), Folder: o.Folder,
		StateMachine: m.machine, Transport: m.mesh, Logger: o.Log, Repair: true,
	})
	if err != nil {
		m.mesh.Close()
		return nil, trace.Wrap(err)
	}
	m.node = node
	m.server = &server{
		log: node, machine: m.machine,
		members: memberService{log: node, identify: m.identify, logger: o.Log},
	}
	return m, nil
}

func firstMembers(members []settings.Member) []quorum.Member {
	var first []quorum.Member
	for _, m := range members {
		first = append(first, quorum.Member{Name: m.Name, Address: m.Address})
	}
	return first
}

func (m *Member) quorumClient(address string) jacinthplankv1connect.QuorumServiceClient {
	return jacinthplankv1connect.NewQuorumServiceClient(m.options.HTTP, m.options.URL(address))
}

// identify asks the process at an address which member it is.
func (m *Member) identify(ctx context.Context, address string) (quorum.Member, error) {
	client := jacinthplankv1connect.NewControlServiceClient(m.options.HTTP, m.options.URL(address))
	reply, err := client.Identify(ctx, connect.NewRequest(&pb.IdentifyRequest{}))
	if err != nil {
		return quorum.Member{}, trace.Wrap(err)
	}
	return quorum.Member{Name: reply.Msg.GetName(), Disk: quorum.DiskIdentity(reply.Msg.GetDisk())}, nil
}

// Register adds the handlers of ControlService and QuorumService.
func (m *Member) Register(mux *http.ServeMux) {
	small := connect.WithCompressMinBytes(compressFrom)
	mux.Handle(jacinthplankv1connect.NewControlServiceHandler(m.server, small))
	mux.Handle(jacinthplankv1connect.NewQuorumServiceHandler(m.server, small))
}

// compressFrom is the size in bytes from which replies are compressed.
const compressFrom = 4 << 10

// Duties returns what has to run beside the handlers.
func (m *Member) Duties() []supervise.Duty { return []supervise.Duty{m} }

// Name implements supervise.Duty.
func (m *Member) Name() string { return "control" }

// Serve implements supervise.Duty. It hands accepted configurations to the
// daemon's distribution and notes changes of leader.
func (m *Member) Serve(ctx context.Context) error {
	ticker := time.NewTicker(statusPeriod)
	defer ticker.Stop()
	leader := ""
	m.offer()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-m.machine.ConfigurationChanged():
			m.offer()
		case <-ticker.C:
			leader = m.noteLeader(leader)
			m.offer()
		}
	}
}

// offer hands over what the daemon lacks, if anything.
func (m *Member) offer() {
	if m.options.Gossip == nil || !m.options.Store.Version().Less(fleet.Version(m.machine.Version())) {
		return
	}
	update := m.machine.Configuration(revision.Version(m.options.Store.Version()))
	m.options.Gossip.Offer(update)
}

func (m *Member) noteLeader(before string) string {
	s := m.node.Status()
	if s.Leader == before {
		return before
	}
	m.options.Log.Info("leader", "name", s.Leader, "term", s.Term, "before", before)
	m.options.Events.Record(timeline.Event{Kind: timeline.KindLeader, Step: "control.leader", Peer: s.Leader})
	return s.Leader
}

// Status returns what this member knows of the quorum.
func (m *Member) Status() *pb.QuorumStatus { return QuorumToProto(m.node.Status()) }

// Stop ends the member, after it has handed over when it leads.
func (m *Member) Stop() {
	m.node.Stop()
	m.mesh.Close()
}

// QuorumToProto converts what a member knows of the quorum.
func QuorumToProto(s quorum.Status) *pb.QuorumStatus {
	return &pb.QuorumStatus{
		Leader: s.Leader, Term: s.Term, Commit: s.Commit, HasQuorum: s.HasQuorum,
		Voters: names(s.Voters), Learners: names(s.Learners),
	}
}

func names(members []quorum.Member) []string {
	var out []string
	for _, m := range members {
		out = append(out, m.Name)
	}
	return out
}
