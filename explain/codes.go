package explain

import "github.com/jacinthplank/jacinthplank/outcome"

var meanings = map[outcome.Code]string{
	outcome.CodeInvalidRequest:   "the request was not well formed",
	outcome.CodeInvalidKey:       "the API key belongs to no client account",
	outcome.CodeModelNotFound:    "the model is not in the configuration, or not open to the client account",
	outcome.CodeBodyTooLarge:     "the body was over the limit of the configuration",
	outcome.CodePromptTooLong:    "the prompt is longer than the model takes",
	outcome.CodeDeadline:         "the work could not be done within the time left",
	outcome.CodeDeadlinePassed:   "the time was over",
	outcome.CodeOverloaded:       "there was more work than the endpoints could take on",
	outcome.CodeAccountLimit:     "the client account had used up its share",
	outcome.CodeNoEndpoint:       "no endpoint could take it",
	outcome.CodeLeaving:          "the endpoint was leaving and took no new work",
	outcome.CodeNoQuorum:         "the control quorum could not be reached",
	outcome.CodeConflict:         "it clashed with what was there already",
	outcome.CodeStillRunning:     "the same call was still running",
	outcome.CodeOutcomeUnknown:   "it may have run, so it is not run again",
	outcome.CodeStaleFence:       "the order carried an old fencing number",
	outcome.CodeEngineFailed:     "the engine failed",
	outcome.CodeEngineStalled:    "the engine made no progress",
	outcome.CodeTransport:        "the connection between two daemons broke",
	outcome.CodeCanceled:         "the caller gave it up",
	outcome.CodeTruncated:        "the answer broke off before its end",
	outcome.CodeShuttingDown:     "the daemon was shutting down",
	outcome.CodeUnsupported:      "the endpoint cannot do what was asked",
	outcome.CodeInternal:         "there was a fault in the system itself",
	outcome.CodeNotFound:         "there is no such thing",
	outcome.CodeMemoryReserved:   "the memory was promised to other requests",
	outcome.CodeGroupUnavailable: "no group of endpoints could hold the whole prompt",
}

// Meaning returns what a code says in plain words, as half a sentence. A code
// that it does not know is returned as it is.
func Meaning(code string) string {
	if m, ok := meanings[outcome.Code(code)]; ok {
		return m
	}
	if code == "" {
		return "no reason is on record"
	}
	return code
}
