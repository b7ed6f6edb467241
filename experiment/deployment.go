// Package experiment measures placement policies under load. It sends an open-loop
// workload to routers in front of emulated engines and reports time to first
// token, slowdown, goodput and failures, for the current policy and for baselines.
package experiment

import (
	"fmt"
	"time"

	"github.com/jacinthplank/jacinthplank/engine/emulator"
	"github.com/jacinthplank/jacinthplank/fleet"
	"github.com/jacinthplank/jacinthplank/work"
)

// Deployment describes a fleet and its workload.
type Deployment struct {
	Name           string
	Replicas       int
	FailureDomains int
	RoundTrip      time.Duration // round trip between failure domains
	Mix            []Range
	Accounts       []Account
}

// Range is a share of the requests, with prompt lengths distributed
// log-uniformly between two bounds.
type Range struct {
	Share                float64
	MinPrompt, MaxPrompt int // tokens
	MaxOutput            int // maximum tokens of the answer
	Deadline             time.Duration
}

// Account is a client account and its share of the requests.
type Account struct {
	Name  string
	Share float64
}

// Cantabrica is the deployment of Estadística Obra Nueva Cantábrica: many short
// queries mixed with digests and dossiers, and a low latency between failure
// domains.
var Cantabrica = Deployment{
	Name: "cantabrica", Replicas: 15, FailureDomains: 3, RoundTrip: 300 * time.Microsecond,
	Mix: []Range{
		{Share: 0.45, MinPrompt: 1_000, MaxPrompt: 2_000, MaxOutput: 40, Deadline: 20 * time.Second},
		{Share: 0.30, MinPrompt: 2_000, MaxPrompt: 8_000, MaxOutput: 60, Deadline: 30 * time.Second},
		{Share: 0.15, MinPrompt: 8_000, MaxPrompt: 32_000, MaxOutput: 80, Deadline: time.Minute},
		{Share: 0.08, MinPrompt: 32_000, MaxPrompt: 100_000, MaxOutput: 100, Deadline: 5 * time.Minute},
		{Share: 0.02, MinPrompt: 100_001, MaxPrompt: 1_000_000, MaxOutput: 150, Deadline: 20 * time.Minute},
	},
	Accounts: accounts(0.35, 0.2, 0.15),
}

// KilimoBarua is the deployment of Kilimo Barua Systems: complaints, case files
// and archives, and a higher latency between failure domains.
var KilimoBarua = Deployment{
	Name: "kilimo-barua", Replicas: 20, FailureDomains: 3, RoundTrip: 2 * time.Millisecond,
	Mix: []Range{
		{Share: 0.30, MinPrompt: 1_000, MaxPrompt: 2_000, MaxOutput: 60, Deadline: 20 * time.Second},
		{Share: 0.28, MinPrompt: 2_000, MaxPrompt: 8_000, MaxOutput: 80, Deadline: 30 * time.Second},
		{Share: 0.25, MinPrompt: 8_000, MaxPrompt: 32_000, MaxOutput: 80, Deadline: time.Minute},
		{Share: 0.15, MinPrompt: 32_000, MaxPrompt: 100_000, MaxOutput: 100, Deadline: 5 * time.Minute},
		{Share: 0.02, MinPrompt: 100_001, MaxPrompt: 1_000_000, MaxOutput: 150, Deadline: 20 * time.Minute},
	},
	Accounts: accounts(0.5, 0.15, 0.1),
}

// Deployments lists the deployments by name.
var Deployments = map[string]Deployment{Cantabrica.Name: Cantabrica, KilimoBarua.Name: KilimoBarua}

// accounts returns ten accounts: large ones with the given shares, and small
// ones that split the remainder evenly.
func accounts(large ...float64) []Account {
	const count = 10
	remaining := 1.0
	var list []Account
	for i, share := range large {
		list = append(list, Account{Name: fmt.Sprint("large-", i+1), Share: share})
		remaining -= share
	}
	for i := len(large); i < count; i++ {
		list = append(list, Account{Name: fmt.Sprint("small-", i+1), Share: remaining / float64(count-len(large))})
	}
	return list
}

// Properties of the emulated engines.
const (
	memoryBlocks   = 3200    // memory blocks
	memoryTokens   = 128     // tokens per memory block
	prefillPerSec  = 20_000  // tokens per second at position 0
	decodePerSec   = 60      // tokens per second of one sequence
	attentionScale = 250_000 // position at which a prefill token costs twice

	// decodeBatchSize is the number of sequences assumed to share a decode step when
	// computing the engine time of an answer.
	decodeBatchSize = 16
)

var rates = work.Rates{
	PrefillPerSec: prefillPerSec, DecodePerSec: decodePerSec,
	AttentionScale: attentionScale, MemoryTokens: memoryTokens,
}

func (d Deployment) engineConfig(i int, seed uint64, fabric *emulator.Fabric) emulator.Config {
	return emulator.Config{
		Name: d.replica(i), Seed: seed + uint64(i), Models: []string{model},
		MemoryBlocks: memoryBlocks, TokensPerMemoryBlock: memoryTokens,
		PrefillPerSec: prefillPerSec, DecodePerSec: decodePerSec, AttentionScale: attentionScale,
		EventLag: time.Second, EventLoss: 0.05, LoadLag: time.Second, Fabric: fabric,
		IgnoreEOS: true, // Run checks that every answer has MaxTokens tokens
	}
}

const model = "draft"

func (d Deployment) replica(i int) string { return fmt.Sprintf("draft-%02d", i+1) }

func (d Deployment) domain(i int) string { return fmt.Sprintf("domain-%d", i%d.FailureDomains+1) }

// configuration returns the fleet configuration of the deployment.
func (d Deployment) configuration() *fleet.Configuration {
	c := &fleet.Configuration{Name: d.Name, Models: []fleet.Model{{Name: model}}}
	for i := range d.FailureDomains {
		distance := map[string]int{}
		for j := range d.FailureDomains {
			if j != i {
				distance[d.domain(j)] = int(d.RoundTrip.Microseconds())
			}
		}
		c.FailureDomains = append(c.FailureDomains, fleet.FailureDomain{Name: d.domain(i), Distance: distance})
	}
	for _, a := range d.Accounts {
		c.Accounts = append(c.Accounts, fleet.Account{Name: a.Name, Share: 1})
	}
	return c
}
