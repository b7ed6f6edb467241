package mesh

import (
	"context"

	"connectrpc.com/connect"

	"github.com/jacinthplank/jacinthplank/announce"
	"github.com/jacinthplank/jacinthplank/control"
	"github.com/jacinthplank/jacinthplank/coord/recovery"
	pb "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
	"github.com/jacinthplank/jacinthplank/gossip"
)

// Status returns this entry's state, members and endpoints for operators. The
// version's revision is the number of the configuration.
func (p *peerService) Status(context.Context, *connect.Request[pb.StatusRequest]) (*connect.Response[pb.StatusResponse], error) {
	m := p.mesh
	members := m.gossip.Members()
	m.mu.Lock()
	status := &pb.StatusResponse{Version: &pb.Version{Revision: m.document.Number}, Ready: m.isReady()}
	endpoints, evacuated := m.registry.All(), m.evacuated
	m.mu.Unlock()
	for _, r := range members {
		daemon := gossip.DaemonToProto(r)
		if r.Name == m.options.Name {
			status.Daemon = daemon
		}
		if !r.State.Gone() {
			status.Daemons = append(status.Daemons, daemon)
		}
	}
	for _, h := range endpoints {
		if h.State != announce.Left {
			status.Endpoints = append(status.Endpoints, &pb.EndpointStatus{
				Name: h.ID, Address: h.Address, FailureDomain: h.FailureDomain, Service: h.Service,
				Backlog: &pb.Backlog{Leaving: h.State == announce.Draining || evacuated.Contains(h.FailureDomain)},
			})
		}
	}
	if node := m.quorum.currentNode(); node != nil {
		status.Quorum = control.QuorumToProto(node.Status())
		status.Quorum.WantedVoters = uint32(recovery.WantedVoters(m.options.Tolerated.disks(members, m.options.Regions)))
	}
	if d := m.Disk(); d.State != DiskNone {
		status.Disk = &pb.DiskStatus{State: string(d.State), Error: errorText(d.Err), Kept: errorText(d.Kept)}
	}
	return connect.NewResponse(status), nil
}

// Events returns this entry's event log for operators.
func (p *peerService) Events(_ context.Context, r *connect.Request[pb.EventsRequest]) (*connect.Response[pb.EventsResponse], error) {
	return connect.NewResponse(p.mesh.options.Events.Answer(r.Msg)), nil
}
