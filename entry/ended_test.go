package entry_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/outcome"
	"github.com/jacinthplank/jacinthplank/prompt"
	"github.com/jacinthplank/jacinthplank/submit"
)

// Guards against an entry that takes a request from engine to engine although each that
// ran it failed, and against the refusal of other requests of its account.
func TestPromptThatEndsEnginesIsKeptOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const deadly, maxReached = "deadly", 3 // times that the request reaches engines
		ended := 0
		// engine returns an engine that ends under a deadly request and is back a little later.
		engine := func() func(r submit.Request) ([]submit.Frame, error) {
			var restartedAt time.Time
			return func(r submit.Request) ([]submit.Frame, error) {
				switch {
				case time.Now().Before(restartedAt):
					return nil, outcome.Refuse(outcome.CodeEngineFailed, "endpoint.admit", "the engine is starting")
				case r.Prompt.Text == deadly:
					restartedAt = time.Now().Add(1500 * time.Millisecond)
					ended++
					return nil, outcome.Fail(outcome.CodeEngineFailed, outcome.Unknown, "engine", fmt.Errorf("engine ended"))
				}
				return answerFully(r)
			}
		}
		router, _ := newTestRouter(engine(), engine(), engine(), engine(), engine(), engine())
		send := func(text string) (string, error) {
			r := request()
			r.Prompt = prompt.New(text)
			a, err := router.Submit(t.Context(), r)
			if err != nil {
				return "", err
			}
			defer func() { _ = a.Close() }()
			answer, _ := readAll(a)
			return answer, nil
		}
		reached := 0
		for range 20 {
			before := ended
			_, err := send(deadly)
			g.Expect(err).To(HaveOccurred())
			if ended > before {
				reached++
			}
			time.Sleep(200 * time.Millisecond)
		}
		g.Expect(reached).To(BeNumerically("<=", maxReached))
		_, err := send(deadly)
		g.Expect(outcome.From(err).Code).To(Equal(outcome.CodeEndsEndpoints))
		g.Expect(outcome.From(err).State).To(Equal(outcome.NotRun))
		g.Expect(outcome.From(err).RetryAfter).To(BeNumerically(">", time.Minute))
		for n := range 20 {
			time.Sleep(time.Second)
			answer, err := send(fmt.Sprint("sound ", n))
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(answer).To(Equal("one two three"))
		}
	})
}
