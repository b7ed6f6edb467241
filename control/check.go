package control

import (
	"bytes"
	"encoding/json"

	"github.com/gravitational/trace"

	"github.com/jacinthplank/jacinthplank/coord/revision"
	"github.com/jacinthplank/jacinthplank/coord/state"
	"github.com/jacinthplank/jacinthplank/fleet"
)

// checkCommand rejects a command with an invalid configuration, whoever sends
// it, because every daemon applies what is in the log.
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
		return trace.BadParameter("invalid configuration: %v", err)
	}
	if err := c.Validate(); err != nil {
		return trace.BadParameter("invalid configuration: %v", err)
	}
	return nil
}
