package mesh

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// readSlack is what a connection holds beyond what is read of a message.
const readSlack = 16 << 20

// Guards against an entry that reads another one's message as long as bytes come.
func TestMessageWithoutEndIsAbandoned(t *testing.T) {
	part := bytes.Repeat([]byte(" "), 64<<10)
	t.Run("response", func(t *testing.T) {
		g := NewWithT(t)
		var sent atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "application/json")
			for {
				n, err := w.Write(part)
				sent.Add(int64(n))
				if err != nil {
					return
				}
			}
		}))
		defer server.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		_, err := call[syncRequest, syncResponse](ctx, NewHTTPClient(), server.Listener.Addr().String(), procedureSync, &syncRequest{})
		g.Expect(err).To(HaveOccurred())
		g.Expect(ctx.Err()).ToNot(HaveOccurred(), "well before the deadline")
		g.Expect(sent.Load()).To(BeNumerically("<", maxMessageBytes+readSlack))
	})
	t.Run("request", func(t *testing.T) {
		g := NewWithT(t)
		mux := http.NewServeMux()
		handle(mux, procedureSync, func(context.Context, *syncRequest) (*syncResponse, error) { return &syncResponse{}, nil })
		server := httptest.NewUnstartedServer(nil)
		server.Config = NewHTTPServer(mux)
		server.Start()
		defer server.Close()
		body := &endlessBody{part: part}
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		request, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+procedureSync, body)
		g.Expect(err).ToNot(HaveOccurred())
		request.Header.Set("Content-Type", "application/json")
		response, err := http.DefaultClient.Do(request)
		if err == nil {
			g.Expect(response.StatusCode).ToNot(Equal(http.StatusOK))
			g.Expect(response.Body.Close()).To(Succeed())
		}
		g.Expect(ctx.Err()).ToNot(HaveOccurred(), "well before the deadline")
		g.Expect(body.sent.Load()).To(BeNumerically("<", maxMessageBytes+readSlack))
	})
}

type endlessBody struct {
	part []byte
	sent atomic.Int64
}

// Read implements io.Reader.
func (b *endlessBody) Read(p []byte) (int, error) {
	n := copy(p, b.part)
	b.sent.Add(int64(n))
	return n, nil
}
