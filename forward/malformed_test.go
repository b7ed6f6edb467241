package forward

import (
	"context"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/internal/responsetest"
)

// Guards against bytes that are no response and are passed on as one.
func TestMalformedResponseFails(t *testing.T) {
	for name, answer := range responsetest.Malformed("X-Id: a\r\n") {
		t.Run(name, func(t *testing.T) {
			c := NewClient(testDialect{})
			body, err := send(t, c, Target{ID: "e", Address: responsetest.Serve(t, answer)}, "a", false)
			NewWithT(t).Expect(err).To(HaveOccurred(), "body %q", body)
		})
	}
}

// Guards against the start of a response that is taken for the whole: the endpoint resets the
// connection while it still reads the request. The kernel reports the reset to the write, and
// an end to the read.
func TestResponseResetWhileRequestIsSentFails(t *testing.T) {
	g := NewWithT(t)
	address := responsetest.ServeReset(t, "HTTP/1.1 200 OK\r\nX-Id: a\r\n", "part")
	c, whole := NewClient(testDialect{}), 0
	for range 600 {
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		reply, err := c.Send(ctx, Target{ID: "e", Address: address}, &Call{
			RequestID: "a", Method: "POST", URI: "/x", Host: "h", Header: http.Header{}, Body: make([]byte, 2<<20),
		})
		if err == nil {
			if _, err = reply.ReadAll(maxTestBody); err == nil {
				whole++
			}
			reply.Close()
		}
		cancel()
	}
	g.Expect(whole).To(BeZero(), "of 600 responses passed as whole")
}
