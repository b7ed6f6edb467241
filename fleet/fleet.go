// Package fleet defines the operator-approved configuration that every daemon
// applies: models, client accounts, failure domains, plain services, endpoint
// kinds and limits. It is generated from the answers to the questionnaire,
// stored in the quorum log and propagated between daemons.
package fleet

import "time"

// Version orders configurations by Epoch, then Revision. A daemon applies a
// configuration only if its version is higher than the current one.
type Version struct {
	Epoch    uint64 `json:"epoch"    toml:"epoch"`
	Revision uint64 `json:"revision" toml:"revision"`
}

// Less reports whether v is older than w.
func (v Version) Less(w Version) bool {
	if v.Epoch != w.Epoch {
		return v.Epoch < w.Epoch
	}
	return v.Revision < w.Revision
}

// Configuration is one version of the fleet configuration.
type Configuration struct {
	Version        Version         `json:"version"         toml:"version"`
	Name           string          `json:"name"            toml:"name"`
	FailureDomains []FailureDomain `json:"failure_domains" toml:"failure_domains"`
	Models         []Model         `json:"models"          toml:"models"`
	Accounts       []Account       `json:"accounts"        toml:"accounts"`
	Services       []Service       `json:"services"        toml:"services"`
	EndpointKinds  []EndpointKind  `json:"endpoint_kinds"  toml:"endpoint_kinds"`
	Limits         Limits          `json:"limits"          toml:"limits"`
}

// FailureDomain is a location whose instances can all fail together.
type FailureDomain struct {
	Name     string         `json:"name"     toml:"name"`
	Region   string         `json:"region"   toml:"region"`
	Distance map[string]int `json:"distance" toml:"distance"` // round-trip time to other domains, in microseconds
}

// Model is a model identified by its public name.
type Model struct {
	Name       string   `json:"name"        toml:"name"`
	EngineName string   `json:"engine_name" toml:"engine_name"` // name used by the engines; empty if identical
	Adapters   []string `json:"adapters"    toml:"adapters"`
	Endpoints  int      `json:"endpoints"   toml:"endpoints"`  // desired number of endpoints that serve the model
	MaxPrompt  int      `json:"max_prompt"  toml:"max_prompt"` // tokens
}

// Account is a client account.
type Account struct {
	Name           string   `json:"name"              toml:"name"`
	KeyDigests     []string `json:"key_digests"       toml:"key_digests"`      // SHA-256 of each key, in hexadecimal
	Models         []string `json:"models"            toml:"models"`           // empty for all
	Share          int      `json:"share"             toml:"share"`            // weight relative to other accounts, at least 1
	ShortTokenRate int      `json:"short_tokens"      toml:"short_tokens"`     // tokens of work per second for prompts of up to 32,000 tokens; 0 for no limit
	LongTokenRate  int      `json:"long_tokens"       toml:"long_tokens"`      // tokens of work per second for longer prompts; 0 for no limit
	ShortDeadline  Duration `json:"default_deadline"  toml:"default_deadline"` // for prompts of up to 32,000 tokens; 0 for the fleet default
	LongDeadline   Duration `json:"long_deadline"     toml:"long_deadline"`    // for longer prompts; 0 for the fleet default
}

// Service is a plain HTTP service that receives routed calls alongside the
// engines.
type Service struct {
	Name string      `json:"name" toml:"name"`
	Once []OnceRoute `json:"once" toml:"once"` // routes of calls that are not idempotent
}

// OnceRoute identifies calls that run at most once, by method and path.
type OnceRoute struct {
	Method string `json:"method" toml:"method"`
	Path   string `json:"path"   toml:"path"` // a trailing "/*" matches all subpaths
}

// EndpointKind describes how one kind of endpoint accepts commands.
type EndpointKind struct {
	Name          string `json:"name"           toml:"name"`
	ChecksFencing bool   `json:"checks_fencing" toml:"checks_fencing"`
}

// Limits are the fleet-wide limits.
type Limits struct {
	MaxBody         int      `json:"max_body"          toml:"max_body"`          // maximum request body size in bytes
	MaxAnswer       int      `json:"max_answer"        toml:"max_answer"`        // maximum response length in tokens
	ShortDeadline   Duration `json:"short_deadline"    toml:"short_deadline"`    // for prompts of up to 32,000 tokens
	LongDeadline    Duration `json:"long_deadline"     toml:"long_deadline"`     // for longer prompts
	OnceRetention   Duration `json:"once_retention"    toml:"once_retention"`    // retention of at-most-once records
	WeightStoreLoad int      `json:"weight_store_load" toml:"weight_store_load"` // maximum concurrent loads from the weight store
}

// Duration is a time.Duration that is marshaled as text, such as "30s".
type Duration time.Duration

// D returns the value as a time.Duration.
func (d Duration) D() time.Duration { return time.Duration(d) }

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*d = Duration(v)
	return nil
}
