// Package emulator is an engine.Engine for tests and experiments: continuous
// batching, paged KV memory, a prefix cache and faults on demand, deterministic
// by seed. It uses package time only, so it runs in virtual time under
// testing/synctest.
package emulator

import (
	"sync"
	"time"

	"github.com/jacinthplank/jacinthplank/engine"
)

// Defaults of a Config.
const (
	defaultStepTokens     = 8192   // tokens
	defaultMemoryBlocks   = 3200   // memory blocks
	defaultMemoryTokens   = 128    // tokens
	defaultPrefillPerSec  = 20_000 // tokens per second
	defaultDecodePerSec   = 60     // tokens per second
	defaultDecodeSlot     = 50 * time.Microsecond
	defaultTransferPerSec = 400_000 // tokens per second
	defaultOrderTime      = 2 * time.Second
)

// Config describes one emulated engine. Zero fields take defaults.
type Config struct {
	Name           string
	Seed           uint64
	Models         []string
	Adapters       []string
	MemoryBlocks   int           // KV memory, in memory blocks
	MemoryTokens   int           // tokens per memory block; divides engine.BlockTokens
	StepTokens     int           // most tokens in one step
	PrefillPerSec  float64       // tokens per second at position 0
	DecodePerSec   float64       // tokens per second of one sequence
	DecodeSlot     time.Duration // further time of a step per decoding sequence
	AttentionScale int           // position at which a prefill token costs twice; 0 for none
	TransferPerSec float64       // tokens of KV memory per second between engines
	OrderTime      time.Duration // time that an order takes
	EventLag       time.Duration // age at which cache events are published
	EventLoss      float64       // share of cache events never published
	LoadLag        time.Duration // age of load reports
	ChecksFencing  bool
	Scale          float64 // emulated seconds per second; 0 for 1
	Fabric         *Fabric // engines that read each other's exported memory
}

func (c Config) withDefaults() Config {
	setDefault(&c.Name, "emulator")
	setDefault(&c.MemoryBlocks, defaultMemoryBlocks)
	setDefault(&c.MemoryTokens, defaultMemoryTokens)
	setDefault(&c.StepTokens, defaultStepTokens)
	setDefault(&c.PrefillPerSec, defaultPrefillPerSec)
	setDefault(&c.DecodePerSec, defaultDecodePerSec)
	setDefault(&c.DecodeSlot, defaultDecodeSlot)
	setDefault(&c.TransferPerSec, defaultTransferPerSec)
	setDefault(&c.OrderTime, defaultOrderTime)
	setDefault(&c.Scale, 1)
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

// Fabric joins engines that can read each other's exported KV memory. Engines
// without one accept every handle of the right form.
type Fabric struct {
	mu      sync.Mutex
	engines map[string]*Engine
}

func (f *Fabric) add(e *Engine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.engines == nil {
		f.engines = make(map[string]*Engine)
	}
	f.engines[e.cfg.Name] = e
}

func (f *Fabric) find(name string) *Engine {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.engines[name]
}

// blocksFor returns the memory blocks that tokens take.
func (c Config) blocksFor(tokens int) int {
	return (tokens + c.MemoryTokens - 1) / c.MemoryTokens
}

// prefixCost returns the memory blocks of one prefix block.
func (c Config) prefixCost() int { return engine.BlockTokens / c.MemoryTokens }
