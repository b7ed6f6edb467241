package daemon

import (
	"context"
	"path/filepath"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	"github.com/jacinthplank/jacinthplank/distribution"
	"github.com/jacinthplank/jacinthplank/fleet"
	pb "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
)

// cacheFileName is the file in the data folder that preserves the active
// configuration across restarts.
const cacheFileName = "configuration.json"

// probePeriod is the mean time between configuration requests to a random peer.
// Every heartbeat carries the version; probes only reconcile daemons that
// heartbeats may not connect.
const probePeriod = 30 * time.Second

// provisionConfiguration creates the configuration store and the duty that keeps
// it up to date.
func (d *Daemon) provisionConfiguration() error {
	d.store = distribution.NewStore()
	if err := d.seedConfiguration(); err != nil {
		return trace.Wrap(err)
	}
	d.distribution = distribution.NewGossip(distribution.Options{
		Store:       d.store,
		Address:     d.address,
		Peers:       d.addresses.peerAddresses,
		Request:     d.requestConfiguration,
		CacheFile:   d.cacheFile(),
		ProbePeriod: probePeriod,
		Log:         d.log,
		Events:      d.recorder,
	})
	return nil
}

// seedConfiguration activates the initial configuration, if there is one.
func (d *Daemon) seedConfiguration() error {
	c := d.options.Configuration
	if path := d.settings.Instance.Configuration; c == nil && path != "" {
		loaded, err := fleet.Load(path)
		if err != nil {
			return trace.Wrap(err)
		}
		c = loaded
	}
	if c == nil {
		return nil
	}
	// The initial configuration was not accepted by a quorum. The zero version
	// makes every accepted configuration newer.
	seed := *c
	seed.Version = fleet.Version{}
	return trace.Wrap(d.store.Seed(&seed))
}

func (d *Daemon) cacheFile() string {
	folder := d.settings.Control.DataFolder
	if folder == "" {
		return ""
	}
	return filepath.Join(folder, cacheFileName)
}

// activeConfiguration returns the active configuration, or nil if there is none
// yet.
func (d *Daemon) activeConfiguration() *fleet.Configuration {
	if d.store.Digest() == "" {
		return nil
	}
	return d.store.Current()
}

func (d *Daemon) requestConfiguration(ctx context.Context, address string, q *pb.ConfigurationRequest) (*pb.ConfigurationResponse, error) {
	reply, err := d.network.peer(address).Configuration(ctx, connect.NewRequest(q))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return reply.Msg, nil
}
