package delta

import (
	"bytes"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"
)

func routes(from, n int) []byte {
	var b bytes.Buffer
	for i := from; i < from+n; i++ {
		fmt.Fprintf(&b, `{"name":"r-%x","host":"h%x.example","path_prefix":"/p%x/","kind":"stream","timeout_ms":10000,"goal_ms":300,"service":"s"},`,
			uint32(i)*2654435761, uint32(i)*40503, uint32(i)*69069)
	}
	return b.Bytes()
}

func TestEncodingIsSmall(t *testing.T) {
	many := routes(0, 1320)
	changed := bytes.Replace(many, []byte(`"timeout_ms":10000`), []byte(`"timeout_ms":900`), 1)
	for _, c := range []struct {
		name         string
		base, target []byte
		maxBytes     int
	}{
		{"a document of many routes", nil, many, len(many) / 4},
		{"one changed field", many, changed, 1000},
		{"many routes more", routes(0, 240), many, len(many) / 4},
		{"the same", many, many, 200},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			encoded, err := Encode(c.base, c.target)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(len(encoded)).To(BeNumerically("<", c.maxBytes))
			g.Expect(Decode(c.base, encoded, 1<<20)).To(Equal(c.target))
		})
	}
}

func TestDecodeRefuses(t *testing.T) {
	base, target := routes(0, 100), routes(1, 100)
	encoded, err := Encode(base, target)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		name    string
		base    []byte
		encoded []byte
		limit   int
	}{
		{"no base", nil, encoded, 1 << 20},
		{"a truncated encoding", base, encoded[:len(encoded)/2], 1 << 20},
		{"no encoding", base, []byte("not an encoding"), 1 << 20},
		{"a target over the limit", base, encoded, 100},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, err := Decode(c.base, c.encoded, c.limit)
			NewWithT(t).Expect(err).To(HaveOccurred())
		})
	}
}

func TestDecodeRestoresTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		base := rapid.SliceOf(rapid.Byte()).Draw(t, "base")
		target := rapid.SliceOf(rapid.Byte()).Draw(t, "target")
		if rapid.Bool().Draw(t, "related") {
			target = append(bytes.Clone(base), target...)
		}
		encoded, err := Encode(base, target)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := Decode(base, encoded, 1<<20)
		if err != nil || !bytes.Equal(decoded, target) {
			t.Fatalf("got %d bytes and error %v, want %d bytes", len(decoded), err, len(target))
		}
	})
}

func BenchmarkEncode(b *testing.B) {
	base, target := routes(0, 1300), routes(0, 1320)
	b.Run("delta", func(b *testing.B) {
		for b.Loop() {
			if _, err := Encode(base, target); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("whole", func(b *testing.B) {
		for b.Loop() {
			if _, err := Encode(nil, target); err != nil {
				b.Fatal(err)
			}
		}
	})
}

func BenchmarkDecode(b *testing.B) {
	base, target := routes(0, 1300), routes(0, 1320)
	encoded, err := Encode(base, target)
	if err != nil {
		b.Fatal(err)
	}
	for b.Loop() {
		if _, err := Decode(base, encoded, 1<<20); err != nil {
			b.Fatal(err)
		}
	}
}
