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

// cacheName is the file in the data folder that keeps the configuration in
// force over a restart.
const cacheName = "configuration.json"

// probePeriod is the mean time between questions to a random peer. Versions ride
// on every heartbeat; probes only join what heartbeats may not.
const probePeriod = 30 * time.Second

// provisionConfiguration makes the store of the configuration in force and the
// duty that keeps it up to date.
func (d *Daemon) provisionConfiguration() error {
	d.store = distribution.NewStore()
	if err := d.seedConfiguration(); err != nil {
		return trace.Wrap(err)
	}
	d.distribution = distribution.NewGossip(distribution.Options{
		Store:       d.store,
		Address:     d.address,
		Peers:       d.book.peers,
		Request:     d.askConfiguration,
		CacheFile:   d.cacheFile(),
		ProbePeriod: probePeriod,
		Log:         d.log,
		Events:      d.recorder,
	})
	return nil
}

// seedConfiguration puts the configuration to start with in force, if any.
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
	// No quorum accepted what a daemon starts with, so that every accepted
	// configuration is higher.
	seed := *c
	seed.Version = fleet.Version{}
	return trace.Wrap(d.store.Seed(&seed))
}

func (d *Daemon) cacheFile() string {
	folder := d.settings.Control.DataFolder
	if folder == "" {
		return ""
	}
	return filepath.Join(folder, cacheName)
}

// inForce returns the configuration in force, nil before any.
func (d *Daemon) inForce() *fleet.Configuration {
	if d.store.Digest() == "" {
		return nil
	}
	return d.store.Current()
}

func (d *Daemon) askConfiguration(ctx context.Context, address string, q *pb.ConfigurationRequest) (*pb.ConfigurationResponse, error) {
	reply, err := d.network.peer(address).Configuration(ctx, connect.NewRequest(q))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return reply.Msg, nil
}
