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

// provision makes the parts of the duties, in an order in which each finds what
// it needs.
func (d *Daemon) provision() error {
	facts := d.ownFacts()
	d.book = &addressBook{self: d.settings.Instance.Name, first: d.settings.Control.Members}
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
	d.book.gossip = d.gossipService(facts)
	d.gossip = d.book.gossip
	return nil
}

// gossipService makes the membership duty.
func (d *Daemon) gossipService(facts *pb.MemberFacts) *gossip.Service {
	return gossip.New(gossip.Options{
		Self:      d.self(facts),
		Seeds:     d.settings.Instance.Seeds,
		Dial:      func(address string) gossip.Peer { return d.network.peer(address) },
		Version:   d.version,
		Backlog:   d.backlog,
		OnChange:  d.memberChanged,
		OnVersion: d.distribution.ObserveVersion,
		OnBacklog: d.peerBacklog,
	})
}

// ownFacts returns what this member tells of itself before an engine is known.
func (d *Daemon) ownFacts() *pb.MemberFacts {
	facts := &pb.MemberFacts{Kind: d.settings.Endpoint.Kind, Service: d.settings.Endpoint.Service}
	for _, duty := range d.settings.Instance.Duties {
		facts.Duties = append(facts.Duties, string(duty))
	}
	return facts
}

// handler returns the routes for the other processes.
func (d *Daemon) handler() http.Handler {
	mux := http.NewServeMux()
	clock := connect.WithInterceptors(d.recorder.Interceptor())
	mux.Handle(jacinthplankv1connect.NewPeerServiceHandler(&peerService{d}, clock, connect.WithCompressMinBytes(wire.CompressFrom)))
	if d.endpoint != nil {
		mux.Handle(d.endpoint.server.Handler(clock))
	}
	if d.control != nil {
		d.control.Register(mux)
	}
	d.registerHealth(mux)
	return mux
}

// backlog of the endpoint here; nil without one.
func (d *Daemon) backlog() *submit.Backlog {
	if d.endpoint == nil {
		return nil
	}
	return d.endpoint.backlog()
}

// drain makes the daemon leave: its membership tells so, its endpoint refuses
// new work.
func (d *Daemon) drain(ctx context.Context) {
	if d.draining.Swap(true) {
		return
	}
	d.log.Info("draining")
	if d.endpoint != nil {
		d.endpoint.drain()
	}
	d.gossipLeaving(ctx)
}
