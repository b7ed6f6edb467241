package delta

import (
	"bytes"
	"testing"
)

// FuzzDecode guards against an encoding of another writer that takes more memory than its limit.
func FuzzDecode(f *testing.F) {
	base := []byte(`{"version":1,"services":[{"name":"s","slots":8},{"name":"t","slots":8}]}`)
	for _, target := range [][]byte{nil, base, append(base[:20:20], "more"...), bytes.Repeat([]byte("x"), 4096)} {
		for _, from := range [][]byte{nil, base} {
			encoded, err := Encode(from, target)
			if err != nil {
				f.Fatal(err)
			}
			f.Add(from, encoded, uint16(len(target)))
			f.Add(from, append(encoded, encoded...), uint16(len(target)))
		}
	}
	f.Fuzz(func(t *testing.T, base, encoded []byte, limit uint16) {
		target, err := Decode(base, encoded, int(limit))
		if err != nil {
			return
		}
		// Without a limit a decoder still takes one byte.
		if len(target) > max(int(limit), 1) {
			t.Errorf("%d bytes, the limit is %d", len(target), limit)
		}
	})
}

// FuzzEncode guards against a document that its receiver gets otherwise than it was sent.
func FuzzEncode(f *testing.F) {
	f.Add([]byte(nil), []byte("x"))
	f.Add([]byte(`{"version":1,"slots":8}`), []byte(`{"version":2,"slots":8}`))
	f.Add([]byte{0}, []byte{})
	f.Fuzz(func(t *testing.T, base, target []byte) {
		encoded, err := Encode(base, target)
		if err != nil {
			t.Fatal(err)
		}
		if again, err := Decode(base, encoded, len(target)+minWindow); err != nil || !bytes.Equal(again, target) {
			t.Errorf("%q became %q: %v", target, again, err)
		}
	})
}
