package daemon

import (
	"log/slog"
	"net/http"
	"sync"
	"time"

	"connectrpc.com/connect"

	"github.com/jacinthplank/jacinthplank/drain"
	"github.com/jacinthplank/jacinthplank/gen/jacinthplank/v1/jacinthplankv1connect"
	"github.com/jacinthplank/jacinthplank/settings"
	"github.com/jacinthplank/jacinthplank/timeline"
	"github.com/jacinthplank/jacinthplank/transport"
	"github.com/jacinthplank/jacinthplank/wire"
)

// Timeouts of callers' connections.
const (
	callerHeaderTimeout = 10 * time.Second
	callerIdleTimeout   = 2 * time.Minute
)

// network caches the clients for other processes.
type network struct {
	*transport.Transport
	clockOption connect.ClientOption // propagates the timeline's clock

	mu    sync.Mutex
	peers map[string]jacinthplankv1connect.PeerServiceClient
}

func newNetwork(t settings.TLS, events *timeline.Log, log *slog.Logger) (*network, error) {
	base, err := transport.New(t, log)
	if err != nil {
		return nil, err
	}
	return &network{
		Transport:   base,
		clockOption: connect.WithInterceptors(events.Interceptor()),
		peers:       map[string]jacinthplankv1connect.PeerServiceClient{},
	}, nil
}

// peer returns the client for the peer service at address.
func (n *network) peer(address string) jacinthplankv1connect.PeerServiceClient {
	n.mu.Lock()
	defer n.mu.Unlock()
	client, ok := n.peers[address]
	if !ok {
		client = jacinthplankv1connect.NewPeerServiceClient(n.Client(), n.URL(address), n.clockOption, wire.MessageLimit)
		n.peers[address] = client
	}
	return client
}

// endpoint returns a new client for an endpoint process.
func (n *network) endpoint(name, address string) *wire.Client {
	return wire.NewClient(name, n.URL(address), n.Client(), n.clockOption)
}

// newPeerServer returns a server for other processes.
func (n *network) newPeerServer(h http.Handler) *drain.Server { return drain.NewServer(n.Server(h)) }

// newCallerServer returns a server for callers. Callers may use HTTP/1 or
// unencrypted HTTP/2.
func newCallerServer(h http.Handler) *drain.Server {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return drain.NewServer(&http.Server{
		Handler:           h,
		Protocols:         protocols,
		ReadHeaderTimeout: callerHeaderTimeout,
		IdleTimeout:       callerIdleTimeout,
	})
}
