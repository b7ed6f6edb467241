package plainservice

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/internal/responsetest"
	"github.com/jacinthplank/jacinthplank/submit"
)

// maxUnusedBytes is what may be read of an answer that can't be used.
const maxUnusedBytes = maxReplyBytes + 8<<20

func callOnce(t *testing.T, address string, body []byte) (submit.Reply, error) {
	t.Helper()
	return New("s", "http://"+address).Call(t.Context(), submit.Call{
		ID: "1", Account: "a", Key: "k", Method: "POST", Path: "/x", Body: body, Once: true, Remaining: 5 * time.Second,
	})
}

// Guards against bytes that are no response and are returned as the service's reply.
func TestMalformedReplyFails(t *testing.T) {
	for name, answer := range responsetest.Malformed("") {
		t.Run(name, func(t *testing.T) {
			reply, err := callOnce(t, responsetest.Serve(t, answer), nil)
			NewWithT(t).Expect(err).To(HaveOccurred(), "body %q", reply.Body)
		})
	}
}

// Guards against a part of a reply that is taken for the whole, as the service resets the
// connection while the call is still being sent.
func TestReplyResetWhileCallIsSentFails(t *testing.T) {
	g := NewWithT(t)
	address, whole := responsetest.ServeReset(t, "HTTP/1.1 200 OK\r\n", "part"), 0
	for range 300 {
		if _, err := callOnce(t, address, make([]byte, 2<<20)); err == nil {
			whole++
		}
	}
	g.Expect(whole).To(BeZero(), "of 300 replies passed as whole")
}

// Guards against a service that sends bytes without end: they were read until the deadline.
func TestReplyWithoutEndIsAbandoned(t *testing.T) {
	for name, answer := range responsetest.Endless("") {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			address, sent := responsetest.ServeEndless(t, answer[0], answer[1])
			started := time.Now()
			_, err := callOnce(t, address, nil)
			g.Expect(err).To(HaveOccurred())
			g.Expect(time.Since(started)).To(BeNumerically("<", 4*time.Second), "before the deadline")
			g.Expect(sent.Load()).To(BeNumerically("<", maxUnusedBytes))
		})
	}
}
