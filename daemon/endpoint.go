package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/jacinthplank/jacinthplank/endpoint"
	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/engine/openaiengine"
	pb "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
	"github.com/jacinthplank/jacinthplank/plainservice"
	"github.com/jacinthplank/jacinthplank/response"
	"github.com/jacinthplank/jacinthplank/submit"
	"github.com/jacinthplank/jacinthplank/supervise"
	"github.com/jacinthplank/jacinthplank/wire"
)

// Limits on connections to the engine.
const (
	engineDialTimeout     = time.Second
	engineIdleConnections = 256
	maxEngineBytes        = 16 << 20        // of a result, of which lists of cache events are the longest, or of an event
	engineIdleTimeout     = 4 * time.Second // less than the 5 s after which many engines close a connection
)

// Polling intervals for the engine's description: until the engine first answers,
// and afterwards.
const (
	startupFactsInterval = 100 * time.Millisecond
	factsInterval        = time.Second
)

// endpointDuty fronts an engine or a plain service.
type endpointDuty struct {
	daemon  *Daemon
	server  *wire.Server
	agent   *endpoint.Agent       // nil for a plain service
	service *plainservice.Service // nil for an engine
}

func (d *Daemon) provisionEndpoint(facts *pb.MemberFacts) {
	d.endpoint = &endpointDuty{daemon: d, server: &wire.Server{Name: d.settings.Instance.Name}}
	facts.Kind = d.settings.Endpoint.Kind
	if d.settings.Endpoint.Service != "" {
		d.provisionService(facts)
		return
	}
	d.provisionEngine()
}

func (d *Daemon) provisionService(facts *pb.MemberFacts) {
	facts.Service = d.settings.Endpoint.Service
	s := plainservice.New(d.settings.Instance.Name, d.settings.Endpoint.URL)
	d.endpoint.service = s
	d.endpoint.server.Caller = s
}

func (d *Daemon) provisionEngine() {
	e := d.options.Engine
	if e == nil {
		e = openaiengine.New(d.settings.Endpoint.Engine, engineClient())
	}
	agent := endpoint.New(endpoint.Config{
		Name:         d.settings.Instance.Name,
		Engine:       e,
		Recorder:     d.recorder,
		Log:          d.log,
		StallTimeout: d.settings.Endpoint.Stall.D(),
	})
	d.endpoint.agent = agent
	d.endpoint.server.Endpoint = agent
	d.endpoint.server.Orderer = agent
}

func engineClient() *http.Client {
	dial := response.Dial((&net.Dialer{Timeout: engineDialTimeout}).DialContext)
	return &http.Client{Transport: response.Bounded{MaxBytes: maxEngineBytes, RoundTripper: &http.Transport{
		DialContext:         dial.Strict(),
		MaxIdleConns:        engineIdleConnections,
		MaxIdleConnsPerHost: engineIdleConnections,
		IdleConnTimeout:     engineIdleTimeout,
	}}}
}

func (e *endpointDuty) duties() []supervise.Duty {
	if e.agent == nil {
		return nil
	}
	return []supervise.Duty{e.agent, fencingDuty{e.daemon}, announcingDuty{e.daemon}}
}

func (e *endpointDuty) backlog() *submit.Backlog {
	if e.agent != nil {
		b := e.agent.Backlog()
		return &b
	}
	return e.service.Backlog()
}

// running returns the number of requests in progress on the endpoint.
func (e *endpointDuty) running() int {
	if e.agent != nil {
		return e.agent.Backlog().Running
	}
	return e.service.Running()
}

func (e *endpointDuty) drain() {
	if e.agent != nil {
		e.agent.Drain()
		return
	}
	e.service.Drain()
}

// drained reports whether all requests have ended after drain.
func (e *endpointDuty) drained() bool {
	if e.agent == nil {
		return e.service.Running() == 0
	}
	select {
	case <-e.agent.Drain():
		return true
	default:
		return false
	}
}

// announcingDuty publishes the engine's description to the members, once the
// engine first answers and after every change.
type announcingDuty struct {
	daemon *Daemon
}

// Name implements supervise.Duty.
func (a announcingDuty) Name() string { return "announcing" }

// Serve implements supervise.Duty.
func (a announcingDuty) Serve(ctx context.Context) error {
	announced := &pb.MemberFacts{}
	interval := startupFactsInterval
	for ctx.Err() == nil {
		if description, ready := a.daemon.endpoint.agent.Description(); ready {
			facts := a.daemon.ownFacts()
			setEngineFacts(facts, description)
			if !proto.Equal(facts, announced) {
				a.daemon.gossip.SetFacts(facts)
				announced = facts
			}
			interval = factsInterval
		}
		sleep(ctx, interval)
	}
	return ctx.Err()
}

// setEngineFacts copies an engine's description into its member facts.
func setEngineFacts(f *pb.MemberFacts, d engine.Description) {
	f.Models = d.Models
	f.Adapters = d.Adapters
	f.MemoryBlocks = int64(d.MemoryBlocks)
	f.MemoryTokens = int64(d.MemoryTokens)
	f.MaxPrompt = int64(d.MaxPrompt)
	f.ExportsKv = d.ExportsKV
	f.PrefillPerSecond = d.PrefillPerSec
	f.DecodePerSecond = d.DecodePerSec
	f.AttentionScale = int64(d.AttentionScale)
}
