package decision

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestLinesAreJSONAndWaitForFlush(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	l := New(&out)
	l.Logger(slog.LevelInfo).Info("placed", "request", "r1")
	g.Expect(out.String()).To(BeEmpty())
	l.Flush()
	g.Expect(out.String()).To(ContainSubstring(`"msg":"placed","request":"r1"`))
}

func TestAFullLogDropsAndTells(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	l := New(&out)
	line := []byte(strings.Repeat("x", 64<<10))
	for range 20 {
		n, err := l.Write(line)
		g.Expect(err).ToNot(HaveOccurred())
		g.Expect(n).To(Equal(len(line)), "who logs is never held up")
	}
	l.Flush()
	g.Expect(out.Len()).To(BeNumerically("<=", maxBuffered+100))
	g.Expect(out.String()).To(ContainSubstring(`"msg":"log lines dropped","lines":4`))
}

func TestLinesAboutRequestsAreBounded(t *testing.T) {
	g := NewWithT(t)
	var out bytes.Buffer
	l := New(&out)
	now := time.Unix(1000, 0)
	admitted := 0
	for range linesPerS + 100 {
		if l.AllowRequestLine(now) {
			admitted++
		}
	}
	g.Expect(admitted).To(Equal(linesPerS))
	g.Expect(l.AllowRequestLine(now.Add(time.Second))).To(BeTrue())
	l.Flush()
	g.Expect(out.String()).To(ContainSubstring(`"lines":100`))
}
