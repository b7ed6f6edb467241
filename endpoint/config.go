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

	MaxRunning       int     // maximum attempts running on the engine, not counting long ones
	MaxLong          int     // maximum long attempts running on the engine
	MaxQueued        int     // maximum queued attempts
	ShortMemoryShare float64 // share of memory that long attempts leave free for short ones

	LongPrefillTime     time.Duration // prefill time above which an attempt is long
	ChunkTime           time.Duration // engine time of one prefill chunk
	MaxUnchunkedPrefill time.Duration // prefill time up to which a prompt is not split into chunks
	MaxPrefillWait      time.Duration // wait after which a chunk runs before shorter work
	StallTimeout        time.Duration // time without progress after which an attempt fails

	CallTimeout       time.Duration // timeout of short calls to the engine
	ReconcileEvery    time.Duration
	OrphanGrace       time.Duration
	FreedKeyRetention time.Duration // how long the keys of finished attempts are kept to reject duplicates
}

// Default values of Config.
const (
	defaultMaxRunning          = 64
	defaultMaxLong             = 4
	defaultMaxQueued           = 512
	defaultShortMemoryShare    = 0.1
	defaultLongPrefillTime     = work.LongPrefillThreshold
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
	setDefault(&c.MaxRunning, defaultMaxRunning)
	setDefault(&c.MaxLong, defaultMaxLong)
	setDefault(&c.MaxQueued, defaultMaxQueued)
	setDefault(&c.ShortMemoryShare, defaultShortMemoryShare)
	setDefault(&c.LongPrefillTime, defaultLongPrefillTime)
	setDefault(&c.ChunkTime, defaultChunkTime)
	setDefault(&c.MaxUnchunkedPrefill, defaultMaxUnchunkedPrefill)
	setDefault(&c.MaxPrefillWait, defaultMaxPrefillWait)
	setDefault(&c.StallTimeout, defaultStallTimeout)
	setDefault(&c.CallTimeout, defaultCallTimeout)
	setDefault(&c.ReconcileEvery, defaultReconcileEvery)
	setDefault(&c.OrphanGrace, defaultOrphanGrace)
	setDefault(&c.FreedKeyRetention, defaultFreedKeyRetention)
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
