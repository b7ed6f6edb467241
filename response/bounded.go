package response

import (
	"bytes"
	"fmt"
	"io"
	"mime"
	"net/http"
)

// eventStream is the media type of a series of events, each of which ends with an empty line.
const eventStream = "text/event-stream"

// Bounded is a transport that ends bodies which are too long, of any status, so that no reader
// keeps what a peer sends without end.
type Bounded struct {
	http.RoundTripper

	// MaxBytes are the bytes of a body, or of one event of an event stream.
	MaxBytes int64
}

// RoundTrip implements http.RoundTripper.
func (t Bounded) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.RoundTripper.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	mediaType, _, _ := mime.ParseMediaType(response.Header.Get("Content-Type")) // another one is bounded as a whole
	isStream := mediaType == eventStream && response.StatusCode == http.StatusOK
	response.Body = &boundedBody{ReadCloser: response.Body, max: t.MaxBytes, left: t.MaxBytes + 1, isStream: isStream}
	return response, nil
}

// CloseIdleConnections closes those of the underlying transport, as http.Client expects it.
func (t Bounded) CloseIdleConnections() {
	if c, ok := t.RoundTripper.(interface{ CloseIdleConnections() }); ok {
		c.CloseIdleConnections()
	}
}

// boundedBody is a body that fails after a number of bytes. In a stream of events the count
// begins anew after each empty line.
type boundedBody struct {
	io.ReadCloser
	max, left int64 // left is 0 once one byte too many was read
	isStream  bool
	lineBytes int // of the current line, without its end
}

// Read implements io.Reader.
func (b *boundedBody) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, fmt.Errorf("response exceeds %d bytes", b.max)
	}
	n, err := b.ReadCloser.Read(p[:min(int64(len(p)), b.left)])
	b.left -= int64(n)
	if b.isStream {
		b.countLines(p[:n])
	}
	return n, err
}

func (b *boundedBody) countLines(p []byte) {
	for {
		line, rest, hasEnd := bytes.Cut(p, []byte("\n"))
		b.lineBytes += len(bytes.TrimSuffix(line, []byte("\r")))
		if !hasEnd {
			return
		}
		if b.lineBytes == 0 {
			b.left = b.max + 1 - int64(len(rest))
		}
		b.lineBytes, p = 0, rest
	}
}
