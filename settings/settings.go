// Package settings defines the local settings of one daemon, read from its TOML
// file: name, addresses, failure domain and duties. The configuration shared by
// the whole fleet is in package fleet.
package settings

import "github.com/jacinthplank/jacinthplank/fleet"

// Duty is a role that a daemon can have.
type Duty string

// Duties.
const (
	DutyEntry    Duty = "entry"
	DutyEndpoint Duty = "endpoint"
	DutyControl  Duty = "control"
)

// Daemon holds the settings of one daemon.
type Daemon struct {
	Instance Instance `toml:"instance"`
	TLS      TLS      `toml:"tls"`
	Log      Log      `toml:"log"`
	Entry    Entry    `toml:"entry"`
	Endpoint Endpoint `toml:"endpoint"`
	Control  Control  `toml:"control"`
}

// Instance holds the identity, location and addresses of the daemon.
type Instance struct {
	Name          string   `toml:"name"`
	FailureDomain string   `toml:"failure_domain"`
	Duties        []Duty   `toml:"duties"`
	Listen        string   `toml:"listen"`        // address for other daemons, IP:port
	Advertise     string   `toml:"advertise"`     // address announced to other daemons; empty for Listen
	Seeds         []string `toml:"seeds"`         // addresses of some daemons, for discovery of the others
	Configuration string   `toml:"configuration"` // file of the initial configuration
}

// TLS holds the files for mutual TLS between daemons.
type TLS struct {
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	Authority   string `toml:"authority"`
	Plain       bool   `toml:"plain"` // allows non-loopback listeners without TLS
}

// Log holds the logging settings.
type Log struct {
	Level  string `toml:"level"`  // debug, info, warn or error
	Format string `toml:"format"` // text or json
}

// Entry holds the settings of the entry duty.
type Entry struct {
	Listen        string         `toml:"listen"`         // address for callers, IP:port
	BalancerDelay fleet.Duration `toml:"balancer_delay"` // time between reporting not ready and closing the listeners
}

// Endpoint holds the settings of the endpoint duty.
type Endpoint struct {
	Kind    string         `toml:"kind"`    // one of the configuration's endpoint kinds
	Engine  string         `toml:"engine"`  // URL of the engine; empty for a plain service
	Service string         `toml:"service"` // name of the plain service; empty for an engine
	URL     string         `toml:"url"`     // URL of the plain service
	Stall   fleet.Duration `toml:"stall"`   // time without progress after which an attempt is abandoned
}

// Control holds the settings of the control duty.
type Control struct {
	DataFolder string   `toml:"data_folder"`
	Members    []Member `toml:"members"` // initial members of the quorum
}

// Member is a member of the quorum.
type Member struct {
	Name    string `toml:"name"`
	Address string `toml:"address"`
}
