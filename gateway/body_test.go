package gateway

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/route"
)

// Guards against a caller whose body doesn't fit into memory and that sees a reset connection rather than its refusal, as it
// takes longer than a second to send the body, on a busy machine or link.
func TestRefusedBodyIsReadAsLongAsAnyBody(t *testing.T) {
	g := NewWithT(t)
	const parts, partBytes, sending = 100, 16 << 10, bodyTimeout / 2
	gateway := newMemoryGateway(1 << 20)
	gateway.shutdown = newShutdown()
	gateway.bodyMemory = gateway.memory.Share(bodyShare)
	table := &route.Table{}
	table.Limits.BodyBytes = parts * partBytes
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		f := &inflightRequest{g: gateway, w: w, r: r, table: table, arrived: time.Now(), deadline: time.Now().Add(time.Minute)}
		if e := f.readBody(); e != nil && e.Code == outcome.CodeOverloaded {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer server.Close()
	conn, err := net.Dial("tcp", server.Listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = conn.Close() }()
	_, err = fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n", parts*partBytes)
	g.Expect(err).NotTo(HaveOccurred())
	started := time.Now()
	for n := range parts {
		_, err = conn.Write(make([]byte, partBytes))
		g.Expect(err).NotTo(HaveOccurred(), "part %d", n)
		time.Sleep(time.Until(started.Add(sending * time.Duration(n+1) / parts))) // late wake-ups don't add up
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	g.Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
	g.Expect(response.Close).To(BeFalse(), "its connection serves further requests")
	g.Expect(gateway.memory.Used()).To(BeZero())
}
