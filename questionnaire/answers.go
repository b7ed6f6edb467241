// Package questionnaire asks a team in plain words about its models, client
// accounts, places, plain services and instances, and keeps the answers in a
// TOML file that people can read and edit. Package plan makes the
// configuration from them.
package questionnaire

import (
	"fmt"
	"os"
	"time"

	"github.com/gravitational/trace"

	"github.com/jacinthplank/jacinthplank/fleet"
	"github.com/jacinthplank/jacinthplank/tomlcheck"
)

// Answers is everything a team answers.
type Answers struct {
	Name           string          `toml:"name"`
	Times          Times           `toml:"times"`
	Security       Security        `toml:"security"`
	FailureDomains []FailureDomain `toml:"failure_domains"`
	RoundTrips     []RoundTrip     `toml:"round_trips"`
	EndpointKinds  []EndpointKind  `toml:"endpoint_kinds"`
	Models         []Model         `toml:"models"`
	Services       []Service       `toml:"services"`
	Accounts       []Account       `toml:"accounts"`
	Instances      []Instances     `toml:"instances"`
}

// Times is how long things may take, unless an account says otherwise.
type Times struct {
	Short    fleet.Duration `toml:"short"`    // for prompts up to 32,000 tokens
	Long     fleet.Duration `toml:"long"`     // for longer prompts
	Remember fleet.Duration `toml:"remember"` // how long calls that run at most once are remembered
}

// Security is how daemons know one another. Either the three files or Plain.
type Security struct {
	Plain       bool   `toml:"plain"`
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	Authority   string `toml:"authority"`
}

// FailureDomain is a place that can be lost as a whole.
type FailureDomain struct {
	Name   string `toml:"name"`
	Region string `toml:"region"`
}

// RoundTrip is the time of a round trip between two failure domains.
type RoundTrip struct {
	Between []string       `toml:"between"`
	Time    fleet.Duration `toml:"time"`
}

// EndpointKind is a sort of endpoint.
type EndpointKind struct {
	Name         string `toml:"name"`
	ChecksOrders bool   `toml:"checks_orders"` // refuses orders that carry an old fencing number
}

// Model is a model that callers may name.
type Model struct {
	Name       string   `toml:"name"`
	EngineName string   `toml:"engine_name"` // the engines' own name, when it differs
	Adapters   []string `toml:"adapters"`
	MaxPrompt  int      `toml:"max_prompt"` // tokens
}

// Service is a plain service.
type Service struct {
	Name          string   `toml:"name"`
	NonIdempotent []string `toml:"non_idempotent"` // such as "POST /certificates"
}

// Size is how much a client account may ask for when the fleet is busy.
type Size string

// Sizes of client accounts.
const (
	SizeSmall  Size = "small"
	SizeMedium Size = "medium"
	SizeLarge  Size = "large"
)

// Account is a client account.
type Account struct {
	Name        string         `toml:"name"`
	Size        Size           `toml:"size"`
	Models      []string       `toml:"models"`       // empty for all
	KeyDigests  []string       `toml:"key_digests"`  // SHA-256 of each key, in hexadecimal
	Short       fleet.Duration `toml:"short"`        // 0s for the fleet's
	Long        fleet.Duration `toml:"long"`         // 0s for the fleet's
	ShortTokens int            `toml:"short_tokens"` // tokens of work per second, 0 for no limit
	LongTokens  int            `toml:"long_tokens"`  // tokens of work per second, 0 for no limit
}

// Task is what a group of instances does.
type Task string

// Tasks.
const (
	TaskEntry    Task = "entry"    // takes callers' requests
	TaskEndpoint Task = "endpoint" // stands beside an engine or a plain service
)

// Instances is a group of instances that differ in their address only. They are
// named NAME-1, NAME-2 and so on.
type Instances struct {
	Name          string   `toml:"name"`
	Task          Task     `toml:"task"`
	FailureDomain string   `toml:"failure_domain"`
	Addresses     []string `toml:"addresses"`   // IP numbers
	Port          int      `toml:"port"`        // for the other daemons
	CallerPort    int      `toml:"caller_port"` // for callers, at entries
	Disk          string   `toml:"disk"`        // data folder on a disk of its own; empty for none
	Kind          string   `toml:"kind"`        // endpoint kind
	Model         string   `toml:"model"`       // model served, at endpoints
	Service       string   `toml:"service"`     // plain service, at endpoints
	URL           string   `toml:"url"`         // of the engine or service, as the instance itself reaches it
}

// Defaults of answers.
const (
	DefaultPort       = 7400
	DefaultCallerPort = 8080
	DefaultMaxPrompt  = fleet.MaxPromptTokens
	DefaultRoundTrip  = fleet.Duration(500 * time.Microsecond)
	DefaultEngineURL  = "http://127.0.0.1:8000"
)

// New returns answers with the fleet's defaults and nothing else.
func New() *Answers {
	return &Answers{Times: Times{
		Short:    fleet.DefaultShortDeadline,
		Long:     fleet.DefaultLongDeadline,
		Remember: fleet.DefaultOnceRetention,
	}}
}

// Load reads an answers file. One with faults gives tomlcheck.Faults.
func Load(path string) (*Answers, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return Parse(path, data)
}

// Parse reads answers from TOML data. The file name is used in faults only.
func Parse(file string, data []byte) (*Answers, error) {
	a := New()
	report := tomlcheck.Decode(file, data, a)
	a.fillIn()
	a.check(report)
	if err := report.Err(); err != nil {
		return nil, err
	}
	return a, nil
}

// fillIn sets what may be left out of a list's elements.
func (a *Answers) fillIn() {
	for i := range a.Models {
		if a.Models[i].MaxPrompt == 0 {
			a.Models[i].MaxPrompt = DefaultMaxPrompt
		}
	}
	for i := range a.Accounts {
		if a.Accounts[i].Size == "" {
			a.Accounts[i].Size = SizeSmall
		}
	}
	for i := range a.Instances {
		group := &a.Instances[i]
		if group.Port == 0 {
			group.Port = DefaultPort
		}
		if group.Task == TaskEntry && group.CallerPort == 0 {
			group.CallerPort = DefaultCallerPort
		}
	}
}

// Member returns the name of the instance at index i of the group, from 0.
func (g Instances) Member(i int) string { return fmt.Sprintf("%s-%d", g.Name, i+1) }
