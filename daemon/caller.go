package daemon

import (
	"github.com/jacinthplank/jacinthplank/control"
	"github.com/jacinthplank/jacinthplank/directory"
	"github.com/jacinthplank/jacinthplank/services"
	"github.com/jacinthplank/jacinthplank/submit"
)

// newServiceCaller returns the router for calls to plain services.
func (d *Daemon) newServiceCaller() submit.Caller {
	return services.New(services.Options{
		Directory:     d.directory,
		Dial:          func(e directory.Endpoint) submit.Caller { return d.network.endpoint(e.Name, e.Address) },
		Claims:        control.Claims{Client: d.quorum, Configuration: d.store.Current},
		Recorder:      d.recorder,
		FailureDomain: d.settings.Instance.FailureDomain,
	})
}
