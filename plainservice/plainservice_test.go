package plainservice_test

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/plainservice"
	"github.com/jacinthplank/jacinthplank/submit"
)

// Guards against calls on connections that the service closes as idle at the same moment: they fail, and whether they
// ran is unknown. Five seconds is a usual idle timeout of services.
func TestCallIsNotSentOnConnectionThatServiceIsAboutToClose(t *testing.T) {
	g := NewWithT(t)
	const calls, spread = 400, 10 * time.Millisecond
	const serviceIdleTimeout = 5 * time.Second
	service := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	service.Config.IdleTimeout = serviceIdleTimeout
	service.Start()
	defer service.Close()
	var failed atomic.Int64
	var wait sync.WaitGroup
	for i := range calls {
		wait.Go(func() {
			s := plainservice.New("service-1", service.URL)
			call := submit.Call{ID: "call", Method: http.MethodPost, Path: "/", Body: []byte("body"), Remaining: time.Minute}
			if _, err := s.Call(t.Context(), call); err != nil {
				t.Error(err)
				return
			}
			time.Sleep(serviceIdleTimeout - spread/2 + time.Duration(i)*spread/calls)
			if _, err := s.Call(t.Context(), call); err != nil {
				failed.Add(1)
			}
		})
	}
	wait.Wait()
	g.Expect(failed.Load()).To(BeZero(), "failed calls of a service that was up")
}
