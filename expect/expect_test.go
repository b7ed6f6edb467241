package expect

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestTheMostIsNotTakenForTheExpected(t *testing.T) {
	g := NewWithT(t)
	l := New()
	g.Expect(l.Estimate("m", "a", 4096)).To(Equal(DefaultAnswer))
	g.Expect(l.Estimate("m", "a", 64)).To(Equal(64), "an answer has no more than it may")
}

func TestAnswersAreLearntForEachModelAndAccount(t *testing.T) {
	g := NewWithT(t)
	l := New()
	for range 100 {
		l.Observe("m", "a", 100)
	}
	g.Expect(l.Estimate("m", "a", 4096)).To(BeNumerically("~", 100, 5))
	g.Expect(l.Estimate("m", "b", 4096)).To(Equal(DefaultAnswer))
	g.Expect(l.Estimate("n", "a", 4096)).To(Equal(DefaultAnswer))
}
