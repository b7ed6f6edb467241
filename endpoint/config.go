package endpoint

import (
	"log/slog"
	"time"

	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/timeline"
	"github.com/jacinthplank/jacinthplank/work"
)

// Config is the settings of an Agent. Zero fields take defaults, but for Name and
// Engine.
type Config struct {
	Name       string
	Engine     engine.Engine
	EngineName func(model string) string // the engine's name of a model
	Recorder   timeline.Recorder
	Log        *slog.Logger

	Running     int     // attempts on the engine at one time, long ones not counted
	Long        int     // long attempts on the engine at one time
	Queued      int     // attempts waiting
	ShortMemory float64 // share of memory that long attempts leave free

	LongTime  time.Duration // prefill time from which on an attempt is long
	ChunkTime time.Duration // engine time of one piece of prefill
	WholeTime time.Duration // prefill time up to which a prompt is one piece
	MaxPause  time.Duration // time after which a piece goes before shorter work
	Stall     time.Duration // time without progress after which an attempt is given up

	CallTimeout    time.Duration // limit of a call that should be answered at once
	ReconcileEvery time.Duration
	OrphanGrace    time.Duration
	Remember       time.Duration // how long keys of ended attempts are remembered
}

// Defaults of a Config.
const (
	defaultRunning        = 64
	defaultLong           = 4
	defaultQueued         = 512
	defaultShortMemory    = 0.1
	defaultLongTime       = work.LongTime
	defaultChunkTime      = 50 * time.Millisecond
	defaultWholeTime      = 400 * time.Millisecond
	defaultMaxPause       = time.Second
	defaultStall          = 20 * time.Second
	defaultCallTimeout    = 2 * time.Second
	defaultReconcileEvery = time.Second
	defaultOrphanGrace    = 10 * time.Second
	defaultRemember       = 15 * time.Minute
)

func (c Config) withDefaults() Config {
	setDefault(&c.Running, defaultRunning)
	setDefault(&c.Long, defaultLong)
	setDefault(&c.Queued, defaultQueued)
	setDefault(&c.ShortMemory, defaultShortMemory)
	setDefault(&c.LongTime, defaultLongTime)
	setDefault(&c.ChunkTime, defaultChunkTime)
	setDefault(&c.WholeTime, defaultWholeTime)
	setDefault(&c.MaxPause, defaultMaxPause)
	setDefault(&c.Stall, defaultStall)
	setDefault(&c.CallTimeout, defaultCallTimeout)
	setDefault(&c.ReconcileEvery, defaultReconcileEvery)
	setDefault(&c.OrphanGrace, defaultOrphanGrace)
	setDefault(&c.Remember, defaultRemember)
	if c.EngineName == nil {
		c.EngineName = func(model string) string { return model }
	}
	if c.Recorder == nil {
		c.Recorder = timeline.Discard{}
	}
	if c.Log == nil {
		c.Log = slog.Default()
	}
	return c
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
