package mesh

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/announce"
)

// TestAnEntryThatStartsLogsInBounds: it is told of thousands of endpoints in one
// message, and one that stays logs each change.
func TestAnEntryThatStartsLogsInBounds(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	m := New(Options{Name: "me", Address: "127.0.0.1:1", Log: slog.New(slog.NewJSONHandler(&out, nil))})
	t.Cleanup(m.Stop)
	news := func(first, n int) []announce.Record {
		var all []announce.Record
		for i := range n {
			all = append(all, announce.Record{
				Endpoint: announce.Endpoint{ID: fmt.Sprint("e", first+i), Service: "s", Address: "1.1.1.1:1", State: announce.Ready, StartedAtMs: 1, Sequence: 1},
				At:       time.Now(),
			})
		}
		return all
	}
	lines := func() int {
		defer out.Reset()
		return strings.Count(out.String(), "announced")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	g.Expect(m.takeAll(news(0, 2700), "peer")).To(Equal(2700))
	g.Expect(lines()).To(Equal(1))
	g.Expect(m.takeAll(news(2700, 2), "peer")).To(Equal(2))
	g.Expect(lines()).To(Equal(2))
	g.Expect(m.takeAll(news(0, 2700), "peer")).To(BeZero(), "nothing new")
	g.Expect(lines()).To(BeZero())
}
