package daemon

import (
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// repeatDials repeats a call for up to 20 s while no connection is made for it: on a busy machine this process may not be
// run within the dial's time limit. Nothing has been sent then.
func repeatDials(call func() error) error {
	for started := time.Now(); ; {
		err := call()
		var failed *net.OpError
		if !errors.As(err, &failed) || failed.Op != "dial" || time.Since(started) > 20*time.Second {
			return err
		}
	}
}

// Guards against work that is sent to the engine on a connection that the engine closes as idle at the same moment: it
// fails, and whether it ran is unknown. Five seconds is a usual idle timeout of engines.
func TestWorkIsNotSentOnConnectionThatEngineIsAboutToClose(t *testing.T) {
	g := NewWithT(t)
	const requests, spread = 200, 10 * time.Millisecond
	const closeAfter = 5 * time.Second
	engine := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	engine.Config.IdleTimeout = closeAfter
	engine.Start()
	defer engine.Close()
	var failed atomic.Int64
	var wait sync.WaitGroup
	for i := range requests {
		wait.Go(func() {
			client := engineClient()
			post := func() error {
				response, err := client.Post(engine.URL, "application/json", strings.NewReader("{}"))
				if err != nil {
					return err
				}
				defer func() { _ = response.Body.Close() }()
				_, err = io.Copy(io.Discard, response.Body)
				return err
			}
			if err := repeatDials(post); err != nil {
				t.Error(err)
				return
			}
			time.Sleep(closeAfter - spread/2 + time.Duration(i)*spread/requests)
			if repeatDials(post) != nil {
				failed.Add(1)
			}
		})
	}
	wait.Wait()
	g.Expect(failed.Load()).To(BeZero(), "failed requests to an engine that was up")
}
