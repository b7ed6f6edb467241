package operator

import (
	"context"
	"sort"
	"sync"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	pb "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
	"github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1/jacinthplankv1connect"
	"github.com/jacinthplank/jacinthplank/settings"
	"github.com/jacinthplank/jacinthplank/transport"
	"github.com/jacinthplank/jacinthplank/wire"
)

// maxCalls is the maximum number of concurrent calls to daemons.
const maxCalls = 64

// fleetClient calls the daemons of a fleet.
type fleetClient struct {
	transport *transport.Transport
	timeout   time.Duration
	seeds     []string
	tlsHint   string   // appended to the error when no daemon answers
	expected  []member // daemons in the generated files
}

// member is the identity and address of a daemon.
type member struct {
	name          string
	address       string
	failureDomain string
	duties        []string
}

// statusReport is a daemon's status, or the error of the status call.
type statusReport struct {
	member
	status *pb.StatusResponse
	err    error
}

// dial creates a client from the options.
func (o *fleetOptions) dial() (*fleetClient, error) {
	tls := settings.TLS{Certificate: o.Certificate, Key: o.Key, Authority: o.Authority}
	if given := o.Certificate + o.Key + o.Authority; given != "" && !tls.Secure() {
		return nil, exitWith(ExitBadInput, "give all three of --certificate, --key and --authority, or none")
	}
	connections, err := transport.New(tls, nil)
	if err != nil {
		return nil, exitWith(ExitBadInput, "%s", trace.UserMessage(err))
	}
	f := &fleetClient{transport: connections, timeout: o.Timeout, seeds: o.Daemons}
	if !tls.Secure() {
		f.tlsHint = "\nIf the fleet uses TLS, give --certificate, --key and --authority."
	}
	if len(f.seeds) > 0 {
		return f, nil
	}
	files, err := readGenerated(o.Generated)
	if err != nil {
		return nil, err
	}
	for _, d := range files.daemons {
		if d.TLS.Secure() && !tls.Secure() {
			return nil, exitWith(ExitBadInput, "the daemons in %s use TLS: give --certificate, --key and --authority; `jacinthplank keys instance` creates them", o.Generated)
		}
		f.addExpected(d)
	}
	if len(f.seeds) == 0 {
		return nil, exitWith(ExitBadInput, "give addresses of daemons with --daemons, or the folder of generated files with --generated")
	}
	return f, nil
}

// addExpected adds a daemon from the generated files. Entries become seeds, which are
// asked first.
func (f *fleetClient) addExpected(d *settings.Daemon) {
	m := member{name: d.Instance.Name, address: d.Instance.Listen, failureDomain: d.Instance.FailureDomain}
	if d.Instance.Advertise != "" {
		m.address = d.Instance.Advertise
	}
	for _, duty := range d.Instance.Duties {
		m.duties = append(m.duties, string(duty))
	}
	f.expected = append(f.expected, m)
	if d.Has(settings.DutyEntry) {
		f.seeds = append(f.seeds, m.address)
	}
}

func (f *fleetClient) peer(address string) jacinthplankv1connect.PeerServiceClient {
	return jacinthplankv1connect.NewPeerServiceClient(f.transport.Client(), f.transport.URL(address), wire.MessageLimit)
}

func (f *fleetClient) control(address string) jacinthplankv1connect.ControlServiceClient {
	return jacinthplankv1connect.NewControlServiceClient(f.transport.Client(), f.transport.URL(address), wire.MessageLimit)
}

// daemons returns the daemons known to the seeds and those expected from the generated
// files, sorted by name. It fails if no seed answers.
func (f *fleetClient) daemons(ctx context.Context) ([]member, error) {
	var seeds []member
	for _, address := range f.seeds {
		seeds = append(seeds, member{name: address, address: address})
	}
	known := map[string]member{}
	for _, m := range f.expected {
		known[m.name] = m
	}
	answered := false
	var lastErr error
	for _, r := range f.queryStatuses(ctx, seeds) {
		if r.err != nil {
			lastErr = r.err
			continue
		}
		answered = true
		for _, d := range append(r.status.GetDaemons(), r.status.GetDaemon()) {
			if d.GetName() != "" {
				known[d.GetName()] = memberFromProto(d)
			}
		}
	}
	if !answered {
		return nil, exitWith(ExitUnreachable, "no daemon could be reached at %v: %w%s", f.seeds, lastErr, f.tlsHint)
	}
	members := make([]member, 0, len(known))
	for _, m := range known {
		members = append(members, m)
	}
	sort.Slice(members, func(i, j int) bool { return members[i].name < members[j].name })
	return members, nil
}

// statuses asks every daemon for its status.
func (f *fleetClient) statuses(ctx context.Context) ([]statusReport, error) {
	members, err := f.daemons(ctx)
	if err != nil {
		return nil, err
	}
	return f.queryStatuses(ctx, members), nil
}

// find returns the daemon with the given name.
func (f *fleetClient) find(ctx context.Context, name string) (member, error) {
	members, err := f.daemons(ctx)
	if err != nil {
		return member{}, err
	}
	for _, m := range members {
		if m.name == name {
			return m, nil
		}
	}
	return member{}, exitWith(ExitNotFound, "no daemon is named %q%s", name, suggestMember(name, members))
}

// queryStatuses asks the members for their status concurrently and returns the results
// in the order of members.
func (f *fleetClient) queryStatuses(ctx context.Context, members []member) []statusReport {
	reports := make([]statusReport, len(members))
	forEachMember(members, func(i int, m member) {
		ctx, cancel := context.WithTimeout(ctx, f.timeout)
		defer cancel()
		reports[i] = statusReport{member: m}
		answer, err := f.peer(m.address).Status(ctx, connect.NewRequest(&pb.StatusRequest{}))
		if err != nil {
			reports[i].err = err
			return
		}
		reports[i].status = answer.Msg
	})
	return reports
}

// forEachMember calls fn for every member, at most maxCalls concurrently, and waits for
// all calls.
func forEachMember(members []member, fn func(int, member)) {
	slots := make(chan struct{}, maxCalls)
	var wg sync.WaitGroup
	for i, m := range members {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			fn(i, m)
		})
	}
	wg.Wait()
}

func memberFromProto(d *pb.Daemon) member {
	return member{name: d.GetName(), address: d.GetAddress(), failureDomain: d.GetFailureDomain(), duties: d.GetDuties()}
}
