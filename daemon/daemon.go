// Package daemon puts the duties of one daemon together under a supervisor
// tree, from its settings to its graceful shutdown.
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

// membershipLease stands in the directory for the lease that coord/membership
// keeps: members leave the directory when the members agree that they are gone.
const membershipLease = 365 * 24 * time.Hour

// Options are what a Daemon is made of besides its settings.
type Options struct {
	Log *slog.Logger
	// Engine takes the place of the engine at Settings.Endpoint.Engine; used by
	// the demo and tests.
	Engine engine.Engine
	// Configuration takes the place of the file at
	// Settings.Instance.Configuration.
	Configuration *fleet.Configuration
	// NewID makes request ids; nil for random ones.
	NewID func() string
	// Listener and CallerListener take the place of listening on the settings'
	// addresses.
	Listener       net.Listener
	CallerListener net.Listener
}

// Daemon is one daemon with its duties.
type Daemon struct {
	settings *settings.Daemon
	options  Options
	log      *slog.Logger

	network   *network
	listener  net.Listener
	address   string
	start     uint64 // incarnation
	directory *directory.Directory
	recorder  *timeline.Log
	gossip    *gossip.Service
	store     *distribution.Store

	distribution *distribution.Gossip
	entry        *entryDuty
	endpoint     *endpointDuty
	book         *addressBook
	control      *control.Member // nil without the duty
	quorum       *control.Client

	ready    atomic.Bool
	draining atomic.Bool
}

// New provisions a daemon: settings were checked, listeners are opened, nothing
// runs yet.
func New(s *settings.Daemon, o Options) (*Daemon, error) {
	d := &Daemon{
		settings: s,
		options:  o,
		log:      o.Log.With("instance", s.Instance.Name),
		start:    uint64(time.Now().UnixMicro()),
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

// Address is where the other processes reach the daemon.
func (d *Daemon) Address() string { return d.address }

// CallerAddress is where callers reach an entry; empty without the duty.
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

// Run serves until ctx ends, then shuts down gracefully: no new work, running
// work to its own end or deadline, then the duties in reverse order of start.
func (d *Daemon) Run(ctx context.Context) error {
	run, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	tree := supervise.New(d.settings.Instance.Name, d.log)
	server := d.network.Server(d.handler())
	tree.Add(&listenerDuty{"peers", server, d.listener})
	for _, duty := range d.duties() {
		tree.Add(duty)
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = tree.Serve(run) // ends with run
	}()
	d.recorder.Record(timeline.Event{Kind: timeline.KindStartup, Detail: "at " + d.address})
	d.log.Info("started", "address", d.address, "duties", d.settings.Instance.Duties)
	d.ready.Store(true)

	<-ctx.Done()
	d.shutDown(server)
	stop()
	<-ended
	return nil
}

// duties in the order of their start.
func (d *Daemon) duties() []supervise.Duty {
	duties := []supervise.Duty{}
	if d.control != nil {
		duties = append(duties, d.control.Duties()...)
		duties = append(duties, newRebalancing(d))
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

// self is the daemon's own record of membership.
func (d *Daemon) self(facts *pb.MemberFacts) membership.Record {
	return membership.Record{
		Name:          d.settings.Instance.Name,
		Address:       d.address,
		FailureDomain: d.settings.Instance.FailureDomain,
		Watcher:       d.settings.Has(settings.DutyEntry) || d.settings.Has(settings.DutyControl),
		Incarnation:   d.start,
		Facts:         gossip.EncodeFacts(facts),
	}
}

// version of the configuration in force here.
func (d *Daemon) version() fleet.Version { return d.store.Version() }

// EndpointCount is the number of endpoints that this daemon knows.
func (d *Daemon) EndpointCount() int { return len(d.directory.All()) }
