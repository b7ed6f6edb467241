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

func issueCertificate(g *WithT, folder, name string) settings.TLS {
	files, err := keys.Issue(folder, name, loopback)
	g.Expect(err).NotTo(HaveOccurred())
	return settings.TLS{Certificate: files.Certificate, Key: files.Key, Authority: files.Authority}
}

func newTransport(g *WithT, t settings.TLS) *transport.Transport {
	tr, err := transport.New(t, nil)
	g.Expect(err).NotTo(HaveOccurred())
	return tr
}

// startServer starts a server that responds with the protocol and the peer's name,
// and returns its address.
func startServer(t *testing.T, g *WithT, tr *transport.Transport) string {
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

func TestMutualAuthentication(t *testing.T) {
	g := NewWithT(t)
	ours, theirs := t.TempDir(), t.TempDir()
	g.Expect(keys.CreateAuthority(ours)).To(Succeed())
	g.Expect(keys.CreateAuthority(theirs)).To(Succeed())
	g.Expect(keys.CreateAuthority(ours)).NotTo(Succeed(), "an existing authority must not be replaced")
	server := newTransport(g, issueCertificate(g, ours, "server"))
	address := startServer(t, g, server)

	g.Expect(get(newTransport(g, issueCertificate(g, ours, "client")), address)).To(Equal("HTTP/2.0 client"))

	_, err := get(newTransport(g, issueCertificate(g, theirs, "client")), address)
	g.Expect(err).To(HaveOccurred(), "a client of another authority must not trust this server")
	foreignClient := issueCertificate(g, theirs, "client")
	foreignClient.Authority = issueCertificate(g, ours, "other").Authority
	_, err = get(newTransport(g, foreignClient), address)
	g.Expect(err).To(HaveOccurred(), "the server must not trust a client certificate from another authority")
	_, err = get(newTransport(g, settings.TLS{}), address)
	g.Expect(err).To(HaveOccurred(), "a client without TLS must be rejected")
}

func TestCertificateForOtherAddressIsRejected(t *testing.T) {
	g := NewWithT(t)
	folder := t.TempDir()
	g.Expect(keys.CreateAuthority(folder)).To(Succeed())
	files, err := keys.Issue(folder, "server", []net.IP{net.IPv4(127, 0, 0, 9)})
	g.Expect(err).NotTo(HaveOccurred())
	server := newTransport(g, settings.TLS{Certificate: files.Certificate, Key: files.Key, Authority: files.Authority})
	_, err = get(newTransport(g, issueCertificate(g, folder, "client")), startServer(t, g, server))
	g.Expect(err).To(HaveOccurred())
}

func TestCertificateIsReloadedWithoutRestart(t *testing.T) {
	g := NewWithT(t)
	folder := t.TempDir()
	g.Expect(keys.CreateAuthority(folder)).To(Succeed())
	address := startServer(t, g, newTransport(g, issueCertificate(g, folder, "server")))
	files := issueCertificate(g, folder, "client")
	client := newTransport(g, files)
	g.Expect(get(client, address)).To(HaveSuffix(" client"))

	renamed := issueCertificate(g, folder, "renamed")
	// The clock of a file system may be too coarse to tell the new files from the old ones.
	for before, after := range map[string]string{files.Certificate: renamed.Certificate, files.Key: renamed.Key} {
		info, err := os.Stat(before)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(os.Chtimes(after, info.ModTime(), info.ModTime())).To(Succeed())
	}
	g.Expect(os.Rename(renamed.Certificate, files.Certificate)).To(Succeed())
	g.Expect(os.Rename(renamed.Key, files.Key)).To(Succeed())
	g.Eventually(func() (string, error) {
		client.Client().CloseIdleConnections()
		return get(client, address)
	}).WithTimeout(10 * time.Second).WithPolling(200 * time.Millisecond).Should(HaveSuffix(" renamed"))

	g.Expect(os.WriteFile(files.Key, []byte("damaged"), 0o600)).To(Succeed())
	time.Sleep(1100 * time.Millisecond) // longer than the interval between file checks
	client.Client().CloseIdleConnections()
	g.Expect(get(client, address)).To(HaveSuffix(" renamed"), "the previous certificate must stay in use")
}

func TestPlaintextListenerOutsideLoopbackIsRejected(t *testing.T) {
	g := NewWithT(t)
	_, err := newTransport(g, settings.TLS{}).Listen("0.0.0.0:0")
	g.Expect(err).To(MatchError(ContainSubstring("plain = true")))
	listener, err := newTransport(g, settings.TLS{Plain: true}).Listen("0.0.0.0:0")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(listener.Close()).To(Succeed())
	plain := newTransport(g, settings.TLS{})
	g.Expect(get(plain, startServer(t, g, plain))).To(HavePrefix("HTTP/2.0"))
}
