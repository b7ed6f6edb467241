package fleet

import (
	"cmp"
	"time"
)

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

// WithDefaults returns the limits with the default of each that is 0, which an
// accepted configuration never has.
func (l Limits) WithDefaults() Limits {
	d := DefaultLimits()
	return Limits{
		MaxBody:         cmp.Or(l.MaxBody, d.MaxBody),
		MaxAnswer:       cmp.Or(l.MaxAnswer, d.MaxAnswer),
		ShortDeadline:   cmp.Or(l.ShortDeadline, d.ShortDeadline),
		LongDeadline:    cmp.Or(l.LongDeadline, d.LongDeadline),
		OnceRetention:   cmp.Or(l.OnceRetention, d.OnceRetention),
		WeightStoreLoad: cmp.Or(l.WeightStoreLoad, d.WeightStoreLoad),
	}
}
