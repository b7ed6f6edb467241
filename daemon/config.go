package daemon

import (
	"context"
	"sync/atomic"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	"github.com/jacinthplank/jacinthplank/fleet"
	pb "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
	"github.com/jacinthplank/jacinthplank/supervise"
)

// configuration is what is in force on this daemon.
type configuration struct {
	inForce atomic.Pointer[fleet.Configuration]
}

func (d *Daemon) provisionConfiguration() error {
	if d.options.Configuration != nil {
		d.config.inForce.Store(d.options.Configuration)
		return nil
	}
	path := d.settings.Instance.Configuration
	if path == "" {
		return nil
	}
	c, err := fleet.Load(path)
	if err != nil {
		return trace.Wrap(err)
	}
	d.config.inForce.Store(c)
	return nil
}

func (c *configuration) current() *fleet.Configuration { return c.inForce.Load() }

func (c *configuration) version() fleet.Version {
	if now := c.current(); now != nil {
		return now.Version
	}
	return fleet.Version{}
}

func (c *configuration) newer(string, fleet.Version) {}

func (c *configuration) duties() []supervise.Duty { return nil }

func (c *configuration) answer(context.Context, *connect.Request[pb.ConfigurationRequest]) (*connect.Response[pb.ConfigurationResponse], error) {
	return connect.NewResponse(&pb.ConfigurationResponse{Version: versionToProto(c.version())}), nil
}
