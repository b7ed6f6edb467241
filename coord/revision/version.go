// Package revision keeps one document that is replaced by compare-and-set, with
// a bounded history of the differences between its versions.
//
// Documents are JSON objects. They are compared in canonical form: members
// sorted, null members left out, and lists of objects that each have a unique
// "name" taken as sets and sorted by that name.
package revision

import "fmt"

// Version orders documents: Epoch first, then Revision.
type Version struct {
	Epoch    uint64 `json:"epoch"`
	Revision uint64 `json:"revision"`
}

// Less reports whether v is older than w.
func (v Version) Less(w Version) bool {
	if v.Epoch != w.Epoch {
		return v.Epoch < w.Epoch
	}
	return v.Revision < w.Revision
}

// String returns epoch and revision joined by a point.
func (v Version) String() string { return fmt.Sprintf("%d.%d", v.Epoch, v.Revision) }
