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
	"github.com/jacinthplank/jacinthplank/submit"
	"github.com/jacinthplank/jacinthplank/supervise"
	"github.com/jacinthplank/jacinthplank/wire"
)

// Bounds of the connections to the engine.
const (
	engineDialTimeout     = time.Second
	engineIdleConnections = 256
)

// Times between two looks at what the engine is: until it first answers, and
// after that.
const (
	firstFactsInterval = 100 * time.Millisecond
	factsInterval      = time.Second
)

// endpointDuty is the duty beside an engine or a plain service.
type endpointDuty struct {
	daemon  *Daemon
	server  *wire.Server
	agent   *endpoint.Agent       // nil beside a plain service
	service *plainservice.Service // nil beside an engine
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
		Name:     d.settings.Instance.Name,
		Engine:   e,
		Recorder: d.recorder,
		Log:      d.log,
		Stall:    d.settings.Endpoint.Stall.D(),
	})
	d.endpoint.agent = agent
	d.endpoint.server.Endpoint = agent
	d.endpoint.server.Orderer = agent
}

func engineClient() *http.Client {
	dialer := &net.Dialer{Timeout: engineDialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConns:        engineIdleConnections,
		MaxIdleConnsPerHost: engineIdleConnections,
	}}
}

func (e *endpointDuty) duties() []supervise.Duty {
	if e.agent == nil {
		return nil
	}
	return []supervise.Duty{e.agent, fencing{e.daemon}, announcing{e.daemon}}
}

func (e *endpointDuty) backlog() *submit.Backlog {
	if e.agent != nil {
		b := e.agent.Backlog()
		return &b
	}
	return e.service.Backlog()
}

// running is the number of requests in progress here.
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

// drained reports whether nothing is left after drain.
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

// announcing is the duty that tells the members what the engine is, from the
// time when it first answers and after every change.
type announcing struct {
	daemon *Daemon
}

// Name implements supervise.Duty.
func (a announcing) Name() string { return "announcing" }

// Serve implements supervise.Duty.
func (a announcing) Serve(ctx context.Context) error {
	told := &pb.MemberFacts{}
	interval := firstFactsInterval
	for ctx.Err() == nil {
		if description, ready := a.daemon.endpoint.agent.Description(); ready {
			facts := a.daemon.ownFacts()
			describe(facts, description)
			if !proto.Equal(facts, told) {
				a.daemon.gossip.SetFacts(facts)
				told = facts
			}
			interval = factsInterval
		}
		sleep(ctx, interval)
	}
	return ctx.Err()
}

// describe puts what an engine is into the facts of its member.
func describe(f *pb.MemberFacts, d engine.Description) {
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
