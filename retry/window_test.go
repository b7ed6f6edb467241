package retry

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func TestAWindowBoundsRepeats(t *testing.T) {
	g := NewWithT(t)
	w := NewWindow(0.2, 10*time.Second)
	now := time.Unix(1000, 0)
	for range 50 {
		w.RecordRequest(now)
	}
	allowed := 0
	for range 100 {
		if w.AllowRepeat(now, 3) {
			allowed++
		}
	}
	g.Expect(allowed).To(Equal(13), "0.2 x 50 + 3")
	g.Expect(w.AllowRepeat(now.Add(9*time.Second), 3)).To(BeFalse())
	g.Expect(w.AllowRepeat(now.Add(11*time.Second), 3)).To(BeTrue(), "the requests and repeats have left the window")
}

func TestNoSpanHasMoreRepeatsThanItsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := NewWindow(0.2, 10*time.Second)
		now := time.Unix(1000, 0)
		var repeats []time.Time
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			if w.AllowRepeat(now, 5) {
				repeats = append(repeats, now)
			}
		}
		for i, from := range repeats {
			n := 0
			for _, r := range repeats[i:] {
				if r.Sub(from) < 9*time.Second { // the window expires by slots of 1 s
					n++
				}
			}
			if n > 5 {
				t.Fatalf("%d repeats within 9 s", n)
			}
		}
	})
}
