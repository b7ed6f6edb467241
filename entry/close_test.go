package entry_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/directory"
	"github.com/jacinthplank/jacinthplank/entry"
	"github.com/jacinthplank/jacinthplank/submit"
	"github.com/jacinthplank/jacinthplank/timeline"
)

// A caller may close an answer after the frame with the finish reason, without
// reading io.EOF. The request is then recorded as finished, not as canceled.
func TestCloseAfterFinishIsNotCancellation(t *testing.T) {
	g := NewWithT(t)
	d := directory.New(time.Hour)
	d.Announce(time.Now(), directory.Endpoint{Name: "a", Models: []string{"m"}, Incarnation: 1, Sequence: 1, MaxPrompt: 50_000})
	log := timeline.NewLog("entry", 100, time.Now)
	r := entry.NewRouter(entry.Options{
		Directory: d,
		Dial:      func(directory.Endpoint) submit.Endpoint { return &fakeEndpoint{script: answerFully} },
		Recorder:  log,
		Seed:      1,
	})
	a, err := r.Submit(t.Context(), request())
	g.Expect(err).NotTo(HaveOccurred())
	for range 3 {
		_, err := a.Next(t.Context())
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(a.Close()).To(Succeed())
	events := log.Query(timeline.Filter{}).Events
	g.Expect(events[len(events)-1].Kind).To(Equal(timeline.KindFinished))
}
