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
	"github.com/jacinthplank/jacinthplank/submit"
)

// node is one endpoint instance: an agent beside an emulated engine.
type node struct {
	name   string
	domain string
	engine *emulator.Engine
	agent  *endpoint.Agent
}

// gateway is one entry instance.
type gateway struct {
	domain    string
	directory *directory.Directory
	router    *entry.Router
}

// bench is a whole deployment in one process.
type bench struct {
	deployment Deployment
	nodes      []*node
	entries    []*gateway
	stop       context.CancelFunc
	duties     sync.WaitGroup
	lag        time.Duration // age of the load that endpoints announce
}

// newBench starts a deployment with one entry in each failure domain.
func newBench(o Options, policy string, seed uint64) *bench {
	d := o.Deployment
	ctx, cancel := context.WithCancel(context.Background())
	b := &bench{deployment: d, stop: cancel, lag: o.LoadLag}
	configuration := d.configuration()
	fabric := &emulator.Fabric{}
	for i := range d.Replicas {
		b.addNode(ctx, d, i, seed, fabric, o.Endpoint)
	}
	for i := range d.Domains {
		b.addEntry(ctx, configuration, i, policy, seed)
	}
	return b
}

func (b *bench) addNode(ctx context.Context, d Deployment, i int, seed uint64, fabric *emulator.Fabric, config endpoint.Config) {
	n := &node{name: d.replica(i), domain: d.domain(i), engine: emulator.New(d.engineConfig(i, seed, fabric))}
	config.Name = n.name
	config.Engine = n.engine
	config.Log = slog.New(slog.DiscardHandler)
	n.agent = endpoint.New(config)
	b.nodes = append(b.nodes, n)
	b.duties.Go(func() { _ = n.agent.Serve(ctx) })
}

func (b *bench) addEntry(ctx context.Context, c *fleet.Configuration, i int, policy string, seed uint64) {
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
	b.duties.Go(func() { _ = g.router.Serve(ctx) })
	b.duties.Go(func() { b.announce(ctx, g) })
}

// announce gives one entry the heartbeats of all endpoints.
func (b *bench) announce(ctx context.Context, g *gateway) {
	ticker := time.NewTicker(directory.Heartbeat)
	defer ticker.Stop()
	held := map[string][]submit.Backlog{} // reports that lag
	for sequence := uint64(1); ; sequence++ {
		for _, n := range b.nodes {
			reports := append(held[n.name], n.agent.Backlog())
			if len(reports) > 1+int(b.lag/directory.Heartbeat) {
				reports = reports[1:]
			}
			held[n.name] = reports
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

// dial returns the port of an entry to an endpoint, with the round trip between
// their failure domains.
func (b *bench) dial(g *gateway, e directory.Endpoint) submit.Endpoint {
	for _, n := range b.nodes {
		if n.name != e.Name {
			continue
		}
		if n.domain == g.domain {
			return n.agent
		}
		return &distant{Endpoint: n.agent, trip: b.deployment.Distance}
	}
	return nil
}

// distant is an endpoint in another failure domain.
type distant struct {
	submit.Endpoint
	trip time.Duration
}

// Submit implements submit.Submitter.
func (d *distant) Submit(ctx context.Context, r submit.Request) (submit.Answer, error) {
	time.Sleep(d.trip)
	return d.Endpoint.Submit(ctx, r)
}

// settle waits until orphaned memory had to be freed.
const settle = 40 * time.Second

// leftBlocks returns the memory blocks that are held though no request runs.
func (b *bench) leftBlocks() int {
	left := 0
	for _, n := range b.nodes {
		left += n.engine.HeldBlocks()
		if backlog := n.agent.Backlog(); backlog.FreeBlocks != memoryBlocks {
			left += memoryBlocks - backlog.FreeBlocks
		}
	}
	return left
}

func (b *bench) close() {
	b.stop()
	b.duties.Wait()
	for _, n := range b.nodes {
		n.engine.Close()
	}
}
