package wire_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/engine"
	pb "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
	"github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1/jacinthplankv1connect"
	"github.com/jacinthplank/jacinthplank/submit"
	"github.com/jacinthplank/jacinthplank/wire"
)

// reservations is an endpoint that records what is reserved.
type reservations struct {
	submit.Endpoint
	tokens map[engine.Key]int
}

func (r *reservations) Reserve(_ context.Context, k engine.Key, tokens int, _ time.Duration) error {
	r.tokens[k] = tokens
	return nil
}

func (r *reservations) Release(_ context.Context, k engine.Key) error {
	delete(r.tokens, k)
	return nil
}

func TestReserveWithReleaseFlagReleases(t *testing.T) {
	g := NewWithT(t)
	endpoint := &reservations{tokens: map[engine.Key]int{}}
	mux := http.NewServeMux()
	mux.Handle((&wire.Server{Name: "e", Endpoint: endpoint}).Handler())
	server := httptest.NewServer(mux)
	defer server.Close()
	client := jacinthplankv1connect.NewEndpointServiceClient(server.Client(), server.URL)
	reserve := func(release bool) {
		response, err := client.Reserve(t.Context(), connect.NewRequest(&pb.ReserveRequest{
			Id: "r", Attempt: 1, Tokens: 1000, RemainingUs: time.Minute.Microseconds(), Release: release,
		}))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(response.Msg.GetFailure()).To(BeNil())
	}
	reserve(false)
	g.Expect(endpoint.tokens).To(Equal(map[engine.Key]int{{Request: "r", Attempt: 1}: 1000}))
	reserve(true)
	g.Expect(endpoint.tokens).To(BeEmpty())
	reserve(true)
	g.Expect(endpoint.tokens).To(BeEmpty(), "a release that comes twice")
}
