package fleet

import (
	"os"

	"github.com/gravitational/trace"

	"github.com/jacinthplank/jacinthplank/tomlcheck"
)

// Faults is every fault of a configuration. It is the error of Parse, Load and
// Validate.
type Faults = tomlcheck.Faults

// Load reads a configuration from a TOML file. A file with faults gives Faults;
// one that cannot be read gives another error.
func Load(path string) (*Configuration, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return Parse(path, data)
}

// Parse reads a configuration from TOML data. The file name is used in faults
// only. Limits that the data leave out have their defaults.
func Parse(file string, data []byte) (*Configuration, error) {
	c := &Configuration{Limits: DefaultLimits()}
	report := tomlcheck.Decode(file, data, c)
	c.check(report)
	if err := report.Err(); err != nil {
		return nil, err
	}
	return c, nil
}

// Validate returns every fault of the configuration as Faults, or nil.
func (c *Configuration) Validate() error {
	report := tomlcheck.NewReport()
	c.check(report)
	return report.Err()
}
