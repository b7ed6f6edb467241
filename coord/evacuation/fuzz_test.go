package evacuation_test

import (
	"encoding/json"
	"slices"
	"strings"
	"testing"

	"github.com/jacinthplank/jacinthplank/coord/evacuation"
)

// FuzzCommand guards against a command of another entry that ends the members of the quorum, or leaves a set
// that they don't take for a later one.
func FuzzCommand(f *testing.F) {
	for _, c := range []evacuation.Command{evacuation.Begin("a"), evacuation.Finish("a").At(3), evacuation.Begin("b").At(1 << 40)} {
		data, err := c.Encode()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data, "a,c", uint64(3))
	}
	f.Add([]byte(`{"evacuation":{"action":"begin","domain":"d","revision":18446744073709551615}}`), "", uint64(0))
	f.Fuzz(func(t *testing.T, data []byte, domains string, revision uint64) {
		c, err := evacuation.DecodeCommand(data)
		if err != nil {
			return
		}
		before := evacuation.Set{Revision: revision, Domains: strings.Split(domains, ",")}
		slices.Sort(before.Domains)
		before.Domains = slices.Compact(before.Domains)
		untouched := slices.Clone(before.Domains)
		after, verdict := before.Apply(c)
		if (verdict == evacuation.Changed) != (after.Revision > before.Revision) || after.Revision < before.Revision {
			t.Errorf("%s: revision %d after %d", verdict, after.Revision, before.Revision)
		}
		if verdict == evacuation.Changed && after.Contains(c.Domain) != (c.Action == evacuation.ActionBegin) {
			t.Errorf("%+v after %+v", after, c)
		}
		if !slices.Equal(before.Domains, untouched) || !slices.IsSorted(after.Domains) || len(after.Domains) > len(untouched)+1 {
			t.Errorf("%+v became %+v", before, after)
		}
		answer, err := json.Marshal(evacuation.Answer{Verdict: verdict, Set: after})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := evacuation.DecodeAnswer(answer); err != nil {
			t.Error(err)
		}
	})
}
