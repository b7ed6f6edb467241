package daemon

import (
	"context"

	"connectrpc.com/connect"

	"github.com/jacinthplank/jacinthplank/directory"
	"github.com/jacinthplank/jacinthplank/fleet"
	pb "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
	"github.com/jacinthplank/jacinthplank/gossip"
	"github.com/jacinthplank/jacinthplank/wire"
)

// peerService implements the RPCs used by other daemons and operators.
type peerService struct {
	daemon *Daemon
}

// Exchange implements jacinthplankv1connect.PeerServiceHandler.
func (p *peerService) Exchange(ctx context.Context, r *connect.Request[pb.ExchangeRequest]) (*connect.Response[pb.ExchangeResponse], error) {
	return p.daemon.gossip.Exchange(ctx, r)
}

// Configuration implements jacinthplankv1connect.PeerServiceHandler.
func (p *peerService) Configuration(ctx context.Context, r *connect.Request[pb.ConfigurationRequest]) (*connect.Response[pb.ConfigurationResponse], error) {
	return p.daemon.distribution.Configuration(ctx, r)
}

// Events implements jacinthplankv1connect.PeerServiceHandler.
func (p *peerService) Events(_ context.Context, r *connect.Request[pb.EventsRequest]) (*connect.Response[pb.EventsResponse], error) {
	return connect.NewResponse(p.daemon.recorder.Answer(r.Msg)), nil
}

// Drain implements jacinthplankv1connect.PeerServiceHandler.
func (p *peerService) Drain(ctx context.Context, _ *connect.Request[pb.DrainRequest]) (*connect.Response[pb.DrainResponse], error) {
	p.daemon.drain(ctx)
	return connect.NewResponse(&pb.DrainResponse{Running: int64(p.daemon.running())}), nil
}

// Status implements jacinthplankv1connect.PeerServiceHandler.
func (p *peerService) Status(context.Context, *connect.Request[pb.StatusRequest]) (*connect.Response[pb.StatusResponse], error) {
	d := p.daemon
	status := &pb.StatusResponse{
		Version:  versionToProto(d.configurationVersion()),
		Ready:    d.ready.Load() && !d.draining.Load(),
		Draining: d.draining.Load(),
	}
	for _, r := range d.gossip.Members() {
		member := gossip.DaemonToProto(r)
		if r.Name == d.settings.Instance.Name {
			status.Daemon = member
		}
		if !r.State.Gone() {
			status.Daemons = append(status.Daemons, member)
		}
	}
	for _, m := range d.directory.All() {
		status.Endpoints = append(status.Endpoints, endpointToProto(m))
	}
	if d.control != nil {
		status.Quorum = d.control.Status()
	}
	return connect.NewResponse(status), nil
}

// running returns the number of requests in progress on this daemon.
func (d *Daemon) running() int {
	n := 0
	if d.entry != nil {
		n += d.entry.api.Running()
	}
	if d.endpoint != nil {
		n += d.endpoint.running()
	}
	return n
}

func endpointToProto(m *directory.Member) *pb.EndpointStatus {
	report := m.Report()
	return &pb.EndpointStatus{
		Name:          m.Name,
		Address:       m.Address,
		FailureDomain: m.FailureDomain,
		Service:       m.Service,
		Models:        m.Models,
		Backlog:       wire.BacklogToProto(&report.Backlog),
	}
}

func versionToProto(v fleet.Version) *pb.Version {
	return &pb.Version{Epoch: v.Epoch, Revision: v.Revision}
}
