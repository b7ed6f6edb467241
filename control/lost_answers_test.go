package control_test

import (
	"errors"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/control"
	"github.com/jacinthplank/jacinthplank/coord/once"
)

var errAnswerLost = errors.New("the answer is lost")

// clientThatLosesAnswer returns a client that loses the first answer to a command which a member
// accepted, after it called before.
func (c *cluster) clientThatLosesAnswer(leader string, before func()) *control.Client {
	var lost atomic.Bool
	return control.NewClient(control.ClientOptions{
		Members: c.addresses,
		HTTP: &http.Client{Transport: roundTripper(func(r *http.Request) (*http.Response, error) {
			response, err := c.network.Client().Transport.RoundTrip(r)
			if err != nil || r.URL.Host != leader || !strings.HasSuffix(r.URL.Path, "/Propose") || !lost.CompareAndSwap(false, true) {
				return response, err
			}
			before()
			return nil, errors.Join(errAnswerLost, response.Body.Close())
		})},
		URL: c.network.URL,
	})
}

// A client resends an outcome whose answer it lost. If another claim of the key was granted
// meanwhile, a release must still be answered as recorded, and must not end that claim.
func TestResentReleaseIsAnsweredAsRecorded(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t, 3)
	leader := c.leader()
	key := once.Key{Account: "a", Service: "s", Key: "k"}
	claim := func(request string) once.Answer {
		a, err := c.client().Claim(t.Context(), once.Claim{Key: key, Request: request, Body: "b", Remaining: time.Minute})
		g.Expect(err).NotTo(HaveOccurred())
		return a
	}
	first := claim("first")
	g.Expect(first.Verdict).To(Equal(once.Granted))

	var second once.Answer
	client := c.clientThatLosesAnswer(leader.Address, func() { second = claim("second") })
	a, err := client.Record(t.Context(), once.Outcome{Key: key, Request: "first", Fence: first.Fence, State: once.Released})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(second.Verdict).To(Equal(once.Granted))
	g.Expect(a.Verdict).To(Equal(once.WasRecorded))
	g.Expect(claim("third").Verdict).To(Equal(once.IsRunning), "the second claim is still held")
	g.Expect(claim("first").Verdict).To(Equal(once.IsReleased), "a late copy of the first claim")
}
