package processes_test

import (
	"context"
	"net/http"
	"slices"
	"time"

	"connectrpc.com/connect"
	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/control"
	"github.com/jacinthplank/jacinthplank/fleet"
	pb "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
	"github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1/jacinthplankv1connect"
	"github.com/jacinthplank/jacinthplank/settings"
	"github.com/jacinthplank/jacinthplank/transport"
)

// connection returns a transport that reaches the daemons like a separate process.
func (f *processFleet) connection() *transport.Transport {
	t, err := transport.New(settings.TLS{}, nil)
	f.g.Expect(err).NotTo(HaveOccurred())
	return t
}

// client returns a client of the quorum.
func (f *processFleet) client() *control.Client {
	t := f.connection()
	return control.NewClient(control.ClientOptions{
		Members: func() []string { return f.seeds },
		HTTP:    t.Client(),
		URL:     t.URL,
	})
}

// status returns the status of a daemon, or nil if it does not respond.
func (f *processFleet) status(name string) *pb.StatusResponse {
	client := jacinthplankv1connect.NewPeerServiceClient(http.DefaultClient, "http://"+f.addresses[name])
	ctx, cancel := context.WithTimeout(f.t.Context(), time.Second)
	defer cancel()
	reply, err := client.Status(ctx, connect.NewRequest(&pb.StatusRequest{}))
	if err != nil {
		return nil
	}
	return reply.Msg
}

// awaitEndpoint waits until a daemon has discovered an endpoint.
func (f *processFleet) awaitEndpoint(daemon, endpoint string) {
	f.t.Helper()
	f.g.Eventually(func() bool {
		return slices.ContainsFunc(f.status(daemon).GetEndpoints(), func(e *pb.EndpointStatus) bool {
			return e.GetName() == endpoint
		})
	}, 10*time.Second, 20*time.Millisecond).Should(BeTrue(), "%s has discovered %s", daemon, endpoint)
}

func (f *processFleet) version(daemon string) fleet.Version {
	v := f.status(daemon).GetVersion()
	return fleet.Version{Epoch: v.GetEpoch(), Revision: v.GetRevision()}
}

// configuration returns the initial configuration with another limit on the
// output tokens.
func (f *processFleet) configuration(maxAnswer int) *fleet.Configuration {
	c, err := fleet.Load(f.configPath)
	f.g.Expect(err).NotTo(HaveOccurred())
	c.Limits.MaxAnswer = maxAnswer
	return c
}

// replaceMember replaces the quorum member that lost its disk by the instance of
// the same name with a new disk.
func (f *processFleet) replaceMember(name string) {
	f.t.Helper()
	client := f.client()
	f.g.Eventually(func() error {
		return client.ChangeMember(f.t.Context(), &pb.ChangeMemberRequest{
			Kind:     pb.ChangeMemberRequest_KIND_REPLACE,
			Name:     name,
			Address:  f.addresses[name],
			Replaces: name,
		})
	}, 30*time.Second, 200*time.Millisecond).Should(Succeed())
}
