// Package transport makes the connections between the processes of a fleet:
// HTTP/2 with mutual TLS when the settings name its files, else HTTP/2 without
// TLS, which off the loopback addresses has to be wished for outright.
package transport

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/jacinthplank/jacinthplank/settings"
)

// Times of connections. A connection on which nothing arrives for pingAfter is
// asked for a sign of life, and given up without one.
const (
	dialTimeout       = time.Second
	handshakeTimeout  = 2 * time.Second
	pingAfter         = 3 * time.Second
	pingTimeout       = 2 * time.Second
	idleTimeout       = 2 * time.Minute  // at the server
	clientIdle        = 30 * time.Second // at the client, which closes first
	readHeaderTimeout = 10 * time.Second
)

// Transport makes connections to and from other processes. It is safe for
// concurrent use.
type Transport struct {
	identity *identity // nil without TLS
	plain    bool      // a listener without TLS is wished for
	client   *http.Client
}

// New returns a transport for the settings. log may be nil.
func New(t settings.TLS, log *slog.Logger) (*Transport, error) {
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	made := &Transport{plain: t.Plain}
	if t.Secure() {
		identity, err := loadIdentity(t, log)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		made.identity = identity
	}
	made.client = &http.Client{Transport: made.roundTripper()}
	return made, nil
}

// Client returns the client that reuses one connection for each peer.
func (t *Transport) Client() *http.Client { return t.client }

// URL returns the base URL of the process at an address.
func (t *Transport) URL(address string) string {
	if t.identity != nil {
		return "https://" + address
	}
	return "http://" + address
}

// Server returns a server for the other processes, to be run on a listener made
// by Listen.
func (t *Transport) Server(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           withPeer(h),
		Protocols:         serverProtocols(t.identity == nil),
		HTTP2:             &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
	}
}

// Listen listens on IP:port. Without TLS it refuses an address off the loopback,
// unless the settings say plain.
func (t *Transport) Listen(address string) (net.Listener, error) {
	if err := t.checkListener(address); err != nil {
		return nil, trace.Wrap(err)
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	if t.identity == nil {
		return listener, nil
	}
	config := &tls.Config{
		MinVersion: tls.VersionTLS13,
		NextProtos: []string{"h2"},
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			return t.identity.server(), nil
		},
	}
	return tls.NewListener(listener, config), nil
}

func (t *Transport) checkListener(address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return trace.BadParameter("%q is no IP:port", address)
	}
	ip := net.ParseIP(host)
	if t.identity != nil || t.plain || (ip != nil && ip.IsLoopback()) {
		return nil
	}
	return trace.BadParameter("%s is not a loopback address and there is no TLS; name its files in [tls], or set plain = true there", address)
}

func (t *Transport) roundTripper() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	made := &http.Transport{
		Protocols:       clientProtocols(t.identity == nil),
		HTTP2:           &http.HTTP2Config{SendPingTimeout: pingAfter, PingTimeout: pingTimeout},
		DialContext:     dialer.DialContext,
		IdleConnTimeout: clientIdle,
	}
	if t.identity != nil {
		made.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			return t.dialTLS(ctx, dialer, network, address)
		}
	}
	return made
}

// dialTLS uses the certificate of the moment for each connection.
func (t *Transport) dialTLS(ctx context.Context, dialer *net.Dialer, network, address string) (net.Conn, error) {
	connection, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, trace.NewAggregate(err, connection.Close())
	}
	secured := tls.Client(connection, t.identity.client(host))
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	if err := secured.HandshakeContext(ctx); err != nil {
		_ = connection.Close()
		return nil, notSent(err)
	}
	return secured, nil
}

// notSent marks a failed handshake as a failure to dial: no request was sent.
func notSent(err error) error {
	return &net.OpError{Op: "dial", Net: "tls", Err: err}
}

// serverProtocols lets tools without HTTP/2 in where there is no TLS.
func serverProtocols(plain bool) *http.Protocols {
	p := clientProtocols(plain)
	p.SetHTTP1(plain)
	return p
}

func clientProtocols(plain bool) *http.Protocols {
	p := new(http.Protocols)
	p.SetUnencryptedHTTP2(plain)
	p.SetHTTP2(!plain)
	return p
}

type peerKey struct{}

// withPeer keeps the name in the peer's certificate with the request.
func withPeer(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.TLS != nil && len(r.TLS.PeerCertificates) > 0 {
			name := r.TLS.PeerCertificates[0].Subject.CommonName
			r = r.WithContext(context.WithValue(r.Context(), peerKey{}, name))
		}
		next.ServeHTTP(w, r)
	})
}

// Peer returns the name in the certificate of the process that sent a request.
// It is empty without TLS.
func Peer(ctx context.Context) string {
	name, _ := ctx.Value(peerKey{}).(string)
	return name
}
