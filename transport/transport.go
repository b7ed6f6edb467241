// Package transport connects the processes of a fleet. It uses HTTP/2 with mutual
// TLS when the settings name the TLS files, and HTTP/2 without TLS otherwise.
// Listening without TLS on a non-loopback address must be enabled explicitly.
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

// Connection timeouts. A connection that receives nothing for sendPingTimeout is
// sent a ping, and closed if no response arrives within pingTimeout.
const (
	dialTimeout       = time.Second
	handshakeTimeout  = 2 * time.Second
	sendPingTimeout   = 3 * time.Second
	pingTimeout       = 2 * time.Second
	serverIdleTimeout = 2 * time.Minute  // server side
	clientIdleTimeout = 30 * time.Second // client side; shorter, so that the client closes first
	readHeaderTimeout = 10 * time.Second
	maxHeadBytes      = 64 << 10 // of a response
)

// Transport provides connections to and from other processes. It is safe for
// concurrent use.
type Transport struct {
	identity   *identity // nil without TLS
	allowPlain bool      // the settings allow listeners without TLS on any address
	client     *http.Client
}

// New returns a transport for the settings. A nil log discards log output.
func New(t settings.TLS, log *slog.Logger) (*Transport, error) {
	if log == nil {
		log = slog.New(slog.DiscardHandler)
	}
	tr := &Transport{allowPlain: t.Plain}
	if t.Secure() {
		identity, err := loadIdentity(t, log)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		tr.identity = identity
	}
	tr.client = &http.Client{Transport: tr.roundTripper()}
	return tr, nil
}

// Client returns the shared HTTP client, which multiplexes requests over one
// connection per peer.
func (t *Transport) Client() *http.Client { return t.client }

// URL returns the base URL of the process at address.
func (t *Transport) URL(address string) string {
	if t.identity != nil {
		return "https://" + address
	}
	return "http://" + address
}

// Server returns an HTTP server for other processes, to be run on a listener
// returned by Listen.
func (t *Transport) Server(h http.Handler) *http.Server {
	return &http.Server{
		Handler:           withPeerName(h),
		Protocols:         serverProtocols(t.identity == nil),
		HTTP2:             &http.HTTP2Config{SendPingTimeout: sendPingTimeout, PingTimeout: pingTimeout},
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       serverIdleTimeout,
	}
}

// Listen listens on address, given as IP:port. Without TLS it rejects non-loopback
// addresses unless the settings set plain.
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
			return t.identity.serverConfig(), nil
		},
	}
	return tls.NewListener(listener, config), nil
}

func (t *Transport) checkListener(address string) error {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return trace.BadParameter("%q is not an address of the form IP:port", address)
	}
	ip := net.ParseIP(host)
	if t.identity != nil || t.allowPlain || (ip != nil && ip.IsLoopback()) {
		return nil
	}
	return trace.BadParameter("%s is not a loopback address and there is no TLS; name its files in [tls], or set plain = true there", address)
}

func (t *Transport) roundTripper() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	rt := &http.Transport{
		Protocols:       clientProtocols(t.identity == nil),
		HTTP2:           &http.HTTP2Config{SendPingTimeout: sendPingTimeout, PingTimeout: pingTimeout},
		DialContext:     dialer.DialContext,
		IdleConnTimeout: clientIdleTimeout,
		// Peers are reached by HTTP/2, which frames what it reads.
		MaxResponseHeaderBytes: maxHeadBytes,
	}
	if t.identity != nil {
		rt.DialTLSContext = func(ctx context.Context, network, address string) (net.Conn, error) {
			return t.dialTLS(ctx, dialer, network, address)
		}
	}
	return rt
}

// dialTLS dials a TLS connection with the current certificate.
func (t *Transport) dialTLS(ctx context.Context, dialer *net.Dialer, network, address string) (net.Conn, error) {
	conn, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil, trace.NewAggregate(err, conn.Close())
	}
	tlsConn := tls.Client(conn, t.identity.clientConfig(host))
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, asDialError(err)
	}
	return tlsConn, nil
}

// asDialError reports a failed handshake as a dial error, since no request was
// sent.
func asDialError(err error) error {
	return &net.OpError{Op: "dial", Net: "tls", Err: err}
}

// serverProtocols also allows HTTP/1 without TLS, for tools that lack HTTP/2.
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

type peerNameKey struct{}

// withPeerName stores the common name of the peer's certificate in the request
// context.
func withPeerName(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.TLS != nil && len(r.TLS.PeerCertificates) > 0 {
			name := r.TLS.PeerCertificates[0].Subject.CommonName
			r = r.WithContext(context.WithValue(r.Context(), peerNameKey{}, name))
		}
		next.ServeHTTP(w, r)
	})
}

// Peer returns the common name in the certificate of the process that sent the
// request. It is empty without TLS.
func Peer(ctx context.Context) string {
	name, _ := ctx.Value(peerNameKey{}).(string)
	return name
}
