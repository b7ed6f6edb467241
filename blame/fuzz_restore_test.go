package blame

import (
	"encoding/json"
	"testing"
	"time"
)

// FuzzRestore guards against a file of an earlier process that ends this one, grows its state beyond its
// bounds, or keeps a key blamed for longer than a verdict lasts.
func FuzzRestore(f *testing.F) {
	s := NewStore()
	for second := range 4 {
		s.recordStep(endsUnder(1+float64(second)/1000, 0.0004, string(rune('a'+second)), same, another))
		data, err := json.Marshal(s.Save(at(2)))
		if err != nil {
			f.Fatal(err)
		}
		f.Add(data)
	}
	f.Add([]byte(`{"at":"0001-01-01T00:00:00Z","report":{"verdicts":[{"key":"request 1","ends":3,"age":9223372036854775807,"left":-9223372036854775808}]}}`))
	f.Add([]byte(`{"at":"9999-01-01T00:00:00Z","report":{"verdicts":[{"key":"request 1","ends":-3,"age":-1,"left":9223372036854775807}],"ends":[{"endpoint":"a","age":-9223372036854775808}]}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		var saved Saved
		if json.Unmarshal(data, &saved) != nil {
			return
		}
		s := NewStore()
		now := at(3)
		s.Restore(saved, now)
		s.checkState(t, now)
		for _, v := range s.verdicts {
			if v.Until.Sub(now) > blameTime {
				t.Errorf("%q is blamed for %v", v.Key, v.Until.Sub(now))
			}
		}
		kept, err := json.Marshal(s.Save(now))
		if err != nil {
			t.Fatal(err)
		}
		again := Saved{}
		if err := json.Unmarshal(kept, &again); err != nil {
			t.Fatal(err)
		}
		later := NewStore()
		now = now.Add(time.Second)
		later.Restore(again, now)
		later.checkState(t, now)
	})
}
