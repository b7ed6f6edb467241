package daemon

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	pb "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
	"github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1/jacinthplankv1connect"
	"github.com/jacinthplank/jacinthplank/gossip"
	"github.com/jacinthplank/jacinthplank/settings"
	"github.com/jacinthplank/jacinthplank/submit"
	"github.com/jacinthplank/jacinthplank/wire"
)

// provision creates the components of the duties in dependency order.
func (d *Daemon) provision() error {
	facts := d.ownFacts()
	d.addresses = &addressBook{self: d.settings.Instance.Name, configured: d.settings.Control.Members}
	if err := d.provisionConfiguration(); err != nil {
		return trace.Wrap(err)
	}
	d.provisionControlClient()
	if d.settings.Has(settings.DutyControl) {
		if err := d.provisionControl(); err != nil {
			return trace.Wrap(err)
		}
	}
	if d.settings.Has(settings.DutyEndpoint) {
		d.provisionEndpoint(facts)
	}
	if d.settings.Has(settings.DutyEntry) {
		if err := d.provisionEntry(facts); err != nil {
			return trace.Wrap(err)
		}
	}
	d.addresses.gossip = d.gossipService(facts)
	d.gossip = d.addresses.gossip
	return nil
}

// gossipService creates the membership duty.
func (d *Daemon) gossipService(facts *pb.MemberFacts) *gossip.Service {
	return gossip.New(gossip.Options{
		Self:      d.selfRecord(facts),
		Seeds:     d.settings.Instance.Seeds,
		Dial:      func(address string) gossip.Peer { return d.network.peer(address) },
		Version:   d.configurationVersion,
		Backlog:   d.backlog,
		OnChange:  d.onMemberChange,
		OnVersion: d.distribution.ObserveVersion,
		OnBacklog: d.onPeerBacklog,
	})
}

// ownFacts returns the facts that this member announces before its engine has
// been described.
func (d *Daemon) ownFacts() *pb.MemberFacts {
	facts := &pb.MemberFacts{Kind: d.settings.Endpoint.Kind, Service: d.settings.Endpoint.Service}
	for _, duty := range d.settings.Instance.Duties {
		facts.Duties = append(facts.Duties, string(duty))
	}
	return facts
}

// peerHandler returns the HTTP routes for other processes.
func (d *Daemon) peerHandler() http.Handler {
	mux := http.NewServeMux()
	clock := connect.WithInterceptors(d.recorder.Interceptor())
	mux.Handle(jacinthplankv1connect.NewPeerServiceHandler(&peerService{d}, clock, connect.WithCompressMinBytes(wire.CompressMinBytes), wire.MessageLimit))
	if d.endpoint != nil {
		mux.Handle(d.endpoint.server.Handler(clock))
	}
	if d.control != nil {
		d.control.Register(mux)
	}
	d.registerHealthHandlers(mux)
	return mux
}

// backlog returns the backlog of the local endpoint, or nil without one.
func (d *Daemon) backlog() *submit.Backlog {
	if d.endpoint == nil {
		return nil
	}
	return d.endpoint.backlog()
}

// drain announces to the members that the daemon is leaving, makes its endpoint
// refuse new work and ends each caller's connection with its next response.
func (d *Daemon) drain(ctx context.Context) {
	if d.draining.Swap(true) {
		return
	}
	d.log.Info("draining")
	if d.endpoint != nil {
		d.endpoint.drain()
	}
	if d.entry != nil {
		d.entry.server.StartDrain()
	}
	d.announceLeaving(ctx)
}
