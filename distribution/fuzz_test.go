package distribution_test

import (
	"encoding/json"
	"testing"

	"github.com/jacinthplank/jacinthplank/coord/revision"
	"github.com/jacinthplank/jacinthplank/distribution"
	"github.com/jacinthplank/jacinthplank/fleet"
)

// FuzzApply guards against an update of another daemon, or the file of an earlier process, that ends this
// one, brings a configuration into force that its digest doesn't identify, or can't be passed on.
func FuzzApply(f *testing.F) {
	a := &author{}
	a.publish(2)
	first := a.register.After(revision.Version{})
	a.publish(2)
	for _, have := range []revision.Version{{}, first.Version} {
		data, err := json.Marshal(a.register.After(have))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte(`{"version":{"epoch":9,"revision":18446744073709551615},"document":null,"deltas":[{"version":{},"patch":null}]}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var u revision.Update
		if json.Unmarshal(data, &u) != nil {
			return
		}
		s := distribution.NewStore()
		if _, err := s.Apply(first); err != nil {
			t.Fatal(err)
		}
		// A document by itself has the digest of another writer that computes it.
		for _, update := range []revision.Update{u, {Version: u.Version, Document: u.Document, Digest: digestOf(u.Document)}} {
			before, digest := s.Version(), s.Digest()
			changed, err := s.Apply(update)
			if err != nil && changed || !changed && (s.Version() != before || s.Digest() != digest) || changed && s.Digest() != update.Digest {
				t.Fatalf("changed %v to %v: %v", changed, s.Version(), err)
			}
		}
		if s.Current() == nil {
			t.Fatal("no configuration")
		}
		passedOn, err := json.Marshal(s.Update(fleet.Version{}, true))
		if err != nil {
			t.Fatal(err)
		}
		var whole revision.Update
		if err := json.Unmarshal(passedOn, &whole); err != nil {
			t.Fatal(err)
		}
		again := distribution.NewStore()
		if _, err := again.Apply(whole); err != nil || again.Version() != s.Version() || again.Digest() != s.Digest() {
			t.Fatalf("%v became %v: %v", s.Version(), again.Version(), err)
		}
	})
}

func digestOf(document []byte) string {
	canonical, err := revision.Canonical(document)
	if err != nil {
		return ""
	}
	return revision.Digest(canonical)
}
