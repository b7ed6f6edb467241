// Package fence issues fencing tokens. The tokens of a target increase
// monotonically, so a receiver that remembers the highest token it has seen can
// reject the holder of an older one.
package fence

// Table holds the last token issued for each target. Its field is exported only
// for snapshots.
type Table struct {
	Last map[string]uint64 `json:"last,omitempty"`
}

// Next issues a token for target that is higher than all earlier ones.
func (t *Table) Next(target string) uint64 {
	if t.Last == nil {
		t.Last = make(map[string]uint64)
	}
	t.Last[target]++
	return t.Last[target]
}

// Highest returns the last token issued for target, or 0 if there is none.
func (t *Table) Highest(target string) uint64 { return t.Last[target] }
