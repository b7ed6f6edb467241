package revision_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/jacinthplank/jacinthplank/coord/revision"
)

func accept(r *revision.Register, id string, base revision.Version, document string) revision.Answer {
	return r.Accept(revision.Change{ID: id, Base: base, Author: "author of " + id, Document: []byte(document)})
}

func TestResendReturnsFirstAnswer(t *testing.T) {
	g := NewWithT(t)
	var r revision.Register
	first := accept(&r, "a", revision.Version{}, `{"x":1}`)
	g.Expect(first.Verdict).To(Equal(revision.Accepted))
	g.Expect(accept(&r, "b", first.Version, `{"x":2}`).Verdict).To(Equal(revision.Accepted))

	g.Expect(accept(&r, "a", revision.Version{}, `{ "x": 1 }`)).To(Equal(first))
	g.Expect(accept(&r, "a", revision.Version{}, `{"x":3}`).Verdict).To(Equal(revision.IdentifierReused))
	g.Expect(r.Document).To(MatchJSON(`{"x":2}`))
}

func TestConflictReturnsCurrentDocument(t *testing.T) {
	g := NewWithT(t)
	var r revision.Register
	base := accept(&r, "a", revision.Version{}, `{"x":1}`).Version
	accept(&r, "winner", base, `{"x":2}`)

	lost := accept(&r, "loser", base, `{"x":3}`)
	g.Expect(lost.Verdict).To(Equal(revision.Conflict))
	g.Expect(lost.ID).To(Equal("winner"))
	g.Expect(lost.Author).To(Equal("author of winner"))
	g.Expect(lost.Document).To(MatchJSON(`{"x":2}`))
}

func TestEpochNeverDecreases(t *testing.T) {
	g := NewWithT(t)
	var r revision.Register
	a := r.Accept(revision.Change{ID: "a", Epoch: 7, Document: []byte(`{}`)})
	g.Expect(a.Version).To(Equal(revision.Version{Epoch: 7, Revision: 1}))
	b := r.Accept(revision.Change{ID: "b", Base: a.Version, Epoch: 3, Document: []byte(`{}`)})
	g.Expect(b.Version).To(Equal(revision.Version{Epoch: 7, Revision: 2}))
}

func TestPatchContainsOnlyChangedListItem(t *testing.T) {
	g := NewWithT(t)
	patch, err := revision.Diff(accounts(1000, 1), accounts(1000, 2))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(patch).To(MatchJSON(`{"accounts":{"@named":{"account-0500":{"share":2}}}}`))
}

func accounts(n, share int) []byte {
	text := `{"accounts":[`
	for i := range n {
		s := 1
		if i == n/2 {
			s = share
		}
		if i > 0 {
			text += ","
		}
		text += fmt.Sprintf(`{"name":"account-%04d","share":%d}`, i, s)
	}
	return []byte(text + `]}`)
}

// document generates JSON objects, some with lists of named objects as members.
func document() *rapid.Generator[string] {
	leaf := rapid.SampledFrom([]string{`1`, `"s"`, `null`, `[]`, `[1,null]`, `{}`, `{"y":{"z":1}}`, `true`, `1.50`})
	item := rapid.Custom(func(t *rapid.T) string {
		return fmt.Sprintf(`{"name":%q,"v":%s}`, rapid.StringMatching(`[a-d]`).Draw(t, "name"), leaf.Draw(t, "v"))
	})
	list := rapid.Custom(func(t *rapid.T) string {
		return "[" + join(rapid.SliceOfN(item, 0, 4).Draw(t, "items")) + "]"
	})
	member := rapid.OneOf(leaf, list, item)
	return rapid.Custom(func(t *rapid.T) string {
		values := rapid.MapOfN(rapid.StringMatching(`[a-e]`), member, 0, 5).Draw(t, "members")
		parts := []string{}
		for name, value := range values {
			parts = append(parts, fmt.Sprintf("%q:%s", name, value))
		}
		return "{" + join(parts) + "}"
	})
}

func join(parts []string) string {
	text := ""
	for i, p := range parts {
		if i > 0 {
			text += ","
		}
		text += p
	}
	return text
}

func TestPatchesReproduceCanonicalDocument(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		documents := rapid.SliceOfN(document(), 2, 6).Draw(t, "documents")
		var patches [][]byte
		for i := 1; i < len(documents); i++ {
			patch, err := revision.Diff([]byte(documents[i-1]), []byte(documents[i]))
			g.Expect(err).NotTo(HaveOccurred())
			patches = append(patches, patch)
		}
		got, err := revision.Patch([]byte(documents[0]), patches...)
		g.Expect(err).NotTo(HaveOccurred())
		want, err := revision.Canonical([]byte(documents[len(documents)-1]))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(string(got)).To(Equal(string(want)))
	})
}

func TestHistoryIsBounded(t *testing.T) {
	g := NewWithT(t)
	var h revision.History
	for i := range uint64(revision.MaxDeltas + 10) {
		h.Append(revision.Delta{Version: revision.Version{Epoch: 1, Revision: i + 1}, Patch: []byte("{}")})
	}
	g.Expect(h.Deltas).To(HaveLen(revision.MaxDeltas))
	deltas, bytes, ok := h.After(revision.Version{Epoch: 1, Revision: revision.MaxDeltas})
	g.Expect(ok).To(BeTrue())
	g.Expect(bytes).To(Equal(20))
	g.Expect(deltas).To(HaveLen(10))
	_, _, ok = h.After(revision.Version{Epoch: 1, Revision: 9})
	g.Expect(ok).To(BeFalse())
}

func FuzzPatch(f *testing.F) {
	f.Add([]byte(`{"a":[{"name":"x","v":1}]}`), []byte(`{"a":{"@named":{"x":null}}}`))
	f.Add([]byte(`{"@named":{}}`), []byte(`{}`))
	f.Fuzz(func(t *testing.T, document, patch []byte) {
		out, err := revision.Patch(document, patch)
		if err != nil {
			return
		}
		if _, err := revision.Canonical(out); err != nil {
			t.Fatalf("%s patched by %s gives invalid document %s: %v", document, patch, out, err)
		}
	})
}
