package experiment

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/jacinthplank/jacinthplank/directory"
	"github.com/jacinthplank/jacinthplank/endpoint"
	"github.com/jacinthplank/jacinthplank/engine/emulator"
	"github.com/jacinthplank/jacinthplank/entry"
	"github.com/jacinthplank/jacinthplank/fleet"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/submit"
)

// node is an endpoint instance: an agent with an emulated engine.
type node struct {
	name   string
	domain string
	engine *emulator.Engine
	agent  *endpoint.Agent
}

// gateway is an entry instance.
type gateway struct {
	domain    string
	directory *directory.Directory
	router    *entry.Router
}

// testBench runs a whole deployment in one process.
type testBench struct {
	deployment Deployment
	nodes      []*node
	entries    []*gateway
	stop       context.CancelFunc
	background sync.WaitGroup
	loadLag    time.Duration // age of the load reports that endpoints announce
}

// newTestBench starts a deployment with one entry in each failure domain.
func newTestBench(o Options, policy string, seed uint64) *testBench {
	d := o.Deployment
	ctx, cancel := context.WithCancel(context.Background())
	b := &testBench{deployment: d, stop: cancel, loadLag: o.LoadLag}
	configuration := d.configuration()
	fabric := &emulator.Fabric{}
	for i := range d.Replicas {
		b.addNode(ctx, d, i, seed, fabric, o.Endpoint)
	}
	for i := range d.FailureDomains {
		b.addEntry(ctx, configuration, i, policy, seed)
	}
	return b
}

func (b *testBench) addNode(ctx context.Context, d Deployment, i int, seed uint64, fabric *emulator.Fabric, config endpoint.Config) {
	n := &node{name: d.replica(i), domain: d.domain(i), engine: emulator.New(d.engineConfig(i, seed, fabric))}
	config.Name = n.name
	config.Engine = n.engine
	config.Log = slog.New(slog.DiscardHandler)
	n.agent = endpoint.New(config)
	b.nodes = append(b.nodes, n)
	b.background.Go(func() { _ = n.agent.Serve(ctx) })
}

func (b *testBench) addEntry(ctx context.Context, c *fleet.Configuration, i int, policy string, seed uint64) {
	g := &gateway{domain: b.deployment.domain(i), directory: directory.New(0)}
	g.router = entry.NewRouter(entry.Options{
		Directory:     g.directory,
		Dial:          func(e directory.Endpoint) submit.Endpoint { return b.dial(g, e) },
		Configuration: func() *fleet.Configuration { return c },
		FailureDomain: g.domain,
		Policy:        newPolicy(policy),
		Seed:          seed + uint64(i) + 1,
	})
	b.entries = append(b.entries, g)
	b.background.Go(func() { _ = g.router.Serve(ctx) })
	b.background.Go(func() { b.announce(ctx, g) })
}

// announce delivers the heartbeats of all endpoints to one entry until ctx ends.
func (b *testBench) announce(ctx context.Context, g *gateway) {
	ticker := time.NewTicker(directory.Heartbeat)
	defer ticker.Stop()
	delayed := map[string][]submit.Backlog{} // reports not yet announced, by node
	for sequence := uint64(1); ; sequence++ {
		for _, n := range b.nodes {
			reports := append(delayed[n.name], n.agent.Backlog())
			if len(reports) > 1+int(b.loadLag/directory.Heartbeat) {
				reports = reports[1:]
			}
			delayed[n.name] = reports
			g.directory.Announce(time.Now(), n.announcement(sequence, reports[0]))
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (n *node) announcement(sequence uint64, b submit.Backlog) directory.Endpoint {
	return directory.Endpoint{
		Name: n.name, FailureDomain: n.domain, Models: []string{model}, Incarnation: 1, Sequence: sequence,
		MemoryBlocks: memoryBlocks, MemoryTokens: memoryTokens, MaxPrompt: memoryBlocks * memoryTokens, ExportsKV: true,
		PrefillPerSec: prefillPerSec, DecodePerSec: decodePerSec, AttentionScale: attentionScale, Backlog: b,
	}
}

// dial returns an entry's client of an endpoint. Between failure domains it adds
// the round-trip time.
func (b *testBench) dial(g *gateway, e directory.Endpoint) submit.Endpoint {
	for _, n := range b.nodes {
		if n.name != e.Name {
			continue
		}
		if n.domain == g.domain {
			return n.agent
		}
		return &remoteEndpoint{Endpoint: n.agent, roundTrip: b.deployment.RoundTrip}
	}
	return nil
}

// remoteEndpoint is an endpoint in another failure domain.
type remoteEndpoint struct {
	submit.Endpoint
	roundTrip time.Duration
}

// Submit implements submit.Submitter.
func (d *remoteEndpoint) Submit(ctx context.Context, r submit.Request) (submit.Answer, error) {
	wait(ctx, d.roundTrip)
	if ctx.Err() != nil {
		return nil, outcome.Fail(outcome.CodeTransport, outcome.NotRun, "experiment.link", context.Cause(ctx))
	}
	return d.Endpoint.Submit(ctx, r)
}

// settleTime is the wait at the end of a run, after which orphaned memory must
// have been freed.
const settleTime = 40 * time.Second

// leakedBlocks returns the number of memory blocks still held although no request
// is running.
func (b *testBench) leakedBlocks() int {
	leaked := 0
	for _, n := range b.nodes {
		leaked += n.engine.HeldBlocks()
		if backlog := n.agent.Backlog(); backlog.FreeBlocks != memoryBlocks {
			leaked += memoryBlocks - backlog.FreeBlocks
		}
	}
	return leaked
}

func (b *testBench) close() {
	b.stop()
	b.background.Wait()
	for _, n := range b.nodes {
		n.engine.Close()
	}
}
