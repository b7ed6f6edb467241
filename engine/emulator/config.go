// Package emulator implements engine.Engine for tests and experiments. It
// emulates continuous batching, paged KV memory and a prefix cache, injects
// faults on request, and is deterministic for a given seed. Package time is its
// only clock, so it runs in virtual time under testing/synctest.
package emulator

import (
	"sync"
	"time"

	"github.com/jacinthplank/jacinthplank/engine"
)

// Default values of Config fields.
const (
	defaultStepTokens            = 8192   // tokens per step
	defaultMemoryBlocks          = 3200   // memory blocks
	defaultTokensPerBlock        = 128    // tokens per memory block
	defaultPrefillPerSec         = 20_000 // tokens per second
	defaultDecodePerSec          = 60     // tokens per second per sequence
	defaultDecodeTimePerSequence = 50 * time.Microsecond
	defaultTransferPerSec        = 400_000 // tokens per second
	defaultExportAge             = time.Hour
	defaultOrderTime             = 2 * time.Second
)

// kvBytesPerToken is the size of the KV memory of one token.
const kvBytesPerToken = 128 << 10

// Config describes one emulated engine. Fields left at zero take their defaults,
// if they have one.
type Config struct {
	Name                  string
	Seed                  uint64
	LengthSeed            uint64 // selects the natural lengths of answers; engines that continue each other's answers need the same
	IgnoreEOS             bool   // answers have no natural length and end at MaxTokens only
	Models                []string
	Adapters              []string
	MemoryBlocks          int           // size of the KV memory, in memory blocks
	TokensPerMemoryBlock  int           // tokens per memory block; must divide engine.BlockTokens
	StepTokens            int           // token budget of one step
	PrefillPerSec         float64       // prefill throughput at position 0, in tokens per second
	DecodePerSec          float64       // decode throughput of one sequence, in tokens per second
	DecodeTimePerSequence time.Duration // time that each decoding sequence adds to a step
	AttentionScale        int           // position at which a prefill token costs twice as much as at 0; 0 makes the cost constant
	TransferPerSec        float64       // KV transfer rate between engines, in tokens per second
	ExportAge             time.Duration // age at which a KV export is dropped
	ExportBytes           int64         // maximum size of all KV exports; the default is the size of the KV memory
	OrderTime             time.Duration // time to carry out an order
	EventLag              time.Duration // delay before cache events are published
	EventLoss             float64       // fraction of cache events that are never published
	LoadLag               time.Duration // minimum age of load reports
	ChecksFencing         bool
	TimeScale             float64 // emulated seconds per second of real time; 0 means 1
	Fabric                *Fabric // engines that can read each other's exported memory
}

func (c Config) withDefaults() Config {
	setDefault(&c.Name, "emulator")
	setDefault(&c.MemoryBlocks, defaultMemoryBlocks)
	setDefault(&c.TokensPerMemoryBlock, defaultTokensPerBlock)
	setDefault(&c.StepTokens, defaultStepTokens)
	setDefault(&c.PrefillPerSec, defaultPrefillPerSec)
	setDefault(&c.DecodePerSec, defaultDecodePerSec)
	setDefault(&c.DecodeTimePerSequence, defaultDecodeTimePerSequence)
	setDefault(&c.TransferPerSec, defaultTransferPerSec)
	setDefault(&c.ExportAge, defaultExportAge)
	setDefault(&c.ExportBytes, int64(c.MemoryBlocks)*int64(c.TokensPerMemoryBlock)*kvBytesPerToken)
	setDefault(&c.OrderTime, defaultOrderTime)
	setDefault(&c.TimeScale, 1)
	if len(c.Models) == 0 {
		c.Models = []string{"draft"}
	}
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Fabric connects engines that can read each other's exported KV memory. An
// engine without a Fabric accepts every well-formed handle.
type Fabric struct {
	mu      sync.Mutex
	engines map[string]*Engine
}

func (f *Fabric) register(e *Engine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.engines == nil {
		f.engines = make(map[string]*Engine)
	}
	f.engines[e.cfg.Name] = e
}

func (f *Fabric) lookup(name string) *Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engines[name]
}

// blocksFor returns the number of memory blocks needed for tokens.
func (c Config) blocksFor(tokens int) int {
	return (tokens + c.TokensPerMemoryBlock - 1) / c.TokensPerMemoryBlock
}

// memoryPerPrefixBlock returns the number of memory blocks in one prefix block.
func (c Config) memoryPerPrefixBlock() int { return engine.BlockTokens / c.TokensPerMemoryBlock }
