package tomlcheck

import (
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
)

// MaxName is the longest name in bytes.
const MaxName = 100

// Names wants names that are present, well formed and all different. The field
// is the key of the name within each element of the list, such as ".name", and
// empty when the list is of names.
func (r *Report) Names(list, field string, names []string) {
	places := make(map[string]int, len(names))
	for i, name := range names {
		key := Element(list, i) + field
		if !validName(name) {
			r.Add(key, fmt.Sprintf("found %q", name), fmt.Sprintf("a name without spaces, quotes or brackets, up to %d characters", MaxName))
			continue
		}
		if first, taken := places[name]; taken {
			r.Add(key, fmt.Sprintf("%q is taken by %s", name, Element(list, first)), "a name of its own")
			continue
		}
		places[name] = i
	}
}

func validName(name string) bool {
	return name != "" && len(name) <= MaxName && !strings.ContainsAny(name, " \t\r\n\"'[]")
}

// Known wants one of the valid names.
func (r *Report) Known(key, name, what string, valid []string) {
	if !slices.Contains(valid, name) {
		r.Unknown(key, name, what, valid)
	}
}

// digestBytes is the length of a SHA-256 digest.
const digestBytes = 32

// Digests holds the owner of each digest of an account key.
type Digests map[string]string

// Check wants a SHA-256 digest in hexadecimal that belongs to no other account.
func (d Digests) Check(r *Report, key, digest, account string) {
	raw, err := hex.DecodeString(digest)
	if err != nil || len(raw) != digestBytes {
		r.Add(key, fmt.Sprintf("text of %d characters", len(digest)), "a SHA-256 digest, 64 hexadecimal digits; `jacinthplank keys account` makes one")
		return
	}
	folded := strings.ToLower(digest)
	if owner, taken := d[folded]; taken {
		r.Add(key, fmt.Sprintf("the key belongs to account %q already", owner), "a key of this account alone")
		return
	}
	d[folded] = account
}

// NotNegative wants a number or time that is 0 or more.
func NotNegative[N ~int | ~int64](r *Report, key string, n N, expected string) {
	if n < 0 {
		r.Add(key, fmt.Sprintf("found %s", write(n)), expected)
	}
}

// Positive wants a number or time that is more than 0.
func Positive[N ~int | ~int64](r *Report, key string, n N, expected string) {
	if n <= 0 {
		r.Add(key, fmt.Sprintf("found %s", write(n)), expected)
	}
}

// write writes a number as it stands in a file.
func write(n any) string {
	if text, ok := n.(interface{ MarshalText() ([]byte, error) }); ok {
		if b, err := text.MarshalText(); err == nil {
			return string(b)
		}
	}
	return fmt.Sprint(n)
}
