package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/engine/openaiengine"
	pb "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
	"github.com/jacinthplank/jacinthplank/plainservice"
	"github.com/jacinthplank/jacinthplank/submit"
	"github.com/jacinthplank/jacinthplank/supervise"
	"github.com/jacinthplank/jacinthplank/wire"
)

// Times of the first question to the engine, which may start after this process.
const (
	describeTimeout = time.Minute
	describePause   = 200 * time.Millisecond
)

// Bounds of the connections to the engine.
const (
	engineDialTimeout     = time.Second
	engineIdleConnections = 256
)

// agent stands beside an engine.
type agent interface {
	submit.Endpoint
	wire.Orderer
	supervise.Duty
	Backlog() submit.Backlog
	InProgress() int
	Drain()
}

// endpointDuty is the duty beside an engine or a plain service.
type endpointDuty struct {
	server  *wire.Server
	agent   agent                 // nil beside a plain service
	service *plainservice.Service // nil beside an engine
}

func (d *Daemon) provisionEndpoint(facts *pb.MemberFacts) error {
	d.endpoint = &endpointDuty{server: &wire.Server{Name: d.settings.Instance.Name}}
	facts.Kind = d.settings.Endpoint.Kind
	if d.settings.Endpoint.Service != "" {
		return d.provisionService(facts)
	}
	return d.provisionEngine(facts)
}

func (d *Daemon) provisionService(facts *pb.MemberFacts) error {
	facts.Service = d.settings.Endpoint.Service
	s := plainservice.New(d.settings.Instance.Name, d.settings.Endpoint.URL)
	d.endpoint.service = s
	d.endpoint.server.Caller = s
	return nil
}

func (d *Daemon) provisionEngine(facts *pb.MemberFacts) error {
	e := d.options.Engine
	if e == nil {
		e = openaiengine.New(d.settings.Endpoint.Engine, engineClient())
	}
	description, err := awaitDescription(e)
	if err != nil {
		return trace.Wrap(err, "describe the engine at %s", d.settings.Endpoint.Engine)
	}
	describe(facts, description)
	agent := &direct{name: d.settings.Instance.Name, engine: e}
	d.endpoint.agent = agent
	d.endpoint.server.Endpoint = agent
	d.endpoint.server.Orderer = agent
	return nil
}

// awaitDescription asks the engine what it is until it answers.
func awaitDescription(e engine.Engine) (engine.Description, error) {
	ctx, cancel := context.WithTimeout(context.Background(), describeTimeout)
	defer cancel()
	for {
		description, err := e.Describe(ctx)
		if err == nil {
			return description, nil
		}
		sleep(ctx, describePause)
		if ctx.Err() != nil {
			return engine.Description{}, err
		}
	}
}

func engineClient() *http.Client {
	dialer := &net.Dialer{Timeout: engineDialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConns:        engineIdleConnections,
		MaxIdleConnsPerHost: engineIdleConnections,
	}}
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

func (e *endpointDuty) duties() []supervise.Duty {
	if e.agent != nil {
		return []supervise.Duty{e.agent}
	}
	return nil
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
		return e.agent.InProgress()
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
