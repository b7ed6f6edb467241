//go:build powerloss

package mesh

import "github.com/jacinthplank/jacinthplank/coord/wal/powerloss"

// openDiskFolder opens the folder of an entry's disk. Package soak builds with this tag and takes
// back what is not synced when it loses the power of an entry.
var openDiskFolder = powerloss.OpenFolder
