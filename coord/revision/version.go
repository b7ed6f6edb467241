// Package revision implements a document that is replaced by compare-and-set, with
// a bounded history of the differences between its versions.
//
// Documents are JSON objects. They are compared in canonical form: members are
// sorted, null members are omitted, and lists of objects that each have a unique
// "name" are treated as sets and sorted by name.
package revision

import "fmt"

// Version identifies a version of the document. Versions are ordered by Epoch, then
// by Revision.
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

// String formats the version as "epoch.revision".
func (v Version) String() string { return fmt.Sprintf("%d.%d", v.Epoch, v.Revision) }
