package settings

import (
	"time"

	"github.com/jacinthplank/jacinthplank/fleet"
)

// Default values of a daemon's settings.
const (
	DefaultLogLevel      = "info"
	DefaultLogFormat     = "text"
	DefaultBalancerDelay = fleet.Duration(5 * time.Second)
	DefaultStall         = fleet.Duration(30 * time.Second)
)

// Defaults returns settings with only the default values set.
func Defaults() *Daemon {
	return &Daemon{
		Log:      Log{Level: DefaultLogLevel, Format: DefaultLogFormat},
		Entry:    Entry{BalancerDelay: DefaultBalancerDelay},
		Endpoint: Endpoint{Stall: DefaultStall},
	}
}

// Has reports whether the daemon has the duty.
func (d *Daemon) Has(duty Duty) bool {
	for _, mine := range d.Instance.Duties {
		if mine == duty {
			return true
		}
	}
	return false
}

// Secure reports whether all files for mutual TLS are set.
func (t TLS) Secure() bool { return t.Certificate != "" && t.Key != "" && t.Authority != "" }
