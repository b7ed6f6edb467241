package control

import (
	"encoding/json"

	"github.com/jacinthplank/jacinthplank/coord/state"
)

// errorResult returns the encoded result of a command rejected before it reaches
// the log.
func errorResult(err error) []byte {
	text, marshalErr := json.Marshal(state.Result{Error: err.Error()})
	if marshalErr != nil {
		return []byte(`{"error":"invalid command"}`)
	}
	return text
}
