package fleet

import "time"

// Default values of Limits.
const (
	DefaultMaxBody         = 16 << 20 // bytes
	DefaultMaxAnswer       = 8192     // tokens
	DefaultShortDeadline   = Duration(60 * time.Second)
	DefaultLongDeadline    = Duration(2 * time.Hour)
	DefaultOnceRetention   = Duration(7 * 24 * time.Hour)
	DefaultWeightStoreLoad = 2 // concurrent loads
)

// DefaultShare is the weight of an account that does not set a share.
const DefaultShare = 1

// MaxPromptTokens is the highest value allowed for Model.MaxPrompt.
const MaxPromptTokens = 1_000_000

// DefaultLimits returns the limits of a configuration that sets none.
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
