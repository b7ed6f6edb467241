package forward

import (
	"bufio"
	"bytes"
	"errors"
	"io"
)

// maxEventBytes limits the size of an event.
const maxEventBytes = 128 << 10

var errEventTooLong = errors.New("stream event exceeds the maximum size")

// Event is a complete event of a stream, including the terminating blank line.
type Event struct {
	ID   string // empty if the event has none
	Data []byte // as received; valid until the next call of Next
}

// EventReader splits a stream into events. It never returns an incomplete event
// at the end of the stream.
type EventReader struct {
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
		if id, found := bytes.CutPrefix(text, []byte("id:")); found {
			out.ID = string(bytes.TrimSpace(id))
		}
	}
}

// readLine appends the next line to the current event and returns it.
func (e *EventReader) readLine() ([]byte, error) {
	start := len(e.event)
	for {
		chunk, err := e.reader.ReadSlice('\n')
		e.event = append(e.event, chunk...)
		if len(e.event) > maxEventBytes {
			return nil, errEventTooLong
		}
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
