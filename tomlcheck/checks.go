package tomlcheck

import (
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
)

// MaxNameBytes is the maximum length of a name in bytes.
const MaxNameBytes = 100

// CheckNames checks that the names are present, well formed and unique. The field
// is the key of the name within each element of the list, such as ".name"; it is
// empty for a list of names.
func (r *Report) CheckNames(list, field string, names []string) {
	firstIndex := make(map[string]int, len(names))
	for i, name := range names {
		key := Element(list, i) + field
		if !validName(name) {
			r.Add(key, fmt.Sprintf("found %q", name), fmt.Sprintf("a name without spaces, quotes or brackets, up to %d characters", MaxNameBytes))
			continue
		}
		if first, taken := firstIndex[name]; taken {
			r.Add(key, fmt.Sprintf("%q is taken by %s", name, Element(list, first)), "a unique name")
			continue
		}
		firstIndex[name] = i
	}
}

func validName(name string) bool {
	return name != "" && len(name) <= MaxNameBytes && !strings.ContainsAny(name, " \t\r\n\"'[]")
}

// CheckKnown checks that the name is one of the valid names.
func (r *Report) CheckKnown(key, name, what string, valid []string) {
	if !slices.Contains(valid, name) {
		r.AddUnknown(key, name, what, valid)
	}
}

// digestBytes is the length of a SHA-256 digest in bytes.
const digestBytes = 32

// Digests maps each digest of an account key to the account that owns it.
type Digests map[string]string

// Check checks that the digest is a hexadecimal SHA-256 digest that no other
// account uses.
func (d Digests) Check(r *Report, key, digest, account string) {
	raw, err := hex.DecodeString(digest)
	if err != nil || len(raw) != digestBytes {
		r.Add(key, fmt.Sprintf("text of %d characters", len(digest)), "a SHA-256 digest, 64 hexadecimal digits; `jacinthplank keys account` makes one")
		return
	}
	lowercase := strings.ToLower(digest)
	if owner, taken := d[lowercase]; taken {
		r.Add(key, fmt.Sprintf("the key belongs to account %q already", owner), "a key that no other account uses")
		return
	}
	d[lowercase] = account
}

// CheckNotNegative checks that a number or duration is not negative.
func CheckNotNegative[N ~int | ~int64](r *Report, key string, n N, expected string) {
	if n < 0 {
		r.Add(key, fmt.Sprintf("found %s", formatValue(n)), expected)
	}
}

// CheckPositive checks that a number or duration is greater than 0.
func CheckPositive[N ~int | ~int64](r *Report, key string, n N, expected string) {
	if n <= 0 {
		r.Add(key, fmt.Sprintf("found %s", formatValue(n)), expected)
	}
}

// formatValue formats a number or duration as in a settings file.
func formatValue(n any) string {
	if text, ok := n.(interface{ MarshalText() ([]byte, error) }); ok {
		if b, err := text.MarshalText(); err == nil {
			return string(b)
		}
	}
	return fmt.Sprint(n)
}
