package spill

import "time"

// Limits from which a wait looks like a retransmission.
const (
	// retransmission is the smallest retransmission timeout of common TCP stacks, 200 ms,
	// less the granularity of their timers.
	retransmission = 190 * time.Millisecond
	// firstTolerance is the part of the predicted time to the first event by which the
	// prediction may be exceeded in addition.
	firstTolerance = 0.25
	// gapWeight is the weight of the latest wait in the usual wait between two events.
	gapWeight = 0.2
)

// Stream recognizes the events of one stream that are delayed as by a retransmission. The
// zero value is ready for a stream that has not begun.
type Stream struct {
	usual time.Duration // mean wait between two events: the pass time of the engine
}

// Begin returns the sample for the first event, or the response head, that was expected
// within a time of the request and took another.
func (s *Stream) Begin(took, expected time.Duration) Sample {
	limit := max(expected, 0) + time.Duration(firstTolerance*float64(max(expected, 0))) + retransmission
	return Sample{Streams: 1, Events: 1, Late: count(took >= limit)}
}

// Next returns the sample for a later event, for which the entry waited. A wait that the
// pass time of the engine explains is no delay.
func (s *Stream) Next(waited time.Duration) Sample {
	isLate := waited >= max(retransmission, s.usual+retransmission*3/4)
	if !isLate {
		if s.usual == 0 {
			s.usual = waited
		}
		s.usual += time.Duration(gapWeight * float64(waited-s.usual))
	}
	return Sample{Events: 1, Late: count(isLate)}
}

func count(b bool) int {
	if b {
		return 1
	}
	return 0
}
