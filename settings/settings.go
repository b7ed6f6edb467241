// Package settings is what one daemon reads from its own TOML file: its name,
// addresses, failure domain and duties. What the whole fleet shares is in
// package fleet.
package settings

import "github.com/jacinthplank/jacinthplank/fleet"

// Duty is one of the duties that a daemon may have.
type Duty string

// Duties.
const (
	DutyEntry    Duty = "entry"
	DutyEndpoint Duty = "endpoint"
	DutyControl  Duty = "control"
)

// Daemon is the settings of one daemon.
type Daemon struct {
	Instance Instance `toml:"instance"`
	TLS      TLS      `toml:"tls"`
	Log      Log      `toml:"log"`
	Entry    Entry    `toml:"entry"`
	Endpoint Endpoint `toml:"endpoint"`
	Control  Control  `toml:"control"`
}

// Instance is who and where this daemon is.
type Instance struct {
	Name          string   `toml:"name"`
	FailureDomain string   `toml:"failure_domain"`
	Duties        []Duty   `toml:"duties"`
	Listen        string   `toml:"listen"`        // address for the other processes, IP:port
	Advertise     string   `toml:"advertise"`     // address told to others; empty for Listen
	Seeds         []string `toml:"seeds"`         // addresses of some daemons, to learn of the rest
	Configuration string   `toml:"configuration"` // file of the configuration to start with
}

// TLS names the files of mutual TLS between processes.
type TLS struct {
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	Authority   string `toml:"authority"`
	Plain       bool   `toml:"plain"` // allows a listener without TLS off the loopback addresses
}

// Log is how the daemon logs.
type Log struct {
	Level  string `toml:"level"`  // debug, info, warn or error
	Format string `toml:"format"` // text or json
}

// Entry is the settings of the entry duty.
type Entry struct {
	Listen        string         `toml:"listen"`         // address for callers, IP:port
	BalancerDelay fleet.Duration `toml:"balancer_delay"` // time between not ready and closed listeners
}

// Endpoint is the settings of the endpoint duty.
type Endpoint struct {
	Kind    string         `toml:"kind"`    // one of the configuration's endpoint kinds
	Engine  string         `toml:"engine"`  // URL of the engine; empty for a plain service
	Service string         `toml:"service"` // name of the plain service; empty for an engine
	URL     string         `toml:"url"`     // URL of the plain service
	Stall   fleet.Duration `toml:"stall"`   // time without progress after which an attempt is given up
}

// Control is the settings of the control duty.
type Control struct {
	DataFolder string   `toml:"data_folder"`
	Members    []Member `toml:"members"` // the first members of the quorum
}

// Member is one member of the quorum.
type Member struct {
	Name    string `toml:"name"`
	Address string `toml:"address"`
}
