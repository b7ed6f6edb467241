package emulator

import (
	"cmp"
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/outcome"
)

// stepEngine is the step name in errors of the emulator.
const stepEngine = "engine"

// Engine is one emulated engine.
type Engine struct {
	cfg  Config
	wake chan struct{}
	stop chan struct{}
	done sync.WaitGroup

	mu            sync.Mutex
	rng           *rand.Rand
	attempts      map[engine.Key]*attempt
	queue         []*attempt // waiting and running attempts, ordered by priority, then arrival
	imports       map[engine.Key]int
	exports       *exportTable
	cache         *prefixCache
	privateBlocks int // memory blocks allocated outside the cache, imports included
	arrivals      uint64
	submitCounts  map[engine.Key]int
	reports       *reportBuffer
	models        []string
	adapters      []string
	role          engine.Role
	highestFence  uint64
	faults        faults
}

var _ engine.Engine = (*Engine)(nil)

// New starts an emulated engine. The caller must Close it.
func New(cfg Config) *Engine {
	cfg = cfg.withDefaults()
	e := &Engine{
		cfg:          cfg,
		wake:         make(chan struct{}, 1),
		stop:         make(chan struct{}),
		rng:          rand.New(rand.NewPCG(cfg.Seed, 1)),
		submitCounts: make(map[engine.Key]int),
		models:       slices.Clone(cfg.Models),
		adapters:     slices.Clone(cfg.Adapters),
		role:         engine.RoleMixed,
		faults:       faults{slowdown: 1, thawed: make(chan struct{})},
	}
	close(e.faults.thawed)
	e.reset()
	if cfg.Fabric != nil {
		cfg.Fabric.register(e)
	}
	e.done.Add(1)
	go e.run()
	return e
}

// Close kills the engine and stops its goroutine.
func (e *Engine) Close() {
	e.Kill()
	e.Thaw()
	close(e.stop)
	e.done.Wait()
}

func (e *Engine) reset() {
	e.attempts = make(map[engine.Key]*attempt)
	e.imports = make(map[engine.Key]int)
	e.exports = newExportTable(e.scaleDuration(e.cfg.ExportAge), e.cfg.ExportBytes)
	e.queue = nil
	e.privateBlocks = 0
	e.cache = newPrefixCache()
	e.reports = newReportBuffer(e.cfg)
}

