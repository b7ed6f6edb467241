package explain

import "github.com/jacinthplank/jacinthplank/outcome"

var meanings = map[outcome.Code]string{
	outcome.CodeInvalidRequest:     "the request was malformed",
	outcome.CodeInvalidKey:         "the API key belongs to no client account",
	outcome.CodeModelNotFound:      "the model is not in the configuration, or not available to the client account",
	outcome.CodeBodyTooLarge:       "the body exceeded the configured limit",
	outcome.CodePromptTooLong:      "the prompt is longer than the model accepts",
	outcome.CodeDeadlineInfeasible: "the work could not be completed in the time left before the deadline",
	outcome.CodeDeadlinePassed:     "the deadline had passed",
	outcome.CodeOverloaded:         "there was more work than the endpoints could take on",
	outcome.CodeAccountLimit:       "the client account had exceeded its limit",
	outcome.CodeNoEndpoint:         "no endpoint could accept it",
	outcome.CodeEndpointLeaving:    "the endpoint was leaving and accepted no new work",
	outcome.CodeNoQuorum:           "the control quorum could not be reached",
	outcome.CodeConflict:           "it conflicted with the existing state",
	outcome.CodeStillRunning:       "the same call was still running",
	outcome.CodeOutcomeUnknown:     "it may have run, so it is not retried",
	outcome.CodeStaleFence:         "the order carried a stale fencing number",
	outcome.CodeEngineFailed:       "the engine failed",
	outcome.CodeEngineStalled:      "the engine made no progress",
	outcome.CodeTransport:          "the connection between two daemons broke",
	outcome.CodeCanceled:           "the caller canceled it",
	outcome.CodeTruncated:          "the answer ended before it was complete",
	outcome.CodeShuttingDown:       "the daemon was shutting down",
	outcome.CodeUnsupported:        "the endpoint cannot do what was asked",
	outcome.CodeInternal:           "an internal error occurred",
	outcome.CodeNotFound:           "the requested object does not exist",
	outcome.CodeMemoryReserved:     "the memory was reserved for other requests",
	outcome.CodeGroupUnavailable:   "no group of endpoints could hold the whole prompt",
	outcome.CodeEndsEndpoints:      "endpoints ended under requests like it, so it was not sent",
	outcome.CodeDomainEvacuated:    "all endpoints of its service were in evacuated failure domains",
	outcome.CodeNoHome:             "no endpoint in its home regions accepted requests",
	outcome.CodePermitExpired:      "it was not sent within the time for which its endpoint's rate limit allowed it",
	outcome.CodeUnknownDomain:      "no part of the deployment is in the failure domain",
}

// Meaning returns a plain-language clause that describes the outcome code. An
// unknown code is returned unchanged.
func Meaning(code string) string {
	if m, ok := meanings[outcome.Code(code)]; ok {
		return m
	}
	if code == "" {
		return "no reason was recorded"
	}
	return code
}
