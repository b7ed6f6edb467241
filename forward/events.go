package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// maxEventBytes bounds one event.
const maxEventBytes = 1 << 20

var errLongEvent = errors.New("an event of the stream is too long")

// Event is one whole event of a stream, with the blank line that ends it.
type Event struct {
	ID   string // empty when the event has none
	Data []byte // as received; valid until the next call
}

// EventReader splits a stream into whole events. What follows the last whole
// event is never handed out.
type EventReader struct {
	reader *bufio.Reader
	event  []byte
}

// NewEventReader reads events from r.
func NewEventReader(r io.Reader) *EventReader {
	return &EventReader{reader: bufio.NewReaderSize(r, readBufferBytes)}
}

// Next returns the next event. io.EOF means that the stream ended after a whole
// event; io.ErrUnexpectedEOF that it broke off within one.
func (e *EventReader) Next() (Event, error) {
	e.event = e.event[:0]
	out := Event{}
	for {
		line, err := e.line()
		if err != nil {
			if errors.Is(err, io.EOF) && len(e.event) > 0 {
				err = io.ErrUnexpectedEOF
			}
			return Event{}, err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 {
			if len(e.event) == len(line) {
				// A blank line alone: nothing but filling between events.
				e.event = e.event[:0]
				continue
			}
			out.Data = e.event
			return out, nil
		}
		if id, found := bytes.CutPrefix(text, []byte("id:")); found {
			out.ID = string(bytes.TrimSpace(id))
		}
	}
}

// line appends the next line to the event and returns it.
func (e *EventReader) line() ([]byte, error) {
	from := len(e.event)
	for {
		piece, err := e.reader.ReadSlice('\n')
		e.event = append(e.event, piece...)
		if len(e.event) > maxEventBytes {
			return nil, errLongEvent
		}
		switch {
		case err == nil:
			return e.event[from:], nil
		case errors.Is(err, bufio.ErrBufferFull):
			continue
		default:
			return nil, err
		}
	}
}
