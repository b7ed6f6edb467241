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

// Step names used in errors.
const stepEngine = "engine"

// Engine is one emulated engine.
type Engine struct {
	cfg  Config
	wake chan struct{}
	stop chan struct{}
	done sync.WaitGroup

	mu       sync.Mutex
	random   *rand.Rand
	attempts map[engine.Key]*attempt
	queue    []*attempt // by priority, then arrival
	imports  map[engine.Key]int
	exports  map[string]engine.Key
	cache    *prefixCache
	own      int // memory blocks held outside the cache
	arrivals uint64
	seen     map[engine.Key]int
	report   *reports
	models   []string
	adapters []string
	role     engine.Role
	fence    uint64
	faults   faults
}

var _ engine.Engine = (*Engine)(nil)

// New starts an emulated engine. Close ends it.
func New(cfg Config) *Engine {
	cfg = cfg.withDefaults()
	e := &Engine{
		cfg:      cfg,
		wake:     make(chan struct{}, 1),
		stop:     make(chan struct{}),
		random:   rand.New(rand.NewPCG(cfg.Seed, 1)),
		seen:     make(map[engine.Key]int),
		models:   slices.Clone(cfg.Models),
		adapters: slices.Clone(cfg.Adapters),
		role:     engine.RoleMixed,
		faults:   faults{slow: 1, thawed: make(chan struct{})},
	}
	close(e.faults.thawed)
	e.reset()
	if cfg.Fabric != nil {
		cfg.Fabric.add(e)
	}
	e.done.Add(1)
	go e.run()
	return e
}

// Close ends the engine.
func (e *Engine) Close() {
	e.Kill()
	e.Thaw()
	close(e.stop)
	e.done.Wait()
}

func (e *Engine) reset() {
	e.attempts = make(map[engine.Key]*attempt)
	e.imports = make(map[engine.Key]int)
	e.exports = make(map[string]engine.Key)
	e.queue = nil
	e.own = 0
	e.cache = newPrefixCache()
	e.report = newReports(e.cfg)
}

