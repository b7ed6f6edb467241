package settings

import (
	"os"

	"github.com/gravitational/trace"

	"github.com/jacinthplank/jacinthplank/tomlcheck"
)

// Faults lists all faults of a settings file. Load and Parse return it as error.
type Faults = tomlcheck.Faults

// Load reads the settings of one daemon from a TOML file. It returns Faults if the
// content is invalid, and another error if the file cannot be read.
func Load(path string) (*Daemon, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return Parse(path, data)
}

// Parse parses settings from TOML data. The file name is used only in faults.
func Parse(file string, data []byte) (*Daemon, error) {
	d := Defaults()
	report := tomlcheck.Decode(file, data, d)
	d.check(report)
	if err := report.Err(); err != nil {
		return nil, err
	}
	return d, nil
}

// Validate returns all faults of the settings as Faults, or nil.
func (d *Daemon) Validate() error {
	report := tomlcheck.NewReport()
	d.check(report)
	return report.Err()
}
