// Package daemon assembles the duties of one daemon from its settings, runs them
// under a supervisor tree and shuts them down gracefully.
package daemon

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"github.com/jacinthplank/jacinthplank/control"
	"github.com/jacinthplank/jacinthplank/coord/membership"
	"github.com/jacinthplank/jacinthplank/directory"
	"github.com/jacinthplank/jacinthplank/distribution"
	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/fleet"
	pb "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
	"github.com/jacinthplank/jacinthplank/gossip"
	"github.com/jacinthplank/jacinthplank/settings"
	"github.com/jacinthplank/jacinthplank/supervise"
	"github.com/jacinthplank/jacinthplank/timeline"
)

// membershipLease disables expiry in the directory. coord/membership tracks
// liveness, and endpoints are removed once membership declares them gone.
const membershipLease = 365 * 24 * time.Hour

// Options configures a Daemon beyond its settings.
type Options struct {
	Log *slog.Logger
	// Engine replaces the engine at Settings.Endpoint.Engine; used by the demo
	// and tests.
	Engine engine.Engine
	// Configuration replaces the file at Settings.Instance.Configuration.
	Configuration *fleet.Configuration
	// NewID generates request IDs; nil means random IDs.
	NewID func() string
	// Listener and CallerListener replace listening on the addresses in the
	// settings.
	Listener       net.Listener
	CallerListener net.Listener
}

// Daemon runs the duties of one process.
type Daemon struct {
	settings *settings.Daemon
	options  Options
	log      *slog.Logger

	network     *network
	listener    net.Listener
	address     string
	incarnation uint64 // start time in microseconds
	directory   *directory.Directory
	recorder    *timeline.Log
	gossip      *gossip.Service
	store       *distribution.Store

	distribution *distribution.Gossip
	entry        *entryDuty
	endpoint     *endpointDuty
	addresses    *addressBook
	control      *control.Member // nil without the duty
	quorum       *control.Client

	ready    atomic.Bool
	draining atomic.Bool
}

// New provisions a daemon from checked settings. It opens the listeners but does
// not start the duties.
func New(s *settings.Daemon, o Options) (*Daemon, error) {
	d := &Daemon{
		settings:    s,
		options:     o,
		log:         o.Log.With("instance", s.Instance.Name),
		incarnation: uint64(time.Now().UnixMicro()),
	}
	d.directory = directory.New(membershipLease)
	d.recorder = timeline.NewLog(s.Instance.Name, timeline.DefaultCapacity, time.Now)
	network, err := newNetwork(s.TLS, d.recorder, d.log)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	d.network = network
	if err := d.listen(); err != nil {
		return nil, trace.Wrap(err)
	}
	if err := d.provision(); err != nil {
		_ = d.listener.Close()
		return nil, trace.Wrap(err)
	}
	return d, nil
}

// Address returns the address at which other processes reach the daemon.
func (d *Daemon) Address() string { return d.address }

// CallerAddress returns the address at which callers reach an entry; empty
// without the entry duty.
func (d *Daemon) CallerAddress() string {
	if d.entry == nil {
		return ""
	}
	return d.entry.listener.Addr().String()
}

func (d *Daemon) listen() error {
	d.listener = d.options.Listener
	if d.listener == nil {
		l, err := d.network.Listen(d.settings.Instance.Listen)
		if err != nil {
			return trace.Wrap(err, "listen for other processes on %s", d.settings.Instance.Listen)
		}
		d.listener = l
	}
	d.address = d.settings.Instance.Advertise
	if d.address == "" {
		d.address = d.listener.Addr().String()
	}
	return nil
}

// Run serves until ctx ends, then shuts down gracefully: it refuses new work,
// lets running work finish or reach its deadline, and stops the duties in reverse
// order of start.
func (d *Daemon) Run(ctx context.Context) error {
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	tree := supervise.New(d.settings.Instance.Name, d.log)
	server := d.network.newPeerServer(d.peerHandler())
	tree.Add(&listenerDuty{"peers", server, d.listener})
	for _, duty := range d.duties() {
		tree.Add(duty)
	}
	treeDone := make(chan struct{})
	go func() {
		defer close(treeDone)
		_ = tree.Serve(runCtx) // returns once runCtx is canceled
	}()
	d.recorder.Record(timeline.Event{Kind: timeline.KindStartup, Detail: "at " + d.address})
	d.log.Info("started", "address", d.address, "duties", d.settings.Instance.Duties)
	d.ready.Store(true)

	<-ctx.Done()
	d.shutDown(server)
	stop()
	<-treeDone
	return nil
}

// duties returns the duties in start order.
func (d *Daemon) duties() []supervise.Duty {
	duties := []supervise.Duty{}
	if d.control != nil {
		duties = append(duties, d.control.Duties()...)
		duties = append(duties, newRebalancingDuty(d))
	}
	if d.endpoint != nil {
		duties = append(duties, d.endpoint.duties()...)
	}
	duties = append(duties, d.gossip, d.distribution, d.quorum)
	if d.entry != nil {
		duties = append(duties, d.entry.duties()...)
	}
	return duties
}

// selfRecord returns the daemon's own membership record.
func (d *Daemon) selfRecord(facts *pb.MemberFacts) membership.Record {
	return membership.Record{
		Name:          d.settings.Instance.Name,
		Address:       d.address,
		FailureDomain: d.settings.Instance.FailureDomain,
		Watcher:       d.settings.Has(settings.DutyEntry) || d.settings.Has(settings.DutyControl),
		Incarnation:   d.incarnation,
		Facts:         gossip.EncodeFacts(facts),
	}
}

// configurationVersion returns the version of the local active configuration.
func (d *Daemon) configurationVersion() fleet.Version { return d.store.Version() }

// EndpointCount returns the number of endpoints in the local directory.
func (d *Daemon) EndpointCount() int { return len(d.directory.All()) }
