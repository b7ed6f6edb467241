package settings

import (
	"os"

	"github.com/gravitational/trace"

	"github.com/jacinthplank/jacinthplank/tomlcheck"
)

// Faults is every fault of a settings file. It is the error of Load and Parse.
type Faults = tomlcheck.Faults

// Load reads the settings of one daemon from a TOML file. A file with faults
// gives Faults; one that cannot be read gives another error.
func Load(path string) (*Daemon, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return Parse(path, data)
}

// Parse reads settings from TOML data. The file name is used in faults only.
func Parse(file string, data []byte) (*Daemon, error) {
	d := Defaults()
	report := tomlcheck.Decode(file, data, d)
	d.check(report)
	if err := report.Err(); err != nil {
		return nil, err
	}
	return d, nil
}

// Validate returns every fault of the settings as Faults, or nil.
func (d *Daemon) Validate() error {
	report := tomlcheck.NewReport()
	d.check(report)
	return report.Err()
}
