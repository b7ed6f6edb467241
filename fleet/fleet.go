// Package fleet is the configuration that operators accept and that is in force
// on every daemon: models, client accounts, failure domains, plain services,
// kinds of endpoint and limits. It is generated from the questionnaire's
// answers, kept in the quorum log and handed from daemon to daemon.
package fleet

import "time"

// Version orders configurations: Epoch first, then Revision. A daemon applies
// only a higher version than the one it has.
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

// Configuration is one accepted configuration.
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

// FailureDomain is a place that can be lost as a whole.
type FailureDomain struct {
	Name     string         `json:"name"     toml:"name"`
	Region   string         `json:"region"   toml:"region"`
	Distance map[string]int `json:"distance" toml:"distance"` // round trip to other domains, in microseconds
}

// Model is a model by the name that callers use.
type Model struct {
	Name       string   `json:"name"        toml:"name"`
	EngineName string   `json:"engine_name" toml:"engine_name"` // the engines' own name; empty when it is the same
	Adapters   []string `json:"adapters"    toml:"adapters"`
	Endpoints  int      `json:"endpoints"   toml:"endpoints"`  // endpoints that should serve it
	MaxPrompt  int      `json:"max_prompt"  toml:"max_prompt"` // tokens
}

// Account is a client account.
type Account struct {
	Name            string   `json:"name"              toml:"name"`
	KeyDigests      []string `json:"key_digests"       toml:"key_digests"`      // SHA-256 of each key, in hexadecimal
	Models          []string `json:"models"            toml:"models"`           // empty for all
	Share           int      `json:"share"             toml:"share"`            // weight against other accounts, at least 1
	ShortTokens     int      `json:"short_tokens"      toml:"short_tokens"`     // tokens of work per second for prompts up to 32,000 tokens; 0 for no limit
	LongTokens      int      `json:"long_tokens"       toml:"long_tokens"`      // tokens of work per second for longer prompts; 0 for no limit
	DefaultDeadline Duration `json:"default_deadline"  toml:"default_deadline"` // for prompts up to 32,000 tokens; 0 for the fleet's
	LongDeadline    Duration `json:"long_deadline"     toml:"long_deadline"`    // for longer prompts; 0 for the fleet's
}

// Service is a plain service that is routed to beside the engines.
type Service struct {
	Name string      `json:"name" toml:"name"`
	Once []OnceRoute `json:"once" toml:"once"` // calls that are not idempotent
}

// OnceRoute is a call that runs at most once, by method and path.
type OnceRoute struct {
	Method string `json:"method" toml:"method"`
	Path   string `json:"path"   toml:"path"` // a trailing "/*" stands for every path below
}

// EndpointKind tells how one kind of endpoint takes orders.
type EndpointKind struct {
	Name          string `json:"name"           toml:"name"`
	ChecksFencing bool   `json:"checks_fencing" toml:"checks_fencing"`
}

// Limits are the fleet's own bounds.
type Limits struct {
	MaxBody         int      `json:"max_body"          toml:"max_body"`          // bytes of a request body
	MaxAnswer       int      `json:"max_answer"        toml:"max_answer"`        // tokens
	ShortDeadline   Duration `json:"short_deadline"    toml:"short_deadline"`    // for prompts up to 32,000 tokens
	LongDeadline    Duration `json:"long_deadline"     toml:"long_deadline"`     // for longer prompts
	OnceRetention   Duration `json:"once_retention"    toml:"once_retention"`    // how long once-records are kept
	WeightStoreLoad int      `json:"weight_store_load" toml:"weight_store_load"` // loads from the weight store at one time
}

// Duration is a time.Duration that is written as text, such as "30s".
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
