package mesh

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
)

// Times of connections between entries. A call that is given up closes its
// connection, so that one that went silent is not used again.
const (
	dialTimeout = 400 * time.Millisecond // some round trips between failure domains
	clientIdle  = 20 * time.Second
	serverIdle  = 30 * time.Second // longer than the client's, which closes first
	peerConns   = 8                // kept connections to one peer
	headerTime  = 2 * time.Second
)

// codec is JSON for messages that are plain structs.
type codec struct{}

// Name implements connect.Codec.
func (codec) Name() string { return "json" }

// Marshal implements connect.Codec.
func (codec) Marshal(v any) ([]byte, error) { return json.Marshal(v) }

// Unmarshal implements connect.Codec.
func (codec) Unmarshal(data []byte, v any) error { return json.Unmarshal(data, v) }

// NewHTTPClient returns the client for calls between entries, over HTTP/1.1 so
// that each call has a connection to itself.
func NewHTTPClient() *http.Client {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext:         dialer.DialContext,
		Protocols:           protocols,
		MaxIdleConnsPerHost: peerConns,
		IdleConnTimeout:     clientIdle,
		DisableCompression:  true,
	}}
}

// NewHTTPServer returns a server for calls between entries.
func NewHTTPServer(h http.Handler) *http.Server {
	// Operators' commands speak HTTP/2.
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{Handler: h, Protocols: protocols, ReadHeaderTimeout: headerTime, IdleTimeout: serverIdle}
}

// call makes one call to a procedure of another entry.
func call[Q, A any](ctx context.Context, client *http.Client, address, procedure string, q *Q) (*A, error) {
	c := connect.NewClient[Q, A](client, "http://"+address+procedure, connect.WithCodec(codec{}))
	r, err := c.CallUnary(ctx, connect.NewRequest(q))
	if err != nil {
		return nil, err
	}
	return r.Msg, nil
}

// handle serves a procedure.
func handle[Q, A any](mux *http.ServeMux, procedure string, f func(context.Context, *Q) (*A, error)) {
	serve := func(ctx context.Context, r *connect.Request[Q]) (*connect.Response[A], error) {
		a, err := f(ctx, r.Msg)
		if err != nil {
			return nil, err
		}
		return connect.NewResponse(a), nil
	}
	mux.Handle(procedure, connect.NewUnaryHandler(procedure, serve, connect.WithCodec(codec{})))
}

// Call makes a call to another entry, for the other duties of the daemon.
func Call[Q, A any](ctx context.Context, m *Mesh, address, procedure string, q *Q) (*A, error) {
	return call[Q, A](ctx, m.client, address, procedure, q)
}

// Handle serves a procedure for another duty of the daemon.
func Handle[Q, A any](m *Mesh, procedure string, f func(context.Context, *Q) (*A, error)) {
	handle(m.mux, procedure, f)
}
