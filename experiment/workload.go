package experiment

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/submit"
)

// Arrival is one request of a workload.
type Arrival struct {
	At          time.Duration // since the start of the run
	Entry       int           // index of the entry that the load balancer chose
	Request     submit.Request
	EngineTime  time.Duration // engine time of the request without a cached prefix
	IdlePrefill time.Duration // time to the first token on an idle engine without a cached prefix
}

// Prefix sharing.
const (
	preambleBlocks      = 1   // blocks shared by all prompts of an account
	caseFilesPerAccount = 20  // case files per account
	caseFileShare       = 0.3 // share of prompts over submit.ShortTokens that start with a known case file
)

// Generate returns the arrivals of a run. load is the offered load relative to the
// capacity of the fleet. Equal arguments give equal workloads.
func (d Deployment) Generate(seed uint64, load float64, length time.Duration) []Arrival {
	random := rand.New(rand.NewPCG(seed, 2))
	rate := load * float64(d.Replicas) / d.meanWork().Seconds() // requests per second
	var list []Arrival
	at := 0.0
	for {
		at += random.ExpFloat64() / rate
		if at >= length.Seconds() {
			return list
		}
		a := d.newArrival(random, len(list))
		a.At = time.Duration(at * float64(time.Second))
		list = append(list, a)
	}
}

// meanWork returns the mean engine time of a request, over a sample with a fixed
// seed.
func (d Deployment) meanWork() time.Duration {
	const sample = 20_000
	random := rand.New(rand.NewPCG(1, 1))
	var sum time.Duration
	for i := range sample {
		sum += d.newArrival(random, i).EngineTime
	}
	return sum / sample
}

func (d Deployment) newArrival(random *rand.Rand, i int) Arrival {
	r := d.pickRange(random)
	tokens := int(float64(r.MinPrompt) * math.Pow(float64(r.MaxPrompt)/float64(r.MinPrompt), random.Float64()))
	account := d.pickAccount(random)
	return Arrival{
		Entry: random.IntN(d.FailureDomains),
		Request: submit.Request{
			ID: fmt.Sprint("r", i), Account: d.Accounts[account].Name, Model: model,
			Prompt:    engine.Prompt{Tokens: tokens, Blocks: promptBlocks(random, account, tokens)},
			MaxTokens: r.MaxOutput,
			Remaining: r.Deadline,
		},
		EngineTime:  rates.Prefill(0, tokens) + rates.Decode(r.MaxOutput)/decodeBatchSize,
		IdlePrefill: rates.Prefill(0, tokens),
	}
}

func (d Deployment) pickRange(random *rand.Rand) Range {
	x := random.Float64()
	for _, r := range d.Mix {
		if x < r.Share {
			return r
		}
		x -= r.Share
	}
	return d.Mix[0]
}

func (d Deployment) pickAccount(random *rand.Rand) int {
	x := random.Float64()
	for i, a := range d.Accounts {
		if x < a.Share {
			return i
		}
		x -= a.Share
	}
	return len(d.Accounts) - 1
}

// promptBlocks returns the prefix blocks of a prompt: the account's preamble, for
// some prompts a shared case file, and blocks unique to the prompt.
func promptBlocks(random *rand.Rand, account, tokens int) []engine.Block {
	blocks := make([]engine.Block, tokens/engine.BlockTokens)
	nonce := random.Uint64()
	shared := 0
	file := uint64(0)
	if tokens > submit.ShortTokens && random.Float64() < caseFileShare {
		file = uint64(random.IntN(caseFilesPerAccount)) + 1
		shared = len(blocks) * 3 / 4
	}
	for i := range blocks {
		switch {
		case i < preambleBlocks:
			blocks[i] = blockHash(uint64(account)+1, 0, i)
		case i < shared:
			blocks[i] = blockHash(uint64(account)+1, file, i)
		default:
			blocks[i] = blockHash(nonce, file, i)
		}
	}
	return blocks
}

func blockHash(owner, file uint64, i int) engine.Block {
	x := owner*0x9e3779b97f4a7c15 ^ file*0xbf58476d1ce4e5b9 ^ uint64(i+1)*0x94d049bb133111eb
	x ^= x >> 29
	x *= 0xbf58476d1ce4e5b9
	return engine.Block(x ^ x>>32)
}
