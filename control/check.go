package control

import (
	"bytes"
	"encoding/json"

	"github.com/gravitational/trace"

	"github.com/jacinthplank/jacinthplank/coord/revision"
	"github.com/jacinthplank/jacinthplank/coord/state"
	"github.com/jacinthplank/jacinthplank/fleet"
)

// checkCommand refuses a configuration that no daemon could work with, whoever
// sends it: what is in the log is put in force everywhere.
func checkCommand(c state.Command) error {
	if c.Accept == nil {
		return nil
	}
	return checkConfiguration(c.Accept)
}

func checkConfiguration(change *revision.Change) error {
	decoder := json.NewDecoder(bytes.NewReader(change.Document))
	decoder.DisallowUnknownFields()
	var c fleet.Configuration
	if err := decoder.Decode(&c); err != nil {
		return trace.BadParameter("the configuration is not valid: %v", err)
	}
	if err := c.Validate(); err != nil {
		return trace.BadParameter("the configuration is not valid: %v", err)
	}
	return nil
}