// Describe implements engine.Engine.
func (e *Engine) Describe(ctx context.Context) (engine.Description, error) {
	if err := e.awaitAvailable(ctx); err != nil {
		return engine.Description{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return engine.Description{
		Models:         slices.Clone(e.models),
		Adapters:       slices.Clone(e.adapters),
		Role:           e.role,
		MemoryBlocks:   e.cfg.MemoryBlocks,
		MemoryTokens:   e.cfg.TokensPerMemoryBlock,
		MaxPrompt:      e.cfg.MemoryBlocks * e.cfg.TokensPerMemoryBlock,
		ChecksFencing:  e.cfg.ChecksFencing,
		ExportsKV:      true,
		PrefillPerSec:  e.cfg.PrefillPerSec,
		DecodePerSec:   e.cfg.DecodePerSec,
		AttentionScale: e.cfg.AttentionScale,
	}, nil
}

// Generate implements engine.Engine.
func (e *Engine) Generate(ctx context.Context, w engine.Work) (engine.Stream, error) {
	if err := e.awaitAvailable(ctx); err != nil {
		return nil, err
	}
	for _, handle := range w.ContextHandles {
		if err := e.checkReadable(handle); err != nil {
			return nil, err
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.validate(w); err != nil {
		return nil, err
	}
	e.arrivals++
	a := newAttempt(w, e.arrivals)
	if e.cfg.blocksFor(a.memoryTokens()) > e.cfg.MemoryBlocks {
		return nil, outcome.Refuse(outcome.CodePromptTooLong, stepEngine, "request needs memory for %d tokens, more than the engine has", a.memoryTokens())
	}
	e.submitCounts[w.Key]++
	if existing := e.attempts[w.Key]; existing != nil {
		e.inheritMemory(a, existing)
	}
	e.attempts[w.Key] = a
	index, _ := slices.BinarySearchFunc(e.queue, a, compareAttempts)
	e.queue = slices.Insert(e.queue, index, a)
	e.signal()
	return a.stream, nil
}

// inheritMemory moves the memory of previous, the finished segment that a
// extends, to a.
func (e *Engine) inheritMemory(a, previous *attempt) {
	e.queue = slices.DeleteFunc(e.queue, func(other *attempt) bool { return other == previous })
	a.privateBlocks = previous.privateBlocks
	a.exports = previous.exports
	a.prefilled = previous.prefillTarget
}

func compareAttempts(a, b *attempt) int {
	return cmp.Or(cmp.Compare(a.work.Priority, b.work.Priority), cmp.Compare(a.arrival, b.arrival))
}

func (e *Engine) validate(w engine.Work) error {
	if !slices.Contains(e.models, w.Model) {
		return outcome.Refuse(outcome.CodeModelNotFound, stepEngine, "model %q is not loaded", w.Model)
	}
	if w.Adapter != "" && !slices.Contains(e.adapters, w.Adapter) {
		return outcome.Refuse(outcome.CodeModelNotFound, stepEngine, "adapter %q is not loaded", w.Adapter)
	}
	if existing := e.attempts[w.Key]; existing != nil && !existing.extendedBy(w) {
		return outcome.Refuse(outcome.CodeConflict, stepEngine, "attempt %v already exists", w.Key)
	}
	return nil
}

// Cancel implements engine.Engine.
func (e *Engine) Cancel(ctx context.Context, k engine.Key) error {
	if err := e.awaitAvailable(ctx); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.cancelsToFail > 0 {
		e.faults.cancelsToFail--
		return outcome.Fail(outcome.CodeTransport, outcome.Unknown, stepEngine, context.DeadlineExceeded)
	}
	e.privateBlocks -= e.imports[k]
	delete(e.imports, k)
	a := e.attempts[k]
	if a == nil {
		return nil
	}
	e.release(a)
	a.stream.push(engine.Chunk{Finish: engine.FinishCanceled, Usage: a.usage()})
	return nil
}

// Load implements engine.Engine.
func (e *Engine) Load(ctx context.Context) (engine.Load, error) {
	if err := e.awaitAvailable(ctx); err != nil {
		return engine.Load{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reports.load(time.Now()), nil
}

// CacheEvents implements engine.Engine.
func (e *Engine) CacheEvents(ctx context.Context, after uint64) ([]engine.CacheEvent, error) {
	if err := e.awaitAvailable(ctx); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.reports.eventsAfter(after, time.Now()), nil
}

// Holdings implements engine.Engine.
func (e *Engine) Holdings(ctx context.Context) ([]engine.Holding, error) {
	if err := e.awaitAvailable(ctx); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	var holdings []engine.Holding
	for k, a := range e.attempts {
		holdings = append(holdings, engine.Holding{Key: k, Blocks: a.privateBlocks + len(a.pinned)*e.cfg.memoryPerPrefixBlock()})
	}
	for k, blocks := range e.imports {
		holdings = append(holdings, engine.Holding{Key: k, Blocks: blocks})
	}
	slices.SortFunc(holdings, func(a, b engine.Holding) int {
		return cmp.Or(strings.Compare(a.Key.Request, b.Key.Request), cmp.Compare(a.Key.Attempt, b.Key.Attempt))
	})
	return holdings, nil
}

// Order implements engine.Engine.
func (e *Engine) Order(ctx context.Context, o engine.Order) error {
	if err := e.awaitAvailable(ctx); err != nil {
		return err
	}
	if err := e.acceptFence(o.Fence); err != nil {
		return err
	}
	if err := sleep(ctx, e.scaleDuration(e.cfg.OrderTime)); err != nil {
		return outcome.Fail(outcome.CodeTransport, outcome.Unknown, stepEngine, err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch o.Kind {
	case engine.OrderLoadModel:
		e.models = addName(e.models, o.Target)
	case engine.OrderUnloadModel:
		e.models = removeName(e.models, o.Target)
	case engine.OrderLoadAdapter:
		e.adapters = addName(e.adapters, o.Target)
	case engine.OrderUnloadAdapter:
		e.adapters = removeName(e.adapters, o.Target)
	case engine.OrderRole:
		e.role = engine.Role(o.Target)
	default:
		return outcome.Refuse(outcome.CodeUnsupported, stepEngine, "unsupported order kind %q", o.Kind)
	}
	return nil
}

func (e *Engine) acceptFence(fence uint64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.ChecksFencing && fence < e.highestFence {
		return outcome.Refuse(outcome.CodeStaleFence, stepEngine, "stale fencing number %d: the highest seen is %d", fence, e.highestFence)
	}
	e.highestFence = max(e.highestFence, fence)
	return nil
}

func addName(names []string, name string) []string {
	if slices.Contains(names, name) {
		return names
	}
	return append(slices.Clone(names), name)
}

func removeName(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name })
}
