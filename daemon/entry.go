package daemon

import (
	"net"
	"net/http"

	"github.com/gravitational/trace"

	"github.com/jacinthplank/jacinthplank/api"
	"github.com/jacinthplank/jacinthplank/control"
	"github.com/jacinthplank/jacinthplank/directory"
	"github.com/jacinthplank/jacinthplank/drain"
	"github.com/jacinthplank/jacinthplank/entry"
	pb "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
	"github.com/jacinthplank/jacinthplank/limits"
	"github.com/jacinthplank/jacinthplank/submit"
	"github.com/jacinthplank/jacinthplank/supervise"
)

// entryDuty serves requests from callers.
type entryDuty struct {
	api      *api.Server
	router   *entry.Router
	limiter  *limits.Limiter
	server   *drain.Server
	listener net.Listener
}

func (d *Daemon) provisionEntry(facts *pb.MemberFacts) error {
	l, err := d.callerListener()
	if err != nil {
		return trace.Wrap(err)
	}
	limiter := limits.New(control.Budgets{Client: d.quorum, Configuration: d.store.Current})
	router := entry.NewRouter(entry.Options{
		Directory:     d.directory,
		Dial:          d.dialEndpoint,
		Configuration: d.store.Current,
		Recorder:      d.recorder,
		FailureDomain: d.settings.Instance.FailureDomain,
		Limiter:       limiter,
	})
	server := api.New(api.Options{
		Submitter:     router,
		Caller:        d.newServiceCaller(),
		Configuration: d.activeConfiguration,
		Recorder:      d.recorder,
		Log:           d.log,
		NewID:         d.options.NewID,
	})
	d.entry = &entryDuty{api: server, router: router, limiter: limiter, listener: l}
	d.entry.server = newCallerServer(d.callerHandler(server.Handler()))
	facts.CallerAddress = l.Addr().String()
	return nil
}

func (d *Daemon) callerListener() (net.Listener, error) {
	if d.options.CallerListener != nil {
		return d.options.CallerListener, nil
	}
	l, err := net.Listen("tcp", d.settings.Entry.Listen)
	if err != nil {
		return nil, trace.Wrap(err, "listen for callers on %s", d.settings.Entry.Listen)
	}
	return l, nil
}

func (d *Daemon) dialEndpoint(e directory.Endpoint) submit.Endpoint {
	return d.network.endpoint(e.Name, e.Address)
}

// callerHandler adds the health endpoints to h; the load balancer probes them on
// the callers' address.
func (d *Daemon) callerHandler(h http.Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/healthz", d.handleHealthz)
	mux.HandleFunc("/readyz", d.handleReadyz)
	mux.Handle("/", h)
	return mux
}

func (e *entryDuty) duties() []supervise.Duty {
	return []supervise.Duty{e.limiter, e.router, &listenerDuty{"callers", e.server, e.listener}}
}
