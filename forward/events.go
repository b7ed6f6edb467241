package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"slices"
)

// maxEventBytes limits the size of an event.
const maxEventBytes = 128 << 10

var (
	errEventTooLong = errors.New("stream event exceeds the maximum size")
	errNoEvent      = errors.New("stream holds a line that is no field of an event")
)

// Event is a complete event of a stream, including the terminating blank line.
type Event struct {
	ID   string // empty if the event has none
	Data []byte // as received; valid until the next call of Next
}

// EventReader splits a stream into events. It never returns an incomplete event
// at the end of the stream.
type EventReader struct {
	// Hold is called before the buffer of an event grows to more than readBufferBytes, with
	// the bytes to be added. The event is not read if it returns an error. It may be nil.
	Hold func(bytes int64) error

	reader *bufio.Reader
	event  []byte
}

// NewEventReader returns an EventReader that reads from r.
func NewEventReader(r io.Reader) *EventReader {
	return &EventReader{reader: bufio.NewReaderSize(r, readBufferBytes)}
}

// Next returns the next event. It returns io.EOF if the stream ended after a
// complete event and io.ErrUnexpectedEOF if it ended within one.
func (e *EventReader) Next() (Event, error) {
	e.event = e.event[:0]
	out := Event{}
	for {
		line, err := e.readLine()
		if err != nil {
			if errors.Is(err, io.EOF) && len(e.event) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return Event{}, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			if len(e.event) == len(line) {
				// Skip blank lines between events.
				e.event = e.event[:0]
				continue
			}
			out.Data = e.event
			return out, nil
		}
		if !isField(text) {
			return Event{}, errNoEvent
		}
		if id, found := bytes.CutPrefix(text, []byte("id:")); found {
			out.ID = string(bytes.TrimSpace(id))
		}
	}
}

// isField reports whether a line is a comment or a field of an event. An endpoint that breaks
// off may write something else, such as the head of an error.
func isField(line []byte) bool {
	name, _, hasValue := bytes.Cut(line, []byte(":"))
	for _, c := range name {
		if !(c >= 'a' && c <= 'z' || c >= '0' && c <= '9' || c == '-' || c == '_') {
			return false
		}
	}
	return hasValue || slices.Contains(namesWithoutValue, string(name))
}

// namesWithoutValue are the names of fields that may have no value and no colon.
var namesWithoutValue = []string{"data", "event", "id", "retry"}

// Detach leaves the data of the last event to whoever has it. It then stays valid.
func (e *EventReader) Detach() { e.event = nil }

// readLine appends the next line to the current event and returns it.
func (e *EventReader) readLine() ([]byte, error) {
	start := len(e.event)
	for {
		chunk, err := e.reader.ReadSlice('\n')
		if n := len(e.event) + len(chunk); n > cap(e.event) {
			if growErr := e.grow(n); growErr != nil {
				return nil, growErr
			}
		}
		e.event = append(e.event, chunk...)
		switch {
		case err == nil:
			return e.event[start:], nil
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		default:
			return nil, err
		}
	}
}

// grow makes room for an event of n bytes.
func (e *EventReader) grow(n int) error {
	if n > maxEventBytes {
		return errEventTooLong
	}
	size := min(max(n, 2*cap(e.event)), maxEventBytes)
	if added := size - max(cap(e.event), readBufferBytes); e.Hold != nil && added > 0 {
		if err := e.Hold(int64(added)); err != nil {
			return err
		}
	}
	grown := make([]byte, len(e.event), size)
	copy(grown, e.event)
	e.event = grown
	return nil
}
