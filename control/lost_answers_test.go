package control_test

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/control"
	"github.com/jacinthplank/jacinthplank/coord/once"
	pb "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
	"github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1/jacinthplankv1connect"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/settings"
	"github.com/jacinthplank/jacinthplank/transport"
	"github.com/jacinthplank/jacinthplank/wire"
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

// fixedMember answers every command with the same failure.
type fixedMember struct {
	jacinthplankv1connect.UnimplementedControlServiceHandler
	answer *pb.ProposeResponse
}

func (m fixedMember) Propose(context.Context, *connect.Request[pb.ProposeRequest]) (*connect.Response[pb.ProposeResponse], error) {
	return connect.NewResponse(m.answer), nil
}

// A claim that a member may have applied must not be reported as not run, whatever the members
// asked after it answer, and also if the first one names the next: its caller would claim again.
func TestUnknownOutcomeOutlastsAnswersOfOtherMembers(t *testing.T) {
	for _, code := range []outcome.Code{outcome.CodeNoQuorum, outcome.CodeOverloaded} {
		for _, namesLeader := range []bool{false, true} {
			g := NewWithT(t)
			network, err := transport.New(settings.TLS{}, nil)
			g.Expect(err).NotTo(HaveOccurred())
			serve := func(answer *pb.ProposeResponse) (address string) {
				listener, err := network.Listen("127.0.0.1:0")
				g.Expect(err).NotTo(HaveOccurred())
				mux := http.NewServeMux()
				mux.Handle(jacinthplankv1connect.NewControlServiceHandler(fixedMember{answer: answer}))
				server := network.Server(mux)
				var serving sync.WaitGroup
				serving.Go(func() { g.Expect(server.Serve(listener)).To(MatchError(http.ErrServerClosed)) })
				t.Cleanup(func() {
					g.Expect(server.Close()).To(Succeed())
					serving.Wait()
				})
				return listener.Addr().String()
			}
			refusal := outcome.Fail(code, outcome.NotRun, "control.propose", nil)
			refusing := serve(&pb.ProposeResponse{Failure: wire.FailureToProto(refusal)})
			unknown := &pb.ProposeResponse{Failure: wire.FailureToProto(outcome.Fail(outcome.CodeOutcomeUnknown, outcome.Unknown, "control.propose", nil))}
			if namesLeader {
				unknown.LeaderAddress = refusing
			}
			members := []string{serve(unknown), refusing}
			client := control.NewClient(control.ClientOptions{Members: func() []string { return members }, HTTP: network.Client(), URL: network.URL})
			_, err = client.Claim(t.Context(), once.Claim{Key: once.Key{Key: "k"}, Request: "r", Body: "b"})
			g.Expect(outcome.StateOf(err)).To(Equal(outcome.Unknown), "then %s, names the leader: %v", code, namesLeader)
		}
	}
}
