package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a process that ends, which serve returning means, while a request is still answered.
func TestServeReturnsAfterLastAnswer(t *testing.T) {
	g := NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	address := listener.Addr().String()
	g.Expect(listener.Close()).To(Succeed())
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan time.Time, 1)
	go func() {
		if err := serve(ctx, options{Listen: address, Models: []string{"m"}, Memory: 3200, MemoryTokens: 128, Prefill: 20000, Decode: 20, AttentionScale: 131072, Scale: 1}); err != nil {
			t.Error(err)
		}
		ended <- time.Now()
	}()
	g.Eventually(func() error {
		response, err := http.Get("http://" + address + "/health")
		if err == nil {
			_ = response.Body.Close()
		}
		return err
	}, 5*time.Second).Should(Succeed())

	response, err := http.Post("http://"+address+"/v1/completions", "application/json",
		strings.NewReader(`{"model":"m","prompt":"one two three","max_tokens":20,"stream":true}`))
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = response.Body.Close() }()
	g.Expect(response.StatusCode).To(Equal(http.StatusOK))
	cancel()
	body, err := io.ReadAll(response.Body)
	answered := time.Now()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(body)).To(HaveSuffix("data: [DONE]\n\n"))
	var end time.Time
	g.Eventually(ended, 10*time.Second).Should(Receive(&end))
	// The caller reads the end of the answer after it was sent.
	g.Expect(end).To(BeTemporally(">", answered.Add(-100*time.Millisecond)), "serve returned before the answer was complete")
}
