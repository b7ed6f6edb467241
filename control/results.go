package control

import (
	"encoding/json"

	"github.com/jacinthplank/jacinthplank/coord/state"
)

// errorResult is the result of a command that cannot go into the log.
func errorResult(err error) []byte {
	text, failed := json.Marshal(state.Result{Error: err.Error()})
	if failed != nil {
		return []byte(`{"error":"invalid command"}`)
	}
	return text
}
