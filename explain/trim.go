package explain

import (
	"time"

	"github.com/jacinthplank/jacinthplank/timeline"
)

// before is how much earlier than its first event a request may have been met by
// a daemon whose clock is behind.
const before = time.Second

// Trim leaves out the gaps that end before the request came: they hold none of
// its events.
func Trim(line timeline.Line, request string) timeline.Line {
	s := read(line, request)
	if s.received == nil {
		return line
	}
	came := timeOf(s.received).Add(-before)
	var gaps []timeline.Gap
	for _, g := range line.Gaps {
		if g.Since.After(came) {
			gaps = append(gaps, g)
		}
	}
	line.Gaps = gaps
	return line
}
