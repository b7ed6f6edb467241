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

// connection reaches the daemons as another process would.
func (f *fleetOfProcesses) connection() *transport.Transport {
	t, err := transport.New(settings.TLS{}, nil)
	f.g.Expect(err).NotTo(HaveOccurred())
	return t
}

// client is a client of the quorum.
func (f *fleetOfProcesses) client() *control.Client {
	t := f.connection()
	return control.NewClient(control.ClientOptions{
		Members: func() []string { return f.seeds },
		HTTP:    t.Client(),
		URL:     t.URL,
	})
}

// status asks a daemon for what it is and has in force; nil without an answer.
func (f *fleetOfProcesses) status(name string) *pb.StatusResponse {
	client := jacinthplankv1connect.NewPeerServiceClient(http.DefaultClient, "http://"+f.address[name])
	ctx, cancel := context.WithTimeout(f.t.Context(), time.Second)
	defer cancel()
	reply, err := client.Status(ctx, connect.NewRequest(&pb.StatusRequest{}))
	if err != nil {
		return nil
	}
	return reply.Msg
}

// awaitEndpoint waits until a daemon knows an endpoint.
func (f *fleetOfProcesses) awaitEndpoint(daemon, endpoint string) {
	f.t.Helper()
	f.g.Eventually(func() bool {
		return slices.ContainsFunc(f.status(daemon).GetEndpoints(), func(e *pb.EndpointStatus) bool {
			return e.GetName() == endpoint
		})
	}, 10*time.Second, 20*time.Millisecond).Should(BeTrue(), "%s knows %s", daemon, endpoint)
}

func (f *fleetOfProcesses) version(daemon string) fleet.Version {
	v := f.status(daemon).GetVersion()
	return fleet.Version{Epoch: v.GetEpoch(), Revision: v.GetRevision()}
}

// configuration is what the fleet starts with, with another answer limit.
func (f *fleetOfProcesses) configuration(maxAnswer int) *fleet.Configuration {
	c, err := fleet.Load(f.config)
	f.g.Expect(err).NotTo(HaveOccurred())
	c.Limits.MaxAnswer = maxAnswer
	return c
}

// replaceMember makes the instance with a new disk a member in place of the one
// with the old disk.
func (f *fleetOfProcesses) replaceMember(name string) {
	f.t.Helper()
	client := f.client()
	f.g.Eventually(func() error {
		return client.ChangeMember(f.t.Context(), &pb.ChangeMemberRequest{
			Kind:     pb.ChangeMemberRequest_KIND_REPLACE,
			Name:     name,
			Address:  f.address[name],
			Replaces: name,
		})
	}, 30*time.Second, 200*time.Millisecond).Should(Succeed())
}
