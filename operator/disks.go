package operator

import "fmt"

// diskRow is a disk of the quorum whose member does not run.
type diskRow struct {
	Daemon string `json:"daemon"`
	State  string `json:"state"`
	Error  string `json:"error"`
	Kept   string `json:"kept,omitempty"` // why a refused disk was not emptied
}

// newDiskRows returns the disks that need attention.
func newDiskRows(reports []statusReport) []diskRow {
	var rows []diskRow
	for _, r := range reports {
		if d := r.status.GetDisk(); d.GetError() != "" {
			rows = append(rows, diskRow{Daemon: r.name, State: d.GetState(), Error: d.GetError(), Kept: d.GetKept()})
		}
	}
	return rows
}

func (d diskRow) summary() string {
	switch {
	case d.State == "refused" && d.Kept != "":
		return fmt.Sprintf("Disk of %s: DAMAGED and kept, because the last attempt to replace it failed: %s. Damage: %s. See docs/operators/lost-quorum.md.", d.Daemon, d.Kept, d.Error)
	case d.State == "refused":
		return fmt.Sprintf("Disk of %s: damaged, is being replaced. Damage: %s.", d.Daemon, d.Error)
	default:
		return fmt.Sprintf("Disk of %s: reads or writes fail and are tried again: %s.", d.Daemon, d.Error)
	}
}
