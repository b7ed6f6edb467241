package transport_test

import (
	"context"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/keys"
	"github.com/jacinthplank/jacinthplank/settings"
	"github.com/jacinthplank/jacinthplank/transport"
)

var loopback = []net.IP{net.IPv4(127, 0, 0, 1)}

func issue(g *WithT, folder, name string) settings.TLS {
	files, err := keys.Issue(folder, name, loopback)
	g.Expect(err).NotTo(HaveOccurred())
	return settings.TLS{Certificate: files.Certificate, Key: files.Key, Authority: files.Authority}
}

func newTransport(g *WithT, t settings.TLS) *transport.Transport {
	made, err := transport.New(t, nil)
	g.Expect(err).NotTo(HaveOccurred())
	return made
}

// serve answers with the protocol and the name of the peer.
func serve(t *testing.T, g *WithT, tr *transport.Transport) string {
	listener, err := tr.Listen("127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	server := tr.Server(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, r.Proto+" "+transport.Peer(r.Context()))
	}))
	server.ErrorLog = log.New(io.Discard, "", 0)
	go server.Serve(listener)
	t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

func get(tr *transport.Transport, address string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, tr.URL(address), nil)
	if err != nil {
		return "", err
	}
	response, err := tr.Client().Do(request)
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return "", fmt.Errorf("status %s", response.Status)
	}
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

func TestBothSidesProveWhoTheyAre(t *testing.T) {
	g := NewWithT(t)
	ours, theirs := t.TempDir(), t.TempDir()
	g.Expect(keys.CreateAuthority(ours)).To(Succeed())
	g.Expect(keys.CreateAuthority(theirs)).To(Succeed())
	g.Expect(keys.CreateAuthority(ours)).NotTo(Succeed(), "an authority is never replaced")
	server := newTransport(g, issue(g, ours, "server"))
	address := serve(t, g, server)

	g.Expect(get(newTransport(g, issue(g, ours, "client")), address)).To(Equal("HTTP/2.0 client"))

	_, err := get(newTransport(g, issue(g, theirs, "client")), address)
	g.Expect(err).To(HaveOccurred(), "another authority's client trusts this server")
	stranger := issue(g, theirs, "client")
	stranger.Authority = issue(g, ours, "other").Authority
	_, err = get(newTransport(g, stranger), address)
	g.Expect(err).To(HaveOccurred(), "this server trusts another authority's client")
	_, err = get(newTransport(g, settings.TLS{}), address)
	g.Expect(err).To(HaveOccurred(), "a client without TLS got in")
}

func TestACertificateForAnotherAddressIsRefused(t *testing.T) {
	g := NewWithT(t)
	folder := t.TempDir()
	g.Expect(keys.CreateAuthority(folder)).To(Succeed())
	files, err := keys.Issue(folder, "server", []net.IP{net.IPv4(127, 0, 0, 9)})
	g.Expect(err).NotTo(HaveOccurred())
	server := newTransport(g, settings.TLS{Certificate: files.Certificate, Key: files.Key, Authority: files.Authority})
	_, err = get(newTransport(g, issue(g, folder, "client")), serve(t, g, server))
	g.Expect(err).To(HaveOccurred())
}

func TestAChangedCertificateIsUsedWithoutARestart(t *testing.T) {
	g := NewWithT(t)
	folder := t.TempDir()
	g.Expect(keys.CreateAuthority(folder)).To(Succeed())
	address := serve(t, g, newTransport(g, issue(g, folder, "server")))
	files := issue(g, folder, "client")
	client := newTransport(g, files)
	g.Expect(get(client, address)).To(HaveSuffix(" client"))

	renamed := issue(g, folder, "renamed")
	g.Expect(os.Rename(renamed.Certificate, files.Certificate)).To(Succeed())
	g.Expect(os.Rename(renamed.Key, files.Key)).To(Succeed())
	g.Eventually(func() (string, error) {
		client.Client().CloseIdleConnections()
		return get(client, address)
	}).WithTimeout(10 * time.Second).WithPolling(200 * time.Millisecond).Should(HaveSuffix(" renamed"))

	g.Expect(os.WriteFile(files.Key, []byte("damaged"), 0o600)).To(Succeed())
	time.Sleep(1100 * time.Millisecond) // longer than between two looks at the files
	client.Client().CloseIdleConnections()
	g.Expect(get(client, address)).To(HaveSuffix(" renamed"), "the certificate of before stays")
}

func TestAPlainListenerOffTheLoopbackIsRefused(t *testing.T) {
	g := NewWithT(t)
	_, err := newTransport(g, settings.TLS{}).Listen("0.0.0.0:0")
	g.Expect(err).To(MatchError(ContainSubstring("plain = true")))
	listener, err := newTransport(g, settings.TLS{Plain: true}).Listen("0.0.0.0:0")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(listener.Close()).To(Succeed())
	plain := newTransport(g, settings.TLS{})
	g.Expect(get(plain, serve(t, g, plain))).To(HavePrefix("HTTP/2.0"))
}
