package processes_test

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	pb "github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1"
	"github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1/jacinthplankv1connect"

	"connectrpc.com/connect"
)

func TestUnderprovisionedModelLoadsOnSpareEndpoint(t *testing.T) {
	f := newFleet(t)
	f.startQuorum(3)
	f.startEndpoint("endpoint-1", "--models", "other")
	f.startEndpoint("endpoint-2", "--models", "other", "--checks-fencing")
	f.awaitLeader()
	f.g.Eventually(func() int {
		status, _ := f.complete(0, "Dear committee,", 1, "5s")
		return status
	}, 40*time.Second, 200*time.Millisecond).Should(Equal(http.StatusOK))
}

func TestStaleFencingNumberIsRefused(t *testing.T) {
	f := newFleet(t)
	f.startQuorum(3)
	f.startEndpoint("endpoint-1") // this engine does not check fencing numbers
	f.awaitLeader()
	client := f.client()
	first, err := client.NextFence(t.Context(), "endpoint-1")
	f.g.Expect(err).NotTo(HaveOccurred())
	second, err := client.NextFence(t.Context(), "endpoint-1")
	f.g.Expect(err).NotTo(HaveOccurred())
	f.g.Eventually(func() string { return f.order("endpoint-1", second) }, 15*time.Second, 100*time.Millisecond).Should(BeEmpty())
	f.g.Expect(f.order("endpoint-1", first)).To(Equal("stale_fencing_number"))

	f.daemons["endpoint-1"].kill()
	f.daemons["endpoint-1"].start()
	f.awaitOK("http://" + f.addresses["endpoint-1"] + "/healthz")
	f.g.Consistently(func() string { return f.order("endpoint-1", first) }, 3*time.Second, 50*time.Millisecond).
		Should(Equal("stale_fencing_number"), "the fencing number survives a restart of the endpoint process")
}

// order sends an order to load a model and returns the failure code, or "" if it
// was accepted.
func (f *processFleet) order(endpoint string, fence uint64) string {
	client := jacinthplankv1connect.NewEndpointServiceClient(http.DefaultClient, "http://"+f.addresses[endpoint])
	reply, err := client.Order(f.t.Context(), connect.NewRequest(&pb.OrderRequest{Kind: "load_model", Target: "extra", Fence: fence}))
	if err != nil {
		return err.Error()
	}
	return reply.Msg.GetFailure().GetCode()
}
