// Package shortname abbreviates the names of members in log lines, which some collectors cut
// after 200 characters.
package shortname

import (
	"fmt"
	"strings"
)

// minParts is how many of the parts of a name that are separated by hyphens are always kept.
const minParts = 2

// Trim returns name without the leading parts that all names have in common.
func Trim(name string, all []string) string {
	parts := strings.Split(name, "-")
	common := len(parts) - minParts
	for _, other := range all {
		otherParts := strings.Split(other, "-")
		common = min(common, len(otherParts)-minParts)
		for i := 0; i < common; i++ {
			if parts[i] != otherParts[i] {
				common = i
			}
		}
	}
	return strings.Join(parts[max(common, 0):], "-")
}

// List returns the number of names and the names, trimmed, in at most maxBytes: "2 one-1 two-1".
// It ends with the number of names that don't fit: "9 one-1 +8".
func List(names, all []string, maxBytes int) string {
	list := fmt.Sprint(len(names))
	for i, name := range names {
		rest := fmt.Sprintf(" +%d", len(names)-i)
		next := list + " " + Trim(name, all)
		after := ""
		if i < len(names)-1 {
			after = fmt.Sprintf(" +%d", len(names)-i-1)
		}
		if len(next)+len(after) > maxBytes {
			return list + rest
		}
		list = next
	}
	return list
}
