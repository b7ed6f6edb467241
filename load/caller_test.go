package load_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/load"
	"github.com/jacinthplank/jacinthplank/outcome"
)

// Guards against requests on connections that an entry closes as idle at the same moment: the report would count them
// as failures of the fleet. An entry on a platform closes a connection that has been idle for 15 s by default.
func TestCallIsNotSentOnConnectionThatEntryIsAboutToClose(t *testing.T) {
	t.Parallel()
	g := NewWithT(t)
	const calls, spread = 200, 10 * time.Millisecond
	const entryIdleTimeout = 15 * time.Second
	entry := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, `data: {"choices":[{"text":"a","finish_reason":"stop"}]}`+"\n\ndata: [DONE]\n\n")
	}))
	entry.Config.IdleTimeout = entryIdleTimeout
	entry.Start()
	defer entry.Close()
	var failed atomic.Int64
	var wait sync.WaitGroup
	for i := range calls {
		wait.Go(func() {
			caller := load.NewHTTP([]string{entry.URL}, "key", "model", 1, 0)
			call := func() outcome.Code {
				_, code, _ := caller.Call(t.Context(), load.Arrival{Tokens: 10})
				return code
			}
			if code := call(); code != "" {
				t.Error(code)
				return
			}
			time.Sleep(entryIdleTimeout - spread/2 + time.Duration(i)*spread/calls)
			if call() != "" {
				failed.Add(1)
			}
		})
	}
	wait.Wait()
	g.Expect(failed.Load()).To(BeZero(), "failed calls of an entry that was up")
}
