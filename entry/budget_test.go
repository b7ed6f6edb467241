package entry_test

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/directory"
	"github.com/jacinthplank/jacinthplank/entry"
	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/submit"
)

// TestRefusalsWithoutAnotherEndpointUseNoRetries has one endpoint that refuses,
// as one does that has not met its engine yet. Requests to it once used up the
// account's retries, so that a later request was not tried at a second endpoint.
func TestRefusalsWithoutAnotherEndpointUseNoRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := directory.New(time.Hour)
		notReady := func(submit.Request) ([]submit.Frame, error) {
			refusal := outcome.Refuse(outcome.CodeNoEndpoint, "endpoint.admit", "no engine yet")
			return nil, &submit.ErrorWithBacklog{Err: refusal, Backlog: submit.Backlog{Endpoint: "a"}}
		}
		endpoints := map[string]*endpoint{"a": {script: notReady}, "b": {script: whole}}
		r := entry.NewRouter(entry.Options{
			Directory: d,
			Dial:      func(e directory.Endpoint) submit.Endpoint { return endpoints[e.Name] },
			Seed:      1,
		})
		announce := func(name string, wait time.Duration) {
			d.Announce(time.Now(), directory.Endpoint{
				Name: name, Models: []string{"m"}, Incarnation: 1, Sequence: 1, MaxPrompt: 50_000,
				PrefillPerSec: 20_000, DecodePerSec: 60,
				Backlog: submit.Backlog{Wait: wait},
			})
		}
		announce("a", 0)
		for range 20 {
			time.Sleep(time.Second)
			_, err := r.Submit(t.Context(), request())
			g.Expect(outcome.From(err).Code).To(Equal(outcome.CodeNoEndpoint))
		}
		announce("b", time.Second)
		_, err := r.Submit(t.Context(), request())
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(endpoints["a"].submits).To(Equal(21))
	})
}
