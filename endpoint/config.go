package endpoint

import (
	"log/slog"
	"time"

	"github.com/jacinthplank/jacinthplank/engine"
	"github.com/jacinthplank/jacinthplank/timeline"
	"github.com/jacinthplank/jacinthplank/work"
)

// Config holds the settings of an Agent. Name and Engine are required; other zero
// fields take defaults.
type Config struct {
	Name       string
	Engine     engine.Engine
	EngineName func(model string) string // maps a model to the engine's name for it
	Recorder   timeline.Recorder
	Log        *slog.Logger

	Running     int     // maximum attempts running on the engine, not counting long ones
	Long        int     // maximum long attempts running on the engine
	Queued      int     // maximum queued attempts
	ShortMemory float64 // share of memory that long attempts leave free for short ones

	LongTime  time.Duration // prefill time above which an attempt is long
	ChunkTime time.Duration // engine time of one prefill chunk
	WholeTime time.Duration // prefill time up to which a prompt is not split into chunks
	MaxPause  time.Duration // wait after which a chunk runs before shorter work
	Stall     time.Duration // time without progress after which an attempt fails

	CallTimeout    time.Duration // timeout of short calls to the engine
	ReconcileEvery time.Duration
	OrphanGrace    time.Duration
	Remember       time.Duration // how long the keys of finished attempts are kept to reject duplicates
}

// Default values of Config.
const (
	defaultMaxRunning          = 64
	defaultMaxLong             = 4
	defaultMaxQueued           = 512
	defaultShortMemoryShare    = 0.1
	defaultLongPrefillTime     = work.LongTime
	defaultChunkTime           = 50 * time.Millisecond
	defaultMaxUnchunkedPrefill = 400 * time.Millisecond
	defaultMaxPrefillWait      = time.Second
	defaultStallTimeout        = 20 * time.Second
	defaultCallTimeout         = 2 * time.Second
	defaultReconcileEvery      = time.Second
	defaultOrphanGrace         = 10 * time.Second
	defaultFreedKeyRetention   = 15 * time.Minute
)

func (c Config) withDefaults() Config {
	setDefault(&c.Running, defaultMaxRunning)
	setDefault(&c.Long, defaultMaxLong)
	setDefault(&c.Queued, defaultMaxQueued)
	setDefault(&c.ShortMemory, defaultShortMemoryShare)
	setDefault(&c.LongTime, defaultLongPrefillTime)
	setDefault(&c.ChunkTime, defaultChunkTime)
	setDefault(&c.WholeTime, defaultMaxUnchunkedPrefill)
	setDefault(&c.MaxPause, defaultMaxPrefillWait)
	setDefault(&c.Stall, defaultStallTimeout)
	setDefault(&c.CallTimeout, defaultCallTimeout)
	setDefault(&c.ReconcileEvery, defaultReconcileEvery)
	setDefault(&c.OrphanGrace, defaultOrphanGrace)
	setDefault(&c.Remember, defaultFreedKeyRetention)
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
