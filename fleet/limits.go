package fleet

import "time"

// Defaults of Limits.
const (
	DefaultMaxBody         = 16 << 20 // bytes
	DefaultMaxAnswer       = 8192     // tokens
	DefaultShortDeadline   = Duration(60 * time.Second)
	DefaultLongDeadline    = Duration(2 * time.Hour)
	DefaultOnceRetention   = Duration(7 * 24 * time.Hour)
	DefaultWeightStoreLoad = 2 // loads at one time
)

// DefaultShare is the weight of an account whose share is not given.
const DefaultShare = 1

// MaxPromptTokens is the longest prompt that a model may be set to take.
const MaxPromptTokens = 1_000_000

// DefaultLimits returns the limits of a configuration that states none.
func DefaultLimits() Limits {
	return Limits{
		MaxBody:         DefaultMaxBody,
		MaxAnswer:       DefaultMaxAnswer,
		ShortDeadline:   DefaultShortDeadline,
		LongDeadline:    DefaultLongDeadline,
		OnceRetention:   DefaultOnceRetention,
		WeightStoreLoad: DefaultWeightStoreLoad,
	}
}
