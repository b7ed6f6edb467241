package fleet

import (
	"os"

	"github.com/gravitational/trace"

	"github.com/jacinthplank/jacinthplank/tomlcheck"
)

// Faults lists all errors in a configuration. It is the error type returned by
// Parse, Load and Validate.
type Faults = tomlcheck.Faults

// Load reads a configuration from a TOML file. It returns Faults if the
// configuration is invalid, and an error of another type if the file cannot be
// read.
func Load(path string) (*Configuration, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return Parse(path, data)
}

// Parse parses a configuration from TOML data. The file name is used only in
// error messages. Missing limits are set to their defaults.
func Parse(file string, data []byte) (*Configuration, error) {
	c := &Configuration{Limits: DefaultLimits()}
	report := tomlcheck.Decode(file, data, c)
	c.check(report)
	if err := report.Err(); err != nil {
		return nil, err
	}
	return c, nil
}

// Validate returns all errors in the configuration as Faults, or nil.
func (c *Configuration) Validate() error {
	report := tomlcheck.NewReport()
	c.check(report)
	return report.Err()
}
