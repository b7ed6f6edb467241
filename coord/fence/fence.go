// Package fence hands out fencing numbers: per target they only ever grow, so
// that a receiver which keeps the highest number seen can refuse whoever holds
// an older one.
package fence

// Table is the last number given for each target. Its field is exported for
// snapshots only.
type Table struct {
	Last map[string]uint64 `json:"last,omitempty"`
}

// Next returns a number for target, higher than every number before it.
func (t *Table) Next(target string) uint64 {
	if t.Last == nil {
		t.Last = make(map[string]uint64)
	}
	t.Last[target]++
	return t.Last[target]
}

// Highest returns the last number given for target, 0 for none.
func (t *Table) Highest(target string) uint64 { return t.Last[target] }
