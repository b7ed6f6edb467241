package mesh

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"time"

	"connectrpc.com/connect"

	"github.com/jacinthplank/jacinthplank/response"
)

// Settings of connections between entries. A call that times out closes its
// connection, so that an unresponsive connection is not reused.
const (
	dialTimeout         = 400 * time.Millisecond // a few round trips between failure domains
	clientIdleTimeout   = 20 * time.Second
	serverIdleTimeout   = 30 * time.Second // longer than clientIdleTimeout, so that the client closes first
	maxIdleConnsPerPeer = 8
	readHeaderTimeout   = 2 * time.Second
	maxHeadBytes        = 64 << 10 // of a request or response
	// maxMessageBytes is the largest message of another entry that is read: a batch of the
	// quorum's log is sent once it has 256 KiB, and its last command may have 8 MiB.
	maxMessageBytes = 16 << 20
)

// messageLimit bounds what is held of a message. connect reads the rest of a longer one
// too, which response.Bounded and NewHTTPServer end.
var messageLimit = connect.WithReadMaxBytes(maxMessageBytes)

// jsonCodec encodes messages that are plain structs as JSON.
type jsonCodec struct{}

// Name implements connect.Codec.
func (jsonCodec) Name() string { return "json" }

// Marshal implements connect.Codec.
func (jsonCodec) Marshal(v any) ([]byte, error) { return json.Marshal(v) }

// Unmarshal implements connect.Codec.
func (jsonCodec) Unmarshal(data []byte, v any) error { return json.Unmarshal(data, v) }

// NewHTTPClient returns the client for calls between entries. It uses HTTP/1.1,
// so that concurrent calls do not share a connection.
func NewHTTPClient() *http.Client { return newHTTPClient(netip.Addr{}) }

// newHTTPClient returns the same with calls that come from an IP of this machine, if it is valid.
func newHTTPClient(source netip.Addr) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	if source.IsValid() {
		dialer.LocalAddr = net.TCPAddrFromAddrPort(netip.AddrPortFrom(source, 0))
	}
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	dial := response.Dial(dialer.DialContext)
	newTransport := func() *http.Transport {
		return &http.Transport{
			DialContext:            dial.Strict(),
			Protocols:              protocols,
			MaxIdleConnsPerHost:    maxIdleConnsPerPeer,
			IdleConnTimeout:        clientIdleTimeout,
			DisableCompression:     true,
			MaxResponseHeaderBytes: maxHeadBytes,
		}
	}
	return &http.Client{Transport: response.Bounded{MaxBytes: maxMessageBytes, RoundTripper: &peerTransports{newTransport: newTransport}}}
}

// NewHTTPServer returns a server for calls between entries.
func NewHTTPServer(h http.Handler) *http.Server {
	// Operator commands use HTTP/2.
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{Handler: http.MaxBytesHandler(h, maxMessageBytes), Protocols: protocols, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: serverIdleTimeout, MaxHeaderBytes: maxHeadBytes}
}

// call calls a procedure of another entry.
func call[Req, Resp any](ctx context.Context, client *http.Client, address, procedure string, req *Req) (*Resp, error) {
	c := connect.NewClient[Req, Resp](client, "http://"+address+procedure, connect.WithCodec(jsonCodec{}), messageLimit)
	resp, err := c.CallUnary(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return resp.Msg, nil
}

// handle registers f as the handler of a procedure.
func handle[Req, Resp any](mux *http.ServeMux, procedure string, f func(context.Context, *Req) (*Resp, error)) {
	serve := func(ctx context.Context, req *connect.Request[Req]) (*connect.Response[Resp], error) {
		resp, err := f(ctx, req.Msg)
		if err != nil {
			return nil, err
		}
		return connect.NewResponse(resp), nil
	}
	mux.Handle(procedure, connect.NewUnaryHandler(procedure, serve, connect.WithCodec(jsonCodec{}), messageLimit))
}

// Call calls a procedure of another entry. It serves the other duties of the daemon.
func Call[Req, Resp any](ctx context.Context, m *Mesh, address, procedure string, req *Req) (*Resp, error) {
	return call[Req, Resp](ctx, m.client, address, procedure, req)
}

// Handle registers the handler of a procedure for another duty of the daemon.
func Handle[Req, Resp any](m *Mesh, procedure string, f func(context.Context, *Req) (*Resp, error)) {
	handle(m.mux, procedure, f)
}
