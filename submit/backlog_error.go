package submit

import "errors"

// ErrorWithBacklog is a refusal or failure together with the backlog of the endpoint
// that returned it. outcome.From unwraps the *outcome.Error.
type ErrorWithBacklog struct {
	Err     error
	Backlog Backlog
}

func (d *ErrorWithBacklog) Error() string { return d.Err.Error() }

func (d *ErrorWithBacklog) Unwrap() error { return d.Err }

// BacklogOf returns the backlog that err carries, or nil if it carries none.
func BacklogOf(err error) *Backlog {
	var d *ErrorWithBacklog
	if errors.As(err, &d) {
		return &d.Backlog
	}
	return nil
}
