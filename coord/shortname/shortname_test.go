package shortname_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"github.com/jacinthplank/jacinthplank/coord/shortname"
)

// TestTrimmedNamesStayDistinct guards against abbreviated names that can't be told apart.
func TestTrimmedNamesStayDistinct(t *testing.T) {
	g := NewWithT(t)
	all := []string{"front-zone-one-1", "front-zone-one-2", "front-zone-three-1"}
	g.Expect(shortname.Trim("front-zone-three-1", all)).To(Equal("three-1"))
	g.Expect(shortname.Trim("front-zone-one-2", all[:2])).To(Equal("one-2"))
	g.Expect(shortname.Trim("back-zone-one-1", all)).To(Equal("back-zone-one-1"))
	g.Expect(shortname.Trim("a-b-c", []string{"a-b-c", "a"})).To(Equal("a-b-c"))
	g.Expect(shortname.Trim("a-1", []string{"a-1", "a-2"})).To(Equal("a-1"))
	g.Expect(shortname.Trim("a", []string{"b"})).To(Equal("a"))
	g.Expect(shortname.Trim("", nil)).To(BeEmpty())
}

// TestListIsBounded guards against a list of names that takes the place of the fields after it.
func TestListIsBounded(t *testing.T) {
	g := NewWithT(t)
	names := []string{"front-zone-one-1", "front-zone-two-1", "front-zone-three-1"}
	g.Expect(shortname.List(nil, names, 20)).To(Equal("0"))
	g.Expect(shortname.List(names, names, 23)).To(Equal("3 one-1 two-1 three-1"))
	g.Expect(shortname.List(names, names, 17)).To(Equal("3 one-1 two-1 +1"))
	g.Expect(shortname.List(names, names, 5)).To(Equal("3 +3"))
	var many []string
	for range 100 {
		many = append(many, strings.Repeat("x", 30))
	}
	g.Expect(len(shortname.List(many, many, 90))).To(BeNumerically("<=", 90))
	g.Expect(shortname.List(many, many, 90)).To(HaveSuffix(" +98"))
}
