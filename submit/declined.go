package submit

import "errors"

// ErrorWithBacklog is a refusal or failure together with the backlog of the endpoint
// that it came from. outcome.From finds the *outcome.Error inside.
type ErrorWithBacklog struct {
	Err     error
	Backlog Backlog
}

// Error implements error.
func (d *ErrorWithBacklog) Error() string { return d.Err.Error() }

// Unwrap returns the failure itself.
func (d *ErrorWithBacklog) Unwrap() error { return d.Err }

// BacklogOf returns the backlog that err carries, nil when it carries none.
func BacklogOf(err error) *Backlog {
	var d *ErrorWithBacklog
	if errors.As(err, &d) {
		return &d.Backlog
	}
	return nil
}