// Describe implements engine.Engine.
func (e *Engine) Describe(ctx context.Context) (engine.Description, error) {
	if err := e.reach(ctx); err != nil {
		return engine.Description{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return engine.Description{
		Models:         slices.Clone(e.models),
		Adapters:       slices.Clone(e.adapters),
		Role:           e.role,
		MemoryBlocks:   e.cfg.MemoryBlocks,
		MemoryTokens:   e.cfg.MemoryTokens,
		MaxPrompt:      e.cfg.MemoryBlocks * e.cfg.MemoryTokens,
		ChecksFencing:  e.cfg.ChecksFencing,
		ExportsKV:      true,
		PrefillPerSec:  e.cfg.PrefillPerSec,
		DecodePerSec:   e.cfg.DecodePerSec,
		AttentionScale: e.cfg.AttentionScale,
	}, nil
}

// Generate implements engine.Engine.
func (e *Engine) Generate(ctx context.Context, w engine.Work) (engine.Stream, error) {
	if err := e.reach(ctx); err != nil {
		return nil, err
	}
	for _, handle := range w.Context {
		if err := e.readable(handle); err != nil {
			return nil, err
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if err := e.check(w); err != nil {
		return nil, err
	}
	e.arrivals++
	a := newAttempt(w, e.arrivals)
	if e.cfg.blocksFor(a.memoryTokens()) > e.cfg.MemoryBlocks {
		return nil, outcome.Refuse(outcome.CodePromptTooLong, stepEngine, "%d tokens do not fit in memory", a.memoryTokens())
	}
	e.seen[w.Key]++
	if held := e.attempts[w.Key]; held != nil {
		e.adopt(a, held)
	}
	e.attempts[w.Key] = a
	place, _ := slices.BinarySearchFunc(e.queue, a, compareAttempts)
	e.queue = slices.Insert(e.queue, place, a)
	e.signal()
	return a.stream, nil
}

// adopt gives a the memory of the ended segment that it extends.
func (e *Engine) adopt(a, held *attempt) {
	e.queue = slices.DeleteFunc(e.queue, func(other *attempt) bool { return other == held })
	a.own = held.own
	a.done = held.target
}

func compareAttempts(a, b *attempt) int {
	return cmp.Or(cmp.Compare(a.work.Priority, b.work.Priority), cmp.Compare(a.order, b.order))
}

func (e *Engine) check(w engine.Work) error {
	if !slices.Contains(e.models, w.Model) {
		return outcome.Refuse(outcome.CodeModelNotFound, stepEngine, "no model %q", w.Model)
	}
	if w.Adapter != "" && !slices.Contains(e.adapters, w.Adapter) {
		return outcome.Refuse(outcome.CodeModelNotFound, stepEngine, "no adapter %q", w.Adapter)
	}
	if held := e.attempts[w.Key]; held != nil && !held.extendedBy(w) {
		return outcome.Refuse(outcome.CodeConflict, stepEngine, "attempt %v is held", w.Key)
	}
	return nil
}

// Cancel implements engine.Engine.
func (e *Engine) Cancel(ctx context.Context, k engine.Key) error {
	if err := e.reach(ctx); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.cancels > 0 {
		e.faults.cancels--
		return outcome.Fail(outcome.CodeTransport, outcome.Unknown, stepEngine, context.DeadlineExceeded)
	}
	e.own -= e.imports[k]
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
	if err := e.reach(ctx); err != nil {
		return engine.Load{}, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.report.load(time.Now()), nil
}

// CacheEvents implements engine.Engine.
func (e *Engine) CacheEvents(ctx context.Context, after uint64) ([]engine.CacheEvent, error) {
	if err := e.reach(ctx); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.report.eventsAfter(after, time.Now()), nil
}

// Holdings implements engine.Engine.
func (e *Engine) Holdings(ctx context.Context) ([]engine.Holding, error) {
	if err := e.reach(ctx); err != nil {
		return nil, err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	var held []engine.Holding
	for k, a := range e.attempts {
		held = append(held, engine.Holding{Key: k, Blocks: a.own + len(a.pins)*e.cfg.prefixCost()})
	}
	for k, blocks := range e.imports {
		held = append(held, engine.Holding{Key: k, Blocks: blocks})
	}
	slices.SortFunc(held, func(a, b engine.Holding) int {
		return cmp.Or(strings.Compare(a.Key.Request, b.Key.Request), cmp.Compare(a.Key.Attempt, b.Key.Attempt))
	})
	return held, nil
}

// Order implements engine.Engine.
func (e *Engine) Order(ctx context.Context, o engine.Order) error {
	if err := e.reach(ctx); err != nil {
		return err
	}
	if err := e.takeFence(o.Fence); err != nil {
		return err
	}
	if err := sleep(ctx, e.scaled(e.cfg.OrderTime)); err != nil {
		return outcome.Fail(outcome.CodeTransport, outcome.Unknown, stepEngine, err)
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	switch o.Kind {
	case engine.OrderLoadModel:
		e.models = with(e.models, o.Target)
	case engine.OrderUnloadModel:
		e.models = without(e.models, o.Target)
	case engine.OrderLoadAdapter:
		e.adapters = with(e.adapters, o.Target)
	case engine.OrderUnloadAdapter:
		e.adapters = without(e.adapters, o.Target)
	case engine.OrderRole:
		e.role = engine.Role(o.Target)
	default:
		return outcome.Refuse(outcome.CodeUnsupported, stepEngine, "no order %q", o.Kind)
	}
	return nil
}

func (e *Engine) takeFence(fence uint64) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.ChecksFencing && fence < e.fence {
		return outcome.Refuse(outcome.CodeStaleFence, stepEngine, "fencing number %d is below %d", fence, e.fence)
	}
	e.fence = max(e.fence, fence)
	return nil
}

func with(names []string, name string) []string {
	if slices.Contains(names, name) {
		return names
	}
	return append(slices.Clone(names), name)
}

func without(names []string, name string) []string {
	return slices.DeleteFunc(slices.Clone(names), func(n string) bool { return n == name })
}
