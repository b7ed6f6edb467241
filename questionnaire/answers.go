// Package questionnaire asks an operator about the models, client accounts,
// failure domains, plain services and instances of a fleet, and stores the answers
// in an editable TOML file. Package plan generates the configuration from them.
package questionnaire

import (
	"fmt"
	"os"
	"time"

	"github.com/gravitational/trace"

	"github.com/jacinthplank/jacinthplank/fleet"
	"github.com/jacinthplank/jacinthplank/tomlcheck"
)

// Answers holds all answers of a questionnaire.
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
	Instances      []InstanceGroup `toml:"instances"`
}

// Times holds the default deadlines, which accounts can override, and the
// retention of at-most-once calls.
type Times struct {
	Short    fleet.Duration `toml:"short"`    // for prompts up to 32,000 tokens
	Long     fleet.Duration `toml:"long"`     // for longer prompts
	Remember fleet.Duration `toml:"remember"` // retention of the records of calls that run at most once
}

// Security is how daemons authenticate each other: either the three files or Plain.
type Security struct {
	Plain       bool   `toml:"plain"`
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	Authority   string `toml:"authority"`
}

// FailureDomain is a location that can fail as a whole.
type FailureDomain struct {
	Name   string `toml:"name"`
	Region string `toml:"region"`
}

// RoundTrip is the round-trip time between two failure domains.
type RoundTrip struct {
	Between []string       `toml:"between"`
	Time    fleet.Duration `toml:"time"`
}

// EndpointKind is a kind of endpoint.
type EndpointKind struct {
	Name         string `toml:"name"`
	ChecksOrders bool   `toml:"checks_orders"` // refuses orders with a stale fencing number
}

// Model is a model that callers can request.
type Model struct {
	Name       string   `toml:"name"`
	EngineName string   `toml:"engine_name"` // name that the engines use, if different
	Adapters   []string `toml:"adapters"`
	MaxPrompt  int      `toml:"max_prompt"` // tokens
}

// Service is a plain service.
type Service struct {
	Name          string   `toml:"name"`
	NonIdempotent []string `toml:"non_idempotent"` // such as "POST /certificates"
}

// Size is the relative share of a client account when the fleet is busy.
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
	Short       fleet.Duration `toml:"short"`        // 0s for the fleet's default
	Long        fleet.Duration `toml:"long"`         // 0s for the fleet's default
	ShortTokens int            `toml:"short_tokens"` // tokens of work per second, 0 for no limit
	LongTokens  int            `toml:"long_tokens"`  // tokens of work per second, 0 for no limit
}

// Task is the task of a group of instances.
type Task string

// Tasks.
const (
	TaskEntry    Task = "entry"    // accepts the requests of callers
	TaskEndpoint Task = "endpoint" // runs next to an engine or a plain service
)

// InstanceGroup is a group of instances that differ only in their address. They
// are named NAME-1, NAME-2 and so on.
type InstanceGroup struct {
	Name          string   `toml:"name"`
	Task          Task     `toml:"task"`
	FailureDomain string   `toml:"failure_domain"`
	Addresses     []string `toml:"addresses"`   // IP numbers
	Port          int      `toml:"port"`        // port for other daemons
	CallerPort    int      `toml:"caller_port"` // port for callers, at entries
	Disk          string   `toml:"disk"`        // data folder on a dedicated disk; empty for none
	Kind          string   `toml:"kind"`        // endpoint kind
	Model         string   `toml:"model"`       // model served, at endpoints
	Service       string   `toml:"service"`     // plain service, at endpoints
	URL           string   `toml:"url"`         // URL of the engine or service as seen from the instance
}

// Default values of answers.
const (
	DefaultPort       = 7400
	DefaultCallerPort = 8080
	DefaultMaxPrompt  = fleet.MaxPromptTokens
	DefaultRoundTrip  = fleet.Duration(500 * time.Microsecond)
	DefaultEngineURL  = "http://127.0.0.1:8000"
)

// New returns answers with only the default times set.
func New() *Answers {
	return &Answers{Times: Times{
		Short:    fleet.DefaultShortDeadline,
		Long:     fleet.DefaultLongDeadline,
		Remember: fleet.DefaultOnceRetention,
	}}
}

// Load reads an answers file. It returns tomlcheck.Faults if the content is invalid.
func Load(path string) (*Answers, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return Parse(path, data)
}

// Parse parses answers from TOML data. The file name is used only in faults.
func Parse(file string, data []byte) (*Answers, error) {
	a := New()
	report := tomlcheck.Decode(file, data, a)
	a.applyDefaults()
	a.check(report)
	if err := report.Err(); err != nil {
		return nil, err
	}
	return a, nil
}

// applyDefaults sets the defaults of unset optional fields of list elements.
func (a *Answers) applyDefaults() {
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

// InstanceName returns the name of the instance at the zero-based index i.
func (g InstanceGroup) InstanceName(i int) string { return fmt.Sprintf("%s-%d", g.Name, i+1) }
