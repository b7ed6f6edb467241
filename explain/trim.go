package explain

import (
	"time"

	"github.com/jacinthplank/jacinthplank/timeline"
)

// maxClockSkew is how far the clock of another daemon may lag behind the entry's,
// so that its first event of a request is stamped before the arrival.
const maxClockSkew = time.Second

// Trim removes the gaps that end before the arrival of the request: they contain
// none of its events.
func Trim(line timeline.Timeline, request string) timeline.Timeline {
	s := collect(line, request)
	if s.received == nil {
		return line
	}
	arrival := timeOf(s.received).Add(-maxClockSkew)
	var gaps []timeline.Gap
	for _, g := range line.Gaps {
		if g.Since.After(arrival) {
			gaps = append(gaps, g)
		}
	}
	line.Gaps = gaps
	return line
}
